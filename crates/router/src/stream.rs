//! A stream of events: passed on event by event, and gone on with at another upstream.

use std::rc;

use base::{clock, refusal};
use bytes::Bytes;
use http_body_util::BodyExt as _;
use tokio::sync::mpsc;
use tokio::{task, time};

use crate::{attempt, events, host, response, serve};

/// Events on their way to a caller that does not read.
const QUEUE: usize = 16;
/// The shortest silence of an upstream after which a stream goes on elsewhere.
const MIN_SILENCE: clock::Millis = clock::Millis(500);
/// Pause before a stream that broke goes on elsewhere: upstreams that end at once all show by then.
const SETTLE: clock::Millis = clock::Millis(20);
/// How many times as long as is likely a stream waits for its first event at an upstream that gives
/// no byte of any answer.
const SILENT_TIMES: u64 = 3;

/// A stream at an upstream, cut into events.
struct Source {
    running: attempt::Running,
    cutter: events::Cutter,
}

/// What came next of a stream.
enum Next {
    Event(events::Event),
    End,
    Broken(attempt::Failure),
}

impl Source {
    /// The next whole event, within `limit`, and as long as the upstream is not silent for `silence`.
    async fn next(&mut self, limit: clock::Millis, silence: clock::Millis) -> Next {
        let flight = &self.running.flight;
        tokio::select! {
            next = read(&mut self.running.body, &mut self.cutter, flight) => next,
            () = time::sleep(limit.duration()) => Next::Broken(attempt::Failure::Slow),
            () = flight.silent(silence) => Next::Broken(attempt::Failure::Silent),
        }
    }
}

async fn read(
    body: &mut hyper::body::Incoming,
    cutter: &mut events::Cutter,
    flight: &attempt::Flight,
) -> Next {
    loop {
        match cutter.next_event() {
            Ok(Some(event)) => return Next::Event(event),
            Ok(None) => {}
            Err(events::Garbage) => return Next::Broken(attempt::Failure::Broken),
        }
        match body.frame().await {
            Some(Ok(frame)) => {
                flight.heard();
                if let Some(data) = frame.data_ref() {
                    cutter.push(data);
                }
            }
            Some(Err(_)) => return Next::Broken(attempt::Failure::Broken),
            None if cutter.is_partial() => {
                return Next::Broken(attempt::Failure::Broken);
            }
            None => return Next::End,
        }
    }
}

/// A stream that has begun: its source, and what its caller has of it.
struct Relay {
    host: rc::Rc<host::Host>,
    call: rc::Rc<attempt::Call>,
    tries: serve::Tries,
    source: Option<Source>,
    last: Option<u64>,
    first: clock::Millis,
    /// When an event was passed on last.
    passed: clock::Millis,
    caller: mpsc::Sender<Result<Bytes, response::BodyAborted>>,
}

/// Serves a request whose answer is a stream.
pub async fn serve(host: &rc::Rc<host::Host>, call: &rc::Rc<attempt::Call>) -> response::Response {
    let mut tries = serve::Tries::default();
    let mut failed = None;
    let reason = loop {
        let begun = match begin(host, call, &mut tries, call.ask.resume).await {
            Err(reason) => break reason,
            Ok(begun) => begun,
        };
        match begun {
            Begun::Stream(begun) => {
                let (parts, source, event) = *begun;
                return relay(host, call, tries, parts, source, event);
            }
            Begun::Other(answer) if answer.status().is_server_error() => failed = Some(answer),
            Begun::Other(answer) => {
                let status = answer.status().as_u16();
                serve::log_end(host, call, &tries, "whole", status, None);
                return answer;
            }
            Begun::Failed => {}
        }
        if tries.runs > 0 && !call.route.repeats() || host.now() >= call.until {
            break refusal::Reason::UpstreamFailed;
        }
    };
    if let Some(answer) = failed {
        let status = answer.status().as_u16();
        serve::log_end(host, call, &tries, "failed", status, None);
        return answer;
    }
    serve::give_up(host, call, &tries, reason)
}

/// What came of a try of a stream.
enum Begun {
    /// Its head and first event.
    Stream(Box<(http::response::Parts, Source, events::Event)>),
    /// An answer without events.
    Other(response::Response),
    /// Nothing; noted.
    Failed,
}

/// Tries one upstream, up to the first event after `resume`.
async fn begin(
    host: &rc::Rc<host::Host>,
    call: &rc::Rc<attempt::Call>,
    tries: &mut serve::Tries,
    resume: Option<u64>,
) -> Result<Begun, refusal::Reason> {
    let pick = serve::next_pick(host, call, tries)?;
    let expected = pick.expected;
    let sent = host.now();
    let limit = serve::patience(host, call, tries);
    // While all engines are behind, few of them are heard of by a host of many.
    let slow = clock::Millis(pick.likely.0 * SILENT_TIMES);
    let silence = serve::silence(host, call, tries).max(slow);
    let head = match attempt::send(host, call, pick, resume, limit, silence).await {
        attempt::Outcome::Head(head) => head,
        attempt::Outcome::NotRun(failure) => {
            serve::note_failure(host, call, tries, failure, false);
            return Ok(Begun::Failed);
        }
        attempt::Outcome::MayHaveRun(failure) => {
            serve::note_failure(host, call, tries, failure, true);
            return Ok(Begun::Failed);
        }
    };
    let left = || clock::Millis(limit.since(host.now().since(sent)).0);
    if !head.parts.status.is_success() {
        let answer = match head.whole(left()).await {
            Ok((parts, bytes, _)) => response::buffered(serve::clean(parts), bytes),
            Err(failure) => {
                serve::note_failure(host, call, tries, failure, true);
                return Ok(Begun::Failed);
            }
        };
        if answer.status().is_server_error() {
            serve::note_failure(host, call, tries, attempt::Failure::Failed, true);
        }
        return Ok(Begun::Other(answer));
    }
    let (parts, running) = head.stream();
    let mut source = Source {
        running,
        cutter: events::Cutter::default(),
    };
    loop {
        match source.next(left(), silence).await {
            Next::Event(event) if is_old(&event, resume) => {}
            Next::Event(event) => {
                let now = host.now();
                source.running.flight.read();
                serve::count_begun(host, call, now);
                let ratio = now.since(sent).0 as f64 / expected.0 as f64;
                let name = &source.running.flight.pick.name;
                host.fleet.borrow_mut().succeed(name, ratio, now);
                return Ok(Begun::Stream(Box::new((parts, source, event))));
            }
            Next::End => {
                source.running.finish();
                let answer = response::buffered(serve::clean(parts), Bytes::new());
                return Ok(Begun::Other(answer));
            }
            Next::Broken(failure) => {
                drop(source);
                serve::note_failure(host, call, tries, failure, true);
                return Ok(Begun::Failed);
            }
        }
    }
}

fn is_old(event: &events::Event, last: Option<u64>) -> bool {
    matches!((event.id, last), (Some(id), Some(last)) if id <= last)
}

/// Hands the stream to a task of its own and answers with its head.
fn relay(
    host: &rc::Rc<host::Host>,
    call: &rc::Rc<attempt::Call>,
    tries: serve::Tries,
    parts: http::response::Parts,
    source: Source,
    event: events::Event,
) -> response::Response {
    let (caller, events) = mpsc::channel(QUEUE);
    let relay = Relay {
        host: host.clone(),
        call: call.clone(),
        tries,
        source: Some(source),
        last: call.ask.resume,
        first: host.now().since(call.arrived),
        passed: host.now(),
        caller,
    };
    task::spawn_local(relay.run(event));
    http::Response::from_parts(serve::clean(parts), response::Body::Stream(events))
}

impl Relay {
    async fn run(mut self, first: events::Event) {
        let end = self.pass(first).await;
        let status = http::StatusCode::OK.as_u16();
        let first = Some(self.first);
        serve::log_end(&self.host, &self.call, &self.tries, end, status, first);
        match end {
            "whole" => {
                if let Some(source) = self.source {
                    source.running.finish();
                }
            }
            "caller_gone" => {}
            // The connection ends without the end of its body.
            _ => {
                let _ = self.caller.send(Err(response::BodyAborted)).await;
            }
        }
    }

    /// Passes events on until the end; returns how it ended.
    async fn pass(&mut self, first: events::Event) -> &'static str {
        let mut event = first;
        loop {
            if !self.hand(event).await {
                return "caller_gone";
            }
            event = match self.next().await {
                Ok(event) => event,
                Err(end) => return end,
            };
        }
    }

    async fn hand(&mut self, event: events::Event) -> bool {
        self.last = event.id.or(self.last);
        let now = self.host.now();
        self.tries.gap = self.tries.gap.max(now.since(self.passed));
        self.passed = now;
        let left = self.call.until.since(now);
        let sent = time::timeout(left.duration(), self.caller.send(Ok(event.bytes)));
        matches!(sent.await, Ok(Ok(())))
    }

    async fn next(&mut self) -> Result<events::Event, &'static str> {
        loop {
            let left = self.call.until.since(self.host.now());
            if left == clock::Millis::ZERO {
                return Err("timeout");
            }
            let silence = self.silence();
            let Some(source) = &mut self.source else {
                return Err("broken");
            };
            let caller = self.caller.clone();
            let next = tokio::select! {
                next = source.next(left, silence) => next,
                () = caller.closed() => return Err("caller_gone"),
            };
            match next {
                Next::Event(event) if is_old(&event, self.last) => {}
                Next::Event(event) => return Ok(event),
                Next::End => return Err("whole"),
                Next::Broken(failure) => {
                    // The old run is cancelled before another one begins.
                    self.source = None;
                    serve::note_failure(&self.host, &self.call, &mut self.tries, failure, true);
                    if failure == attempt::Failure::Broken {
                        time::sleep(SETTLE.duration()).await;
                    }
                    return self.resume().await;
                }
            }
        }
    }

    /// Silence of the upstream after which the stream goes on elsewhere, if it may.
    fn silence(&self) -> clock::Millis {
        if !serve::may_repeat(&self.host, &self.call, &self.tries) {
            return self.call.route.timeout;
        }
        self.call
            .route
            .gap
            .map_or(MIN_SILENCE, |g| g.max(MIN_SILENCE))
    }

    /// Goes on at another upstream after the last event passed on.
    async fn resume(&mut self) -> Result<events::Event, &'static str> {
        if !self.call.route.repeats() || self.last.is_none() {
            return Err("broken");
        }
        while self.host.now() < self.call.until {
            let caller = self.caller.clone();
            let begun = tokio::select! {
                begun = begin(&self.host, &self.call, &mut self.tries, self.last) => begun,
                () = caller.closed() => return Err("caller_gone"),
            };
            match begun {
                Ok(Begun::Stream(begun)) => {
                    let (_, source, event) = *begun;
                    self.source = Some(source);
                    return Ok(event);
                }
                Ok(Begun::Failed) => {}
                Ok(Begun::Other(_)) | Err(_) => return Err("broken"),
            }
        }
        Err("timeout")
    }
}
