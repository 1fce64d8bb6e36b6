//! Processing of a request: receive, authenticate, route, send to upstreams, respond.

use std::rc;

use base::{clock, refusal};
use hyper::body;
use tokio::time;

use crate::{
    attempt, bodies, headers, host, model, reports, response, retry, stream, stream_class,
};

/// Suggested delay before a client retries when the host is stopping or no upstream ran the
/// request.
pub const RETRY_AFTER_DELAY: clock::Millis = clock::Millis(400);
/// Suggested delay before a client retries at a host that has no configuration yet.
const NOT_READY_RETRY_DELAY: clock::Millis = clock::Millis(1_000);
/// Share of the route's latency target after which an upstream that sends no data for a plain
/// request counts as stalled.
const PLAIN_STALL_SHARE: f64 = 0.6;
/// Time that a client is assumed to wait if the request states no deadline.
const DEFAULT_CLIENT_TIMEOUT: clock::Millis = clock::Millis(60_000);
/// Time before the client's deadline at which a response ends, so that it can reach the client.
const RESPONSE_MARGIN: clock::Millis = clock::Millis(30);

/// Serves one request from a client.
pub async fn serve(
    host: rc::Rc<host::Host>,
    request: http::Request<body::Incoming>,
) -> response::Response {
    let received_at = host.now();
    let call = match receive(&host, request, received_at).await {
        Ok(call) => rc::Rc::new(call),
        Err(rejection) => return rejection.respond(&host),
    };
    record_arrival(&host, &call);
    reports::request_trial(&host, &call).await;
    let mut history = retry::AttemptHistory::default();
    let attempts = async {
        match call.route.kind {
            model::RouteKind::Streaming => stream::serve(&host, &call, &mut history).await,
            model::RouteKind::Idempotent | model::RouteKind::NonIdempotent => {
                serve_plain(&host, &call, &mut history).await
            }
        }
    };
    tokio::select! {
        response = attempts => response,
        () = host.wait_for_phase(host::Phase::Ending) => {
            retry::refuse_interrupted(&host, &call, &history)
        }
    }
}

/// A request that was refused before it became an [`attempt::Call`].
struct Rejection {
    id: String,
    refusal: refusal::Refusal,
}

impl Rejection {
    fn respond(&self, host: &host::Host) -> response::Response {
        let version = host.current_config().map(|c| c.version);
        tracing::info!(
            event = "refused",
            id = self.id,
            reason = self.refusal.reason.as_str(),
            config = version,
            run = self.refusal.execution.as_str(),
        );
        host.metrics.record_refusal(self.refusal.reason);
        response::from_refusal(&self.refusal)
    }
}

/// Refuses a request whose head contains both a content length and a transfer coding, or a `#` in its target.
/// Proxies that forwarded it may have disagreed on where the request ends, or on what it asks for.
pub fn refuse_ambiguous_head(host: &host::Host) -> response::Response {
    let rejection = Rejection {
        id: String::new(),
        refusal: refusal::Refusal::not_run(refusal::Reason::BadRequest),
    };
    rejection.respond(host)
}

/// Reads, authenticates and routes a request.
async fn receive(
    host: &host::Host,
    request: http::Request<body::Incoming>,
    received_at: clock::Millis,
) -> Result<attempt::Call, Rejection> {
    let (parts, body) = request.into_parts();
    let refuse = |id: &str, reason| Rejection {
        id: id.to_owned(),
        refusal: refusal::Refusal::not_run(reason),
    };
    let meta = match host.protocol.read_request(&parts.headers) {
        Ok(meta) => meta,
        Err(_) => return Err(refuse("", refusal::Reason::BadRequest)),
    };
    let refuse_for_now = |id: &str, reason, delay| Rejection {
        id: id.to_owned(),
        refusal: refusal::Refusal::not_run(reason).with_retry_after(delay),
    };
    if !host.accepts_requests() {
        let reason = refusal::Reason::Stopping;
        return Err(refuse_for_now(&meta.id, reason, RETRY_AFTER_DELAY));
    }
    let Some(config) = host.current_config() else {
        let reason = refusal::Reason::NotReady;
        return Err(refuse_for_now(&meta.id, reason, NOT_READY_RETRY_DELAY));
    };
    let route =
        find_route(&config, &parts).ok_or_else(|| refuse(&meta.id, refusal::Reason::NotFound))?;
    let team = match &meta.api_key {
        Some(key) if config.keys_required => config.team_by_key(key).cloned(),
        _ => None,
    };
    if config.keys_required && !route.public && team.is_none() {
        return Err(refuse(&meta.id, refusal::Reason::BadKey));
    }
    let body = read_body(host, body, &config.limits)
        .await
        .map_err(|reason| match reason {
            refusal::Reason::HostFull => refuse_for_now(&meta.id, reason, RETRY_AFTER_DELAY),
            _ => refuse(&meta.id, reason),
        })?;
    let client_deadline = received_at + meta.timeout.unwrap_or(DEFAULT_CLIENT_TIMEOUT);
    let finish_by =
        (received_at + route.timeout).min(clock::Millis(client_deadline.since(RESPONSE_MARGIN).0));
    let tier = config.tier(team.as_deref(), &route);
    let service = route.pick_service(rand::random()).clone();
    let engine = config
        .services
        .get(&service)
        .and_then(|s| s.engine.as_ref());
    let stream_class = engine.map_or(stream_class::StreamClass::Other, |e| {
        stream_class::class_of(&route, e.tokens_per_event)
    });
    Ok(attempt::Call {
        meta,
        method: parts.method,
        uri: origin_form(&parts.uri),
        headers: headers::end_to_end(parts.headers),
        body,
        route,
        service,
        team,
        tier,
        stream_class,
        config_version: config.version,
        received_at,
        client_deadline,
        finish_by,
    })
}

fn find_route(
    config: &model::Config,
    parts: &http::request::Parts,
) -> Option<rc::Rc<model::Route>> {
    let host_header = parts.headers.get(http::header::HOST)?;
    let host = host_header.to_str().ok()?;
    config.find_route(host, parts.uri.path()).cloned()
}

async fn read_body(
    host: &host::Host,
    mut body: body::Incoming,
    limits: &model::Limits,
) -> Result<bytes::Bytes, refusal::Reason> {
    let free_memory = async || host.free_memory().await;
    let reading = bodies::read(&mut body, limits.body_bytes, &host.memory, free_memory);
    let result = time::timeout(limits.idle_timeout.duration(), reading).await;
    if let Ok(Err(bodies::Error::TooLarge | bodies::Error::Exhausted)) = result {
        bodies::discard(&mut body, limits.body_bytes, limits.idle_timeout).await;
    }
    match result {
        Err(_) => Err(refusal::Reason::SlowCaller),
        Ok(Err(bodies::Error::TooLarge)) => Err(refusal::Reason::TooLarge),
        Ok(Err(bodies::Error::Exhausted)) => Err(refusal::Reason::HostFull),
        Ok(Err(bodies::Error::Broken)) => Err(refusal::Reason::BadRequest),
        Ok(Ok(bytes)) => Ok(bytes),
    }
}

fn origin_form(uri: &http::Uri) -> http::Uri {
    match uri.path_and_query() {
        Some(path) => http::Uri::from(path.clone()),
        None => http::Uri::from_static("/"),
    }
}

fn record_arrival(host: &host::Host, call: &attempt::Call) {
    let now = host.now();
    let limit = host.settings.retry_limit;
    let mut budgets = host.retry_budgets.borrow_mut();
    let budget = budgets.entry(call.service.clone()).or_default();
    budget.record_request(now, &limit);
}

/// Counts a request that was sent to an upstream at `started_at` for its team's usage.
pub fn count_started(host: &host::Host, call: &attempt::Call, started_at: clock::Millis) {
    let Some(team) = &call.team else { return };
    let wall = host.wall_time();
    let started_wall = clock::Millis(wall.since(host.now().since(started_at)).0);
    let window = started_wall.0 / host.settings.timing.usage_window.0;
    let mut windows = host.usage_counter.borrow_mut();
    windows.counts.record_request(window, &team.name);
}

/// Serves a request whose response is buffered and then sent as a whole.
async fn serve_plain(
    host: &rc::Rc<host::Host>,
    call: &rc::Rc<attempt::Call>,
    history: &mut retry::AttemptHistory,
) -> response::Response {
    let mut error_response: Option<response::Response> = None;
    let reason = loop {
        let selection = match retry::select_upstream(host, call, history) {
            Ok(selection) => selection,
            Err(reason) => break reason,
        };
        let sent_at = host.now();
        let timeout = retry::attempt_timeout(host, call, history);
        let remaining = || clock::Millis(timeout.since(host.now().since(sent_at)).0);
        let stall_timeout = retry::stall_timeout(host, call, history, PLAIN_STALL_SHARE);
        let attempt = attempt::send(
            host,
            call,
            selection,
            call.meta.last_event_id,
            timeout,
            stall_timeout,
        );
        let may_retry = retry::may_retry(host, call, history);
        let mut error_head = None;
        let (failure, possibly_ran) = match attempt.await {
            attempt::Outcome::NotRun(failure) => (failure, false),
            attempt::Outcome::MayHaveRun(failure) => {
                count_started(host, call, sent_at);
                (failure, true)
            }
            attempt::Outcome::Response(head) if head.parts.status.is_server_error() => {
                count_started(host, call, sent_at);
                error_head = Some(head);
                (attempt::Failure::ServerError, true)
            }
            attempt::Outcome::Response(head) => {
                count_started(host, call, sent_at);
                match head.read_body(remaining()).await {
                    Err(failure) => (failure, true),
                    Ok((parts, bytes, in_flight)) => {
                        let status = parts.status;
                        let name = in_flight.selection.name.clone();
                        drop(in_flight);
                        let response = response::buffered(headers::response_parts(parts), bytes);
                        host.fleet
                            .borrow_mut()
                            .record_success(&name, 1.0, host.now());
                        let first_latency = host.now().since(call.received_at);
                        retry::log_request(
                            host,
                            call,
                            history,
                            "whole",
                            status.as_u16(),
                            Some(first_latency),
                        );
                        return response;
                    }
                }
            }
        };
        retry::record_failure(host, call, history, failure, possibly_ran);
        if let Some(head) = error_head {
            let read = head.read_error_body(remaining(), may_retry).await;
            error_response = read.ok().or(error_response);
        }
        if possibly_ran && !call.route.is_retryable() || host.now() >= call.finish_by {
            break refusal::Reason::UpstreamFailed;
        }
    };
    if let Some(response) = error_response {
        let status = response.status().as_u16();
        retry::log_request(host, call, history, "failed", status, None);
        return response;
    }
    retry::refuse_after_attempts(host, call, history, reason)
}
