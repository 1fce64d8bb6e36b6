//! Chat completions: admission, the stream from the upstream, its continuation elsewhere.

use std::io;
use std::sync;

use base::{clock, name, refusal};
use config::document;
use peer::message;
use policy::{request, usage};
use serde_json::json;

use crate::{
    body, chat_request, chunk, client, context, metrics, permit, response, retry, upstream,
};

/// Looks at the key again after this many tokens.
const CHECK_EVERY: u32 = 32;

/// Where the answer goes: straight on as events, or gathered for one whole answer.
enum Sink {
    Waiting(response::Responder),
    Streaming(response::EventStream),
    Gathering(response::Responder),
}

/// How one attempt at an upstream ended.
enum Attempt {
    /// The end mark came.
    Whole,
    /// The caller is gone.
    CallerGone,
    /// The key was withdrawn.
    Withdrawn,
    /// To be continued elsewhere, for this reason.
    Again(metrics::Retry, upstream::Error),
}

/// Tokens after which an answer's pace is judged.
const PACED_TOKENS: u32 = 16;
/// An answer this many times slower than its class's target moves to another upstream.
const TRICKLE: u64 = 4;
/// Failed attempts after which an answer is given up.
const MAX_FAILED: u32 = 6;

/// One answer under way.
struct Answer<'a> {
    context: &'a context::Context,
    request: chat_request::Request,
    caller: client::Caller,
    service: sync::Arc<document::Service>,
    id: String,
    sink: Option<Sink>,
    held: String,
    tokens: u32,
    prompt: u64,
    finish: Option<String>,
    fixed: bool,
    failed: u32,
    /// Whether an upstream may have run some of it.
    reached: bool,
    moved: bool,
    paced: clock::Millis,
    arrived: clock::Millis,
    first: Option<clock::Millis>,
    last: clock::Millis,
}

/// Serves a chat completion.
pub fn serve(context: &context::Context, mut http: tiny_http::Request) {
    let arrived = context.clock.now();
    let credentials = client::Credentials::read(&http);
    let id = context.request_id();
    let read = body::read(
        &mut http,
        context.settings.limits.body_bytes,
        &context.clock,
    );
    let reply = response::Responder::new(http, id.clone());
    let admitted = read.and_then(|bytes| admit(context, &credentials, &bytes));
    let (request, service, caller) = match admitted {
        Ok(admitted) => admitted,
        Err(refusal) => return reply.refuse(&refusal, &context.metrics),
    };
    let sink = if request.stream {
        Sink::Waiting(reply)
    } else {
        Sink::Gathering(reply)
    };
    let answer = Answer {
        context,
        request,
        caller,
        service,
        id,
        sink: Some(sink),
        held: String::new(),
        tokens: 0,
        prompt: 0,
        finish: None,
        fixed: false,
        failed: 0,
        reached: false,
        moved: false,
        paced: arrived,
        arrived,
        first: None,
        last: arrived,
    };
    answer.run();
}

type Admitted = (
    chat_request::Request,
    sync::Arc<document::Service>,
    client::Caller,
);

fn admit(
    context: &context::Context,
    credentials: &client::Credentials,
    bytes: &[u8],
) -> Result<Admitted, refusal::Refusal> {
    if !context.is_ready() {
        return Err(refusal::Refusal::not_run(refusal::Reason::NotReady));
    }
    let request = chat_request::Request::parse(bytes)?;
    let service = context.view().service_by_model(&request.model);
    let unknown = || refusal::Refusal::not_run(refusal::Reason::UnknownModel);
    let service = service.ok_or_else(unknown)?;
    let caller = client::admit(context, credentials, &service)?;
    if client::carries_key(credentials, bytes) {
        return Err(chat_request::bad());
    }
    Ok((request, service, caller))
}

impl Answer<'_> {
    fn run(mut self) {
        let mut avoid: Vec<name::Upstream> = Vec::new();
        loop {
            let permit = match self.context.admission.enter(self.ask(&avoid)) {
                Ok(permit) => permit,
                Err(refusal) => return self.give_up(&refusal),
            };
            let upstream = self
                .service
                .upstreams
                .iter()
                .find(|u| u.name == permit.upstream);
            let Some(upstream) = upstream.cloned() else {
                avoid.push(permit.upstream.clone());
                continue;
            };
            let before = self.tokens;
            let attempt = self.attempt(&permit, &upstream);
            let first = self.first_since(permit.started());
            let made = self.tokens - before;
            match attempt {
                Attempt::Whole => {
                    permit.finish(request::Outcome::Completed, made, first);
                    self.context.upstreams.budget().earn();
                    return self.end();
                }
                Attempt::CallerGone => {
                    permit.finish(request::Outcome::Stopped, made, first);
                    return self.bill("caller_gone");
                }
                Attempt::Withdrawn => {
                    permit.finish(request::Outcome::Stopped, made, first);
                    self.bill("key_withdrawn");
                    return self.break_off(refusal::Reason::BadKey);
                }
                Attempt::Again(reason, error) => {
                    permit.finish(outcome(reason), made, first);
                    if !self.may_retry(reason, error, &mut avoid, &upstream.name) {
                        return;
                    }
                }
            }
        }
    }

    fn ask(&self, avoid: &[name::Upstream]) -> message::SlotRequest {
        message::SlotRequest {
            service: self.service.name.clone(),
            class: self.caller.class.name.clone(),
            ticket: self.context.admission.ticket(),
            team: self.caller.team_name().into(),
            waited: self.context.clock.now().since(self.last),
            prompt_tokens: self.request.prompt,
            max_tokens: self.request.limit.saturating_sub(self.tokens),
            prefix_hash: self.request.prefix,
            resumable: self.service.idempotent && !self.fixed,
            received_tokens: self.tokens,
            excluded: avoid.to_vec(),
        }
    }

    /// Notes the failure; tells whether the answer goes on elsewhere. If not, it has been ended.
    fn may_retry(
        &mut self,
        reason: metrics::Retry,
        error: upstream::Error,
        avoid: &mut Vec<name::Upstream>,
        failed: &name::Upstream,
    ) -> bool {
        let retry = retry::Retry {
            reason,
            repeatable: self.service.idempotent && !self.fixed,
        };
        tracing::info!(event = "attempt_ended", request = %self.id, upstream = %failed, reason = reason.as_str());
        self.reached |= retry::may_have_run(error);
        if let upstream::Error::Rejected(_) = error {
            self.give_up(&chat_request::bad());
            return false;
        }
        self.failed += u32::from(reason != metrics::Retry::Preempted);
        if self.failed > MAX_FAILED || !retry.is_allowed(self.context.upstreams.budget()) {
            self.give_up(&retry::refusal(error));
            return false;
        }
        self.context.metrics.retried(reason);
        if reason != metrics::Retry::Preempted {
            avoid.push(failed.clone());
            let others = self
                .service
                .upstreams
                .iter()
                .filter(|u| &u.dc == self.context.admission.dc());
            if others.count() <= avoid.len() {
                avoid.clear();
            }
        }
        true
    }

    /// Sends to one upstream and passes its answer on.
    fn attempt(&mut self, permit: &permit::Permit, upstream: &document::Upstream) -> Attempt {
        let send = self.context.request_id();
        let body = self
            .request
            .body(self.caller.class.tier, &self.held, self.tokens);
        let first = self.caller.class.ttft_target;
        let mut events = match self.context.upstreams.stream(upstream, &send, &body, first) {
            Ok(events) => events,
            Err(e) => return Attempt::Again(retry::reason(e), e),
        };
        let before = self.tokens;
        loop {
            if permit.is_stopped() {
                return Attempt::Again(metrics::Retry::Preempted, upstream::Error::Broken);
            }
            let chunk = match events.event() {
                Ok(upstream::Event::Chunk(chunk)) => chunk,
                Ok(upstream::Event::Done) if self.finish.is_some() => {
                    events.finish();
                    return Attempt::Whole;
                }
                Ok(upstream::Event::Done) => {
                    return Attempt::Again(metrics::Retry::Broken, upstream::Error::Broken);
                }
                // Only the end mark is missing.
                Err(_) if self.finish.is_some() => return Attempt::Whole,
                Err(e) => return Attempt::Again(metrics::Retry::Broken, e),
            };
            self.count(&chunk, before);
            if self.pass_on(&chunk).is_err() {
                return Attempt::CallerGone;
            }
            if self.tokens.is_multiple_of(CHECK_EVERY) && !self.caller.still_known(self.context) {
                return Attempt::Withdrawn;
            }
            if self.trickles(before) && self.may_move() {
                return Attempt::Again(metrics::Retry::Slow, upstream::Error::Broken);
            }
        }
    }

    /// Whether this attempt's tokens come far slower than the class wants.
    fn trickles(&mut self, before: u32) -> bool {
        let made = self.tokens - before;
        if made == 1 {
            self.paced = self.last;
        }
        let gap = self.caller.class.gap_target.0;
        let judged = gap > 0 && made > PACED_TOKENS && self.finish.is_none();
        judged && self.last.since(self.paced).0 > gap * u64::from(made - 1) * TRICKLE
    }

    /// An answer moves for its pace once, and only if it can go on elsewhere.
    fn may_move(&mut self) -> bool {
        let upstreams = self.service.upstreams.iter();
        let here = upstreams
            .filter(|u| &u.dc == self.context.admission.dc())
            .count();
        let may = !self.moved && !self.fixed && self.service.idempotent && here > 1;
        self.moved |= may;
        may
    }

    fn count(&mut self, chunk: &chunk::Chunk, before: u32) {
        if let Some(usage) = chunk.usage {
            self.tokens = before + usage.completion_tokens as u32;
            let continued = u64::from(before);
            self.prompt = self
                .prompt
                .max(usage.prompt_tokens.saturating_sub(continued));
        }
        if chunk.finish.is_some() {
            self.finish.clone_from(&chunk.finish);
        }
        if chunk.text.is_empty() && chunk.other.is_none() {
            return;
        }
        let now = self.context.clock.now();
        if self.first.is_none() {
            self.first = Some(now);
        }
        self.last = now;
        self.tokens += u32::from(chunk.usage.is_none());
        self.held.push_str(&chunk.text);
        self.fixed |= chunk.other.is_some();
    }

    fn first_since(&self, started: clock::Millis) -> clock::Millis {
        self.first
            .map_or(clock::Millis::ZERO, |first| first.since(started))
    }

    fn pass_on(&mut self, chunk: &chunk::Chunk) -> io::Result<()> {
        if chunk.text.is_empty() && chunk.other.is_none() {
            return Ok(());
        }
        let stream = match self.sink.take() {
            Some(Sink::Waiting(reply)) => reply.stream()?,
            Some(Sink::Streaming(stream)) => stream,
            other => {
                self.sink = other;
                return Ok(());
            }
        };
        let out = self.out(&chunk.text, chunk.other.as_ref(), None, None);
        let data = serde_json::to_vec(&out)?;
        let stream = self.sink.insert(Sink::Streaming(stream));
        match stream {
            Sink::Streaming(stream) => stream.event(&data),
            _ => Ok(()),
        }
    }

    fn out<'a>(
        &'a self,
        text: &'a str,
        other: Option<&'a serde_json::Value>,
        finish: Option<&'a str>,
        usage: Option<chunk::Usage>,
    ) -> chunk::Out<'a> {
        chunk::Out {
            id: &self.id,
            model: &self.request.model,
            text,
            other,
            finish,
            usage,
        }
    }

    fn usage(&self) -> chunk::Usage {
        chunk::Usage {
            prompt_tokens: self.prompt,
            completion_tokens: u64::from(self.tokens),
        }
    }

    /// The answer is whole: its usage is made safe, then the caller sees the end.
    fn end(mut self) {
        self.bill("whole");
        let finish = self.finish.clone();
        let finish = finish.as_deref().unwrap_or("stop");
        let sent = match self.sink.take() {
            Some(Sink::Gathering(reply)) => reply.json(200, &self.whole(finish)),
            Some(Sink::Streaming(stream)) => self.close(stream, finish),
            Some(Sink::Waiting(reply)) => reply.stream().and_then(|s| self.close(s, finish)),
            None => Ok(()),
        };
        if sent.is_err() {
            tracing::info!(event = "caller_gone", request = %self.id);
        }
    }

    fn close(&self, mut stream: response::EventStream, finish: &str) -> io::Result<()> {
        let out = self.out("", None, Some(finish), Some(self.usage()));
        stream.event(&serde_json::to_vec(&out)?)?;
        stream.event(b"[DONE]")?;
        stream.end()
    }

    fn whole(&self, finish: &str) -> serde_json::Value {
        let usage = self.usage();
        json!({
            "id": self.id,
            "object": "chat.completion",
            "model": self.request.model,
            "choices": [{
                "index": 0,
                "message": {"role": "assistant", "content": self.held},
                "finish_reason": finish,
            }],
            "usage": {
                "prompt_tokens": usage.prompt_tokens,
                "completion_tokens": usage.completion_tokens,
                "total_tokens": usage.prompt_tokens + usage.completion_tokens,
            },
        })
    }

    /// Bills what the caller got, and notes how the answer ended.
    fn bill(&self, end: &'static str) {
        let class = self.caller.class.name.as_str();
        self.context.metrics.answered(class, end);
        if let Some(first) = self.first {
            let first_ms = first.since(self.arrived).0;
            self.context.metrics.first_token(class, first_ms as f64);
            if self.tokens > 1 {
                let span = self.last.since(first).0 as f64;
                self.context
                    .metrics
                    .token_gap(class, span / f64::from(self.tokens - 1));
            }
            tracing::info!(event = "answered", request = %self.id, class, end, tokens = self.tokens, first_ms);
        }
        if self.tokens == 0 {
            return;
        }
        let account = self.caller.account(&self.service.name);
        let amount = usage::Amount {
            requests: 1,
            prompt_tokens: self.prompt,
            completion_tokens: u64::from(self.tokens),
        };
        self.context.record_usage(account, amount);
    }

    /// Ends an answer that can't go on.
    fn give_up(&mut self, refusal: &refusal::Refusal) {
        match self.sink.take() {
            Some(Sink::Waiting(reply) | Sink::Gathering(reply)) => {
                let execution = if self.reached {
                    refusal::Execution::Unknown
                } else {
                    refusal.execution
                };
                reply.refuse(
                    &refusal::Refusal {
                        execution,
                        ..*refusal
                    },
                    &self.context.metrics,
                );
            }
            Some(Sink::Streaming(stream)) => {
                self.sink = Some(Sink::Streaming(stream));
                let class = self.caller.class.name.as_str();
                self.context.metrics.answered(class, "broken");
                self.break_off(refusal.reason);
            }
            None => {}
        }
    }

    /// Ends a stream with an explicit error event and no end mark.
    fn break_off(&mut self, reason: refusal::Reason) {
        let refusal = refusal::Refusal::unknown(reason);
        match self.sink.take() {
            Some(Sink::Streaming(mut stream)) => {
                self.context.metrics.refused(reason);
                tracing::warn!(event = "broken_off", request = %self.id, reason = reason.as_str());
                let body = response::body(&refusal).to_string();
                let _ = stream.event(body.as_bytes()).and_then(|()| stream.end());
            }
            Some(Sink::Waiting(reply) | Sink::Gathering(reply)) => {
                reply.refuse(&refusal, &self.context.metrics);
            }
            None => {}
        }
    }
}

fn outcome(reason: metrics::Retry) -> request::Outcome {
    match reason {
        metrics::Retry::Preempted | metrics::Retry::Slow => request::Outcome::Stopped,
        metrics::Retry::Refused => request::Outcome::Refused,
        metrics::Retry::Connect | metrics::Retry::Broken => request::Outcome::Failed,
    }
}
