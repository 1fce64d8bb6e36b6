//! Serves requests to plain services: HTTP services that are not engines.

use base::{clock, name, refusal};
use bytes::Bytes;
use config::document;
use peer::message;
use policy::{request, usage};

use crate::{client, context, http_request, idempotency, response, retry, upstream};

/// Request headers that are forwarded to upstreams. All others are dropped, so that no API key is
/// forwarded.
const FORWARDED_REQUEST_HEADERS: [&str; 8] = [
    "accept",
    "accept-language",
    "content-type",
    "content-language",
    "if-match",
    "if-none-match",
    "if-modified-since",
    "if-unmodified-since",
];
/// Response headers that apply to a single connection or that the host sets itself; they are not
/// forwarded to the client.
const CONNECTION_HEADERS: [&str; 9] = [
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
/// Maximum size of a response body; responses of plain services are buffered completely before they
/// are sent to the client.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// A client's request to a plain service.
pub struct Call {
    /// HTTP method, such as `GET`.
    pub method: String,
    /// Rest of the path after the name of the service, with the query.
    pub path: String,
    /// Request headers to forward to the upstream, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// Request body; may be empty.
    pub body: Bytes,
}

impl Call {
    /// Whether the request may be run more than once: the service is idempotent or the method is
    /// `GET`, `HEAD` or `OPTIONS`.
    pub fn is_retryable(&self, service: &document::Service) -> bool {
        service.idempotent || matches!(self.method.as_str(), "GET" | "HEAD" | "OPTIONS")
    }
}

/// Serves a request to the plain service `name` and sends its response. `path` is the rest of the
/// path after the name.
pub fn serve(context: &context::Context, mut http: http_request::Request, name: &str, path: &str) {
    let credentials = client::Credentials::read(&http);
    let id = context.request_id();
    let body_result = http.take_body(context.settings.limits.body_bytes);
    let method = http.method().to_string();
    let headers = forwarded_headers(&http);
    let responder = response::Responder::new(http, id.clone());
    let call = body_result.map(|body| Call {
        method,
        path: path.to_owned(),
        headers,
        body,
    });
    let result = call.and_then(|call| serve_call(context, &credentials, name, &call, &id));
    match result {
        Ok(response) => send_response(responder, &response),
        Err(refusal) => responder.refuse(&refusal, &context.metrics),
    }
}

fn forwarded_headers(http: &http_request::Request) -> Vec<(String, String)> {
    let mut forwarded = Vec::new();
    for (name, value) in http.headers() {
        let Ok(value) = value.to_str() else { continue };
        if FORWARDED_REQUEST_HEADERS.contains(&name.as_str()) {
            forwarded.push((name.as_str().to_owned(), value.to_owned()));
        }
    }
    forwarded
}

fn send_response(responder: response::Responder, response: &upstream::Response) {
    let mut headers: Vec<response::Header<'_>> = Vec::new();
    for (name, value) in &response.headers {
        if !CONNECTION_HEADERS.contains(&name.as_str()) {
            headers.push((name, value));
        }
    }
    let _ = responder.send_bytes(response.status, &headers, response.body.clone());
}

fn serve_call(
    context: &context::Context,
    credentials: &client::Credentials,
    name: &str,
    call: &Call,
    id: &str,
) -> Result<upstream::Response, refusal::Refusal> {
    let refuse = |reason| Err(refusal::Refusal::not_run(reason));
    if !context.is_ready() {
        return refuse(refusal::Reason::NotReady);
    }
    let service = context.view().service(name);
    let Some(service) = service.filter(|s| s.kind == document::ServiceKind::Plain) else {
        return refuse(refusal::Reason::NotFound);
    };
    let client = client::authorize(context, credentials, &service)?;
    if client::contains_key(credentials, &call.body)
        || client::contains_key(credentials, call.path.as_bytes())
        || call
            .headers
            .iter()
            .any(|(_, v)| client::contains_key(credentials, v.as_bytes()))
    {
        return refuse(refusal::Reason::BadRequest);
    }
    let service_run = ServiceRun {
        context,
        service: &service,
        client: &client,
        call,
        id,
    };
    if call.is_retryable(&service) {
        return service_run.run_retryable();
    }
    match &credentials.idempotency_key {
        Some(key) if key.len() > client::MAX_IDEMPOTENCY_KEY_BYTES || key.is_empty() => {
            refuse(refusal::Reason::BadRequest)
        }
        Some(key) => idempotency::run(context, &client, &service.name, key, call, |before_send| {
            service_run.run_once(before_send)
        }),
        None => service_run.run_once(&mut || Ok(())),
    }
}

/// State that the attempts of one request share.
struct AttemptHistory {
    /// Time at which the request arrived.
    arrived_at: clock::Millis,
    /// Upstreams on which an attempt has failed.
    excluded: Vec<name::Upstream>,
    /// Whether an upstream may have run the request.
    may_have_run: bool,
    /// Last response of an upstream with status 502 or 504.
    error_response: Option<upstream::Response>,
}

impl AttemptHistory {
    fn new(arrived_at: clock::Millis) -> Self {
        Self {
            arrived_at,
            excluded: Vec::new(),
            may_have_run: false,
            error_response: None,
        }
    }

    /// Returns `refusal`, or what it is if an earlier attempt may have run the request.
    fn adjust_execution(&self, refusal: refusal::Refusal) -> refusal::Refusal {
        if self.may_have_run {
            refusal.of_possible_run()
        } else {
            refusal
        }
    }
}

/// A request to a plain service that is being served.
struct ServiceRun<'a> {
    context: &'a context::Context,
    service: &'a document::Service,
    client: &'a client::Client,
    call: &'a Call,
    id: &'a str,
}

impl ServiceRun<'_> {
    fn slot_request(
        &self,
        excluded: &[name::Upstream],
        arrived_at: clock::Millis,
    ) -> message::SlotRequest {
        message::SlotRequest {
            service: self.service.name.clone(),
            class: self.client.class.name.clone(),
            ticket: self.context.admission.new_ticket(),
            team: self.client.team_name().into(),
            waited: self.context.clock.now().since(arrived_at),
            prompt_tokens: 0,
            max_tokens: 1,
            prefix_hash: 0,
            resumable: false,
            received_tokens: 0,
            excluded: excluded.to_vec(),
        }
    }

    /// Runs a request that may run more than once: a failed attempt is retried on another upstream
    /// within the retry budget. If no retry is possible, the last error response of an upstream is
    /// returned.
    fn run_retryable(&self) -> Result<upstream::Response, refusal::Refusal> {
        let mut history = AttemptHistory::new(self.context.clock.now());
        let result = self.run_attempts(&mut history, true, &mut || Ok(()));
        match (result, history.error_response) {
            (Err(_), Some(response)) => Ok(response),
            (result, _) => result,
        }
    }

    /// Runs a request that may run at most once: a failed attempt is retried on another upstream
    /// only if no byte was sent. `before_send` is called once, after a slot is granted and before
    /// the first byte is sent.
    fn run_once(
        &self,
        before_send: &mut dyn FnMut() -> Result<(), refusal::Refusal>,
    ) -> Result<upstream::Response, refusal::Refusal> {
        let mut history = AttemptHistory::new(self.context.clock.now());
        self.run_attempts(&mut history, false, before_send)
    }

    /// Sends the request to one upstream after another until one responds or no retry is allowed.
    fn run_attempts(
        &self,
        history: &mut AttemptHistory,
        retryable: bool,
        before_send: &mut dyn FnMut() -> Result<(), refusal::Refusal>,
    ) -> Result<upstream::Response, refusal::Refusal> {
        let mut is_prepared = false;
        loop {
            let permit_result = self
                .context
                .admission
                .acquire(self.slot_request(&history.excluded, history.arrived_at));
            let permit = permit_result.map_err(|refusal| history.adjust_execution(refusal))?;
            let upstreams = &self.service.upstreams;
            let Some(upstream) = upstreams.iter().find(|u| u.name == permit.upstream) else {
                history.excluded.push(permit.upstream.clone());
                continue;
            };
            if !is_prepared {
                before_send()?;
                is_prepared = true;
            }
            let result = self.send_attempt(upstream);
            let ttft = self.context.clock.now().since(permit.granted_at());
            let error = match result {
                Ok(response) if !(retryable && matches!(response.status, 502 | 504)) => {
                    permit.finish(request::Outcome::Completed, 1, ttft);
                    self.record_success();
                    return Ok(response);
                }
                Ok(response) => {
                    history.error_response = Some(response);
                    upstream::Error::BadResponse
                }
                Err(e) => e,
            };
            permit.finish(request::Outcome::Failed, 0, ttft);
            self.record_failure(history, upstream, error, retryable)?;
        }
    }

    fn send_attempt(
        &self,
        upstream: &document::Upstream,
    ) -> Result<upstream::Response, upstream::Error> {
        let call = self.call;
        let plain = upstream::PlainRequest {
            method: &call.method,
            path: &call.path,
            headers: &call.headers,
            id: &self.context.request_id(),
            body: &call.body,
        };
        self.context
            .upstreams
            .send_plain(upstream, &plain, MAX_RESPONSE_BYTES)
    }

    /// Records a failed attempt and takes a retry from the budget.
    ///
    /// # Errors
    ///
    /// Returns the refusal that ends the request if no retry is allowed.
    fn record_failure(
        &self,
        history: &mut AttemptHistory,
        upstream: &document::Upstream,
        error: upstream::Error,
        retryable: bool,
    ) -> Result<(), refusal::Refusal> {
        let reason = retry::reason(error);
        history.may_have_run |= retry::may_have_run(error);
        let name = upstream.name.as_str();
        tracing::info!(
            event = "attempt_ended",
            request = self.id,
            upstream = name,
            reason = reason.as_str()
        );
        history.excluded.push(upstream.name.clone());
        let attempt = retry::FailedAttempt { reason, retryable };
        let has_untried = history.excluded.len() < self.service.upstreams.len();
        if !has_untried || !attempt.may_retry(self.context.upstreams.retry_budget()) {
            return Err(history.adjust_execution(retry::refusal(error)));
        }
        self.context.metrics.count_retry(reason);
        Ok(())
    }

    fn record_success(&self) {
        self.context.upstreams.retry_budget().deposit();
        let class = self.client.class.name.as_str();
        self.context.metrics.count_response(class, "whole");
        tracing::info!(event = "answered", request = self.id, class, end = "whole");
        let amount = usage::Amount {
            requests: 1,
            prompt_tokens: 0,
            completion_tokens: 0,
        };
        self.context
            .record_usage(self.client.account(&self.service.name), amount);
    }
}
