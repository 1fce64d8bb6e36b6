//! Calls of plain services.

use base::{clock, name, refusal};
use config::document;
use peer::message;
use policy::{request, usage};

use crate::{body, client, context, idempotency, response, retry, upstream};

/// Headers of callers that are passed on. Anything else stays here, so that no key passes.
const PASSED: [&str; 8] = [
    "accept",
    "accept-language",
    "content-type",
    "content-language",
    "if-match",
    "if-none-match",
    "if-modified-since",
    "if-unmodified-since",
];
/// Headers of answers that belong to the connection and are not passed on.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "transfer-encoding",
    "content-length",
    "te",
    "trailer",
    "upgrade",
    "proxy-authenticate",
    "x-request-id",
];
/// Plain answers are held whole before they are passed on, up to this many bytes.
const MAX_ANSWER: usize = 16 << 20;

/// A call as it came.
pub struct Call {
    /// Its method.
    pub method: String,
    /// Its path behind the service's name, with the query.
    pub path: String,
    /// Headers to pass on.
    pub headers: Vec<(String, String)>,
    /// Its body.
    pub body: Vec<u8>,
}

impl Call {
    /// Whether it may run more than once.
    pub fn is_repeatable(&self, service: &document::Service) -> bool {
        service.idempotent || matches!(self.method.as_str(), "GET" | "HEAD" | "OPTIONS")
    }
}

/// Serves a call of the service `name`.
pub fn serve(context: &context::Context, mut http: tiny_http::Request, name: &str, path: &str) {
    let credentials = client::Credentials::read(&http);
    let id = context.request_id();
    let read = body::read(
        &mut http,
        context.settings.limits.body_bytes,
        &context.clock,
    );
    let method = http.method().to_string();
    let headers = passed(&http);
    let reply = response::Responder::new(http, id.clone());
    let call = read.map(|body| Call {
        method,
        path: path.to_owned(),
        headers,
        body,
    });
    let result = call.and_then(|call| answer(context, &credentials, name, &call, &id));
    match result {
        Ok(answer) => send(reply, &answer),
        Err(refusal) => reply.refuse(&refusal, &context.metrics),
    }
}

fn passed(http: &tiny_http::Request) -> Vec<(String, String)> {
    let mut out = Vec::new();
    for h in http.headers() {
        let name = h.field.as_str().as_str().to_ascii_lowercase();
        if PASSED.contains(&name.as_str()) {
            out.push((name, h.value.as_str().to_owned()));
        }
    }
    out
}

fn send(reply: response::Responder, answer: &upstream::Answer) {
    let mut headers: Vec<response::Header<'_>> = Vec::new();
    for (name, value) in &answer.headers {
        if !HOP_BY_HOP.contains(&name.as_str()) {
            headers.push((name, value));
        }
    }
    let _ = reply.send(answer.status, &headers, &answer.body);
}

fn answer(
    context: &context::Context,
    credentials: &client::Credentials,
    name: &str,
    call: &Call,
    id: &str,
) -> Result<upstream::Answer, refusal::Refusal> {
    let refuse = |reason| Err(refusal::Refusal::not_run(reason));
    if !context.is_ready() {
        return refuse(refusal::Reason::NotReady);
    }
    let service = context.view().service(name);
    let Some(service) = service.filter(|s| s.kind == document::ServiceKind::Plain) else {
        return refuse(refusal::Reason::NotFound);
    };
    let caller = client::admit(context, credentials, &service)?;
    if client::carries_key(credentials, &call.body)
        || client::carries_key(credentials, call.path.as_bytes())
        || call
            .headers
            .iter()
            .any(|(_, v)| client::carries_key(credentials, v.as_bytes()))
    {
        return refuse(refusal::Reason::BadRequest);
    }
    let run = Run {
        context,
        service: &service,
        caller: &caller,
        call,
        id,
    };
    if call.is_repeatable(&service) {
        return run.repeatable();
    }
    match &credentials.once {
        Some(key) if key.len() > client::MAX_ONCE_BYTES || key.is_empty() => {
            refuse(refusal::Reason::BadRequest)
        }
        Some(key) => idempotency::run(context, &caller, &service.name, key, call, |first| {
            run.single(first)
        }),
        None => run.single(&mut || Ok(())),
    }
}

/// What the tries of one call have shown so far.
struct Tries {
    arrived: clock::Millis,
    avoid: Vec<name::Upstream>,
    /// Whether one of them may have run it.
    reached: bool,
    /// An upstream's own answer that it failed.
    failed: Option<upstream::Answer>,
}

impl Tries {
    fn new(arrived: clock::Millis) -> Self {
        Self {
            arrived,
            avoid: Vec::new(),
            reached: false,
            failed: None,
        }
    }

    /// The refusal as it may be told after these tries.
    fn honest(&self, refusal: refusal::Refusal) -> refusal::Refusal {
        let execution = if self.reached {
            refusal::Execution::Unknown
        } else {
            refusal.execution
        };
        refusal::Refusal {
            execution,
            ..refusal
        }
    }
}

/// One call under way.
struct Run<'a> {
    context: &'a context::Context,
    service: &'a document::Service,
    caller: &'a client::Caller,
    call: &'a Call,
    id: &'a str,
}

impl Run<'_> {
    fn ask(&self, avoid: &[name::Upstream], arrived: clock::Millis) -> message::SlotRequest {
        message::SlotRequest {
            service: self.service.name.clone(),
            class: self.caller.class.name.clone(),
            ticket: self.context.admission.ticket(),
            team: self.caller.team_name().into(),
            waited: self.context.clock.now().since(arrived),
            prompt_tokens: 0,
            max_tokens: 1,
            prefix_hash: 0,
            resumable: false,
            received_tokens: 0,
            excluded: avoid.to_vec(),
        }
    }

    /// A call that may run more than once: tried elsewhere under the retry budget. If nobody is
    /// left to try, an upstream's own failure is passed on.
    fn repeatable(&self) -> Result<upstream::Answer, refusal::Refusal> {
        let mut tries = Tries::new(self.context.clock.now());
        let result = self.attempts(&mut tries, true, &mut || Ok(()));
        match (result, tries.failed) {
            (Err(_), Some(answer)) => Ok(answer),
            (result, _) => result,
        }
    }

    /// A call that runs at most once: tried elsewhere only if no byte of it was sent. `before`
    /// runs once, after a slot is granted and before the first byte is sent.
    fn single(
        &self,
        before: &mut dyn FnMut() -> Result<(), refusal::Refusal>,
    ) -> Result<upstream::Answer, refusal::Refusal> {
        let mut tries = Tries::new(self.context.clock.now());
        self.attempts(&mut tries, false, before)
    }

    fn attempts(
        &self,
        tries: &mut Tries,
        repeatable: bool,
        before: &mut dyn FnMut() -> Result<(), refusal::Refusal>,
    ) -> Result<upstream::Answer, refusal::Refusal> {
        let mut claimed = false;
        loop {
            let asked = self
                .context
                .admission
                .enter(self.ask(&tries.avoid, tries.arrived));
            let permit = asked.map_err(|refusal| tries.honest(refusal))?;
            let all = &self.service.upstreams;
            let Some(upstream) = all.iter().find(|u| u.name == permit.upstream) else {
                tries.avoid.push(permit.upstream.clone());
                continue;
            };
            if !claimed {
                before()?;
                claimed = true;
            }
            let result = self.send(upstream);
            let first = self.context.clock.now().since(permit.started());
            let error = match result {
                Ok(answer) if !(repeatable && matches!(answer.status, 502..=504)) => {
                    permit.finish(request::Outcome::Completed, 1, first);
                    self.end();
                    return Ok(answer);
                }
                Ok(answer) => {
                    tries.failed = Some(answer);
                    upstream::Error::Broken
                }
                Err(e) => e,
            };
            permit.finish(request::Outcome::Failed, 0, first);
            self.note(tries, upstream, error, repeatable)?;
        }
    }

    fn send(&self, upstream: &document::Upstream) -> Result<upstream::Answer, upstream::Error> {
        let call = self.call;
        let plain = upstream::Plain {
            method: &call.method,
            path: &call.path,
            headers: &call.headers,
            id: &self.context.request_id(),
            body: &call.body,
        };
        self.context.upstreams.plain(upstream, &plain, MAX_ANSWER)
    }

    /// Notes a failed try.
    ///
    /// # Errors
    ///
    /// The refusal, if it may not be tried again.
    fn note(
        &self,
        tries: &mut Tries,
        upstream: &document::Upstream,
        error: upstream::Error,
        repeatable: bool,
    ) -> Result<(), refusal::Refusal> {
        let reason = retry::reason(error);
        tries.reached |= retry::may_have_run(error);
        let name = upstream.name.as_str();
        tracing::info!(
            event = "attempt_ended",
            request = self.id,
            upstream = name,
            reason = reason.as_str()
        );
        tries.avoid.push(upstream.name.clone());
        let retry = retry::Retry { reason, repeatable };
        let left = tries.avoid.len() < self.service.upstreams.len();
        if !left || !retry.is_allowed(self.context.upstreams.budget()) {
            return Err(tries.honest(retry::refusal(error)));
        }
        self.context.metrics.retried(reason);
        Ok(())
    }

    fn end(&self) {
        self.context.upstreams.budget().earn();
        let class = self.caller.class.name.as_str();
        self.context.metrics.answered(class, "whole");
        tracing::info!(event = "answered", request = self.id, class, end = "whole");
        let amount = usage::Amount {
            requests: 1,
            prompt_tokens: 0,
            completion_tokens: 0,
        };
        self.context
            .record_usage(self.caller.account(&self.service.name), amount);
    }
}
