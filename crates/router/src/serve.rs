//! Processing of a request: receive, authenticate, route, send to upstreams, respond.

use std::rc;

use base::{clock, name, refusal};
use http_body_util::BodyExt as _;
use hyper::body;
use smallvec::SmallVec;
use tokio::time;

use crate::{
    attempt, headers, host, model, ports, prompt_evidence, quarantine, reports, response,
    selection, stream, stream_class,
};

/// Attempts allowed in addition to the route's maximum, to replace attempts that did not run.
const EXTRA_ATTEMPTS: u32 = 2;
/// Suggested delay before a client retries when the host is stopping or no upstream ran the
/// request.
const RETRY_AFTER_DELAY: clock::Millis = clock::Millis(400);
/// Suggested delay before a client retries at a host that has no configuration yet.
const NOT_READY_RETRY_DELAY: clock::Millis = clock::Millis(1_000);
/// Share of the route's latency target after which a plain request is retried at another upstream.
const PLAIN_TIMEOUT_SHARE: f64 = 0.6;
/// Share of the route's latency target after which an upstream that sends no data for a plain
/// request counts as stalled.
const PLAIN_STALL_SHARE: f64 = 0.6;
/// Time that a client is assumed to wait if the request states no deadline.
const DEFAULT_CLIENT_TIMEOUT: clock::Millis = clock::Millis(60_000);
/// Time before the client's deadline at which a response ends, so that it can reach the client.
const RESPONSE_MARGIN: clock::Millis = clock::Millis(30);

/// Attempts of one request so far.
#[derive(Debug, Default)]
pub struct AttemptHistory {
    /// Number of attempts, whether they succeeded or not.
    pub sent_count: u32,
    /// Number of failed attempts that may have reached an upstream.
    pub reached_count: u32,
    /// Number of failed attempts that may have run at an upstream.
    pub run_count: u32,
    /// Upstreams that the request was sent to, the latest last.
    pub tried: SmallVec<[name::Upstream; 4]>,
    /// Inputs of the latest upstream selection.
    pub details: selection::Details,
    /// Failure of the latest failed attempt.
    pub last_failure: Option<attempt::Failure>,
    /// Longest gap between two events that were forwarded to the client.
    pub max_gap: clock::Millis,
    /// When the first event of the latest attempt arrived; `None` if none has.
    pub begun_at: Option<clock::Millis>,
    /// Whether the request was let through although a part of its prompt is withheld.
    pub is_trial: bool,
    /// Time until the next such request, if this one was withheld.
    pub trial_in: Option<clock::Millis>,
}

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
    match call.route.kind {
        model::RouteKind::Streaming => stream::serve(&host, &call).await,
        model::RouteKind::Idempotent | model::RouteKind::NonIdempotent => {
            serve_plain(&host, &call).await
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

/// Refuses a request whose head contains both a content length and a transfer coding. Proxies that
/// forwarded it may have disagreed on where the request ends.
pub fn refuse_ambiguous_length(host: &host::Host) -> response::Response {
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
    if *host.phase.borrow() == host::Phase::Refusing {
        let mut rejection = refuse(&meta.id, refusal::Reason::Stopping);
        rejection.refusal = rejection.refusal.with_retry_after(RETRY_AFTER_DELAY);
        return Err(rejection);
    }
    let Some(config) = host.current_config() else {
        let mut rejection = refuse(&meta.id, refusal::Reason::NotReady);
        rejection.refusal = rejection.refusal.with_retry_after(NOT_READY_RETRY_DELAY);
        return Err(rejection);
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
    let body = read_body(body, &config.limits)
        .await
        .map_err(|reason| refuse(&meta.id, reason))?;
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
    body: body::Incoming,
    limits: &model::Limits,
) -> Result<bytes::Bytes, refusal::Reason> {
    let limited = http_body_util::Limited::new(body, limits.body_bytes);
    match time::timeout(limits.idle_timeout.duration(), limited.collect()).await {
        Err(_) => Err(refusal::Reason::SlowCaller),
        Ok(Err(e)) if e.is::<http_body_util::LengthLimitError>() => Err(refusal::Reason::TooLarge),
        Ok(Err(_)) => Err(refusal::Reason::BadRequest),
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
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

/// Whether the request must not be sent because a part of its prompt crashes upstreams. Applies to
/// each attempt: the part may have been found after the first one.
fn is_withheld(host: &host::Host, call: &attempt::Call, history: &mut AttemptHistory) -> bool {
    if history.is_trial {
        return history.reached_count > 0;
    }
    let mut quarantine = host.quarantine.borrow_mut();
    match quarantine.admit(&call.shared_parts(), call.team_hash(), host.now()) {
        quarantine::Admission::Open => false,
        quarantine::Admission::Trial => {
            history.is_trial = true;
            tracing::info!(event = "trial", id = call.meta.id);
            false
        }
        quarantine::Admission::Withheld(trial_in) => {
            history.trial_in = Some(trial_in);
            true
        }
    }
}

/// Selects an upstream for the next attempt. Fails if no upstream is usable, or if the maximum
/// number of attempts or the retry budget is exhausted.
pub fn select_upstream(
    host: &host::Host,
    call: &attempt::Call,
    history: &mut AttemptHistory,
) -> Result<selection::Selection, refusal::Reason> {
    let attempts = call.route.max_attempts.max(1);
    if history.run_count >= attempts || history.sent_count >= attempts + EXTRA_ATTEMPTS {
        return Err(refusal::Reason::UpstreamFailed);
    }
    if is_withheld(host, call, history) {
        return Err(refusal::Reason::Withheld);
    }
    let criteria = selection::Criteria {
        service: &call.service,
        prompt_parts: &call.meta.prompt_parts,
        prompt_tokens: call.meta.prompt_tokens,
        tier: call.tier,
        stream_class: call.stream_class,
        excluded: &history.tried,
    };
    let fleet = host.fleet.borrow();
    let Some(selection) = fleet.select(&criteria, host.now()) else {
        return Err(if fleet.has_untried(&criteria) {
            refusal::Reason::Shed
        } else {
            refusal::Reason::NoUpstream
        });
    };
    drop(fleet);
    if history.reached_count > 0 && !host.spend_retry(&call.service) {
        return Err(refusal::Reason::UpstreamFailed);
    }
    if history.sent_count > 0 {
        let reason = history
            .last_failure
            .map_or("unknown", attempt::Failure::as_str);
        host.metrics.record_retry(reason);
    }
    let mut demand = host.demand.borrow_mut();
    let demand = demand.entry(call.service.clone()).or_default();
    demand.record_request(selection.unread_tokens);
    history.sent_count += 1;
    history.details = selection.details;
    history.begun_at = None;
    history.tried.push(selection.name.clone());
    Ok(selection)
}

/// Records a failed attempt in `history` and the fleet, and logs it.
pub fn record_failure(
    host: &host::Host,
    call: &attempt::Call,
    history: &mut AttemptHistory,
    failure: attempt::Failure,
    possibly_ran: bool,
) {
    let now = host.now();
    history.last_failure = Some(failure);
    if failure != attempt::Failure::Connect {
        history.reached_count += 1;
    }
    if possibly_ran {
        history.run_count += 1;
    }
    let upstream = history.tried.last();
    if let Some(name) = upstream
        && failure != attempt::Failure::Refused
    {
        host.fleet.borrow_mut().record_failure(name, now);
        prompt_evidence::record_failure(host, call, name, failure, history.begun_at);
    }
    tracing::info!(
        event = "try_failed",
        id = call.meta.id,
        upstream = upstream.map_or("", name::Upstream::as_str),
        reason = failure.as_str(),
        may_have_run = possibly_ran,
        begun_ms = history.begun_at.map(|at| now.since(at).0),
        parts = %ports::PartIds(&call.meta.prompt_parts),
        sends = history.sent_count,
        busy = history.details.in_flight,
        told = history.details.reported_requests,
        told_age_ms = history.details.report_age_ms,
        after_ms = now.since(call.received_at).0,
    );
}

/// Refuses a request after its last attempt; `reason` says why there is no other attempt.
pub fn refuse_after_attempts(
    host: &host::Host,
    call: &attempt::Call,
    history: &AttemptHistory,
    reason: refusal::Reason,
) -> response::Response {
    let now = host.now();
    let refusal = if history.run_count == 0 {
        let reason = match reason {
            refusal::Reason::UpstreamFailed => refusal::Reason::NoUpstream,
            other => other,
        };
        let delay = history.trial_in.unwrap_or(RETRY_AFTER_DELAY);
        refusal::Refusal::not_run(reason).with_retry_after(delay)
    } else if now >= call.finish_by {
        refusal::Refusal::unknown(refusal::Reason::UpstreamTimeout)
    } else {
        refusal::Refusal::unknown(refusal::Reason::UpstreamFailed)
    };
    host.metrics.record_refusal(refusal.reason);
    log_request(
        host,
        call,
        history,
        refusal.reason.as_str(),
        refusal.reason.status(),
        None,
    );
    response::from_refusal(&refusal)
}

/// Writes the log line and the metrics of an ended request.
pub fn log_request(
    host: &host::Host,
    call: &attempt::Call,
    history: &AttemptHistory,
    end: &'static str,
    status: u16,
    first_latency: Option<clock::Millis>,
) {
    let now = host.now();
    let total = now.since(call.received_at).0;
    tracing::info!(
        event = "request",
        id = call.meta.id,
        route = call.route.name,
        parts = %ports::PartIds(&call.meta.prompt_parts),
        team = call.team.as_ref().map_or("", |t| t.name.as_str()),
        tier = call.tier,
        upstream = history.tried.last().map_or("", name::Upstream::as_str),
        sends = history.sent_count,
        usable = history.details.usable,
        kept = history.details.prefix_cached,
        busy = history.details.in_flight,
        told = history.details.reported_requests,
        told_age_ms = history.details.report_age_ms,
        cost_ms = history.details.cost_ms,
        band = call.stream_class.as_str(),
        at_band = history.details.upstream_class.as_str(),
        config = call.config_version,
        end,
        status,
        first_ms = first_latency.map(|f| f.0),
        gap_ms = history.max_gap.0,
        total_ms = total,
        left_ms = call.client_deadline.since(now).0,
    );
    let first_latency = first_latency.map(|f| f.0 as f64);
    host.metrics
        .record_response(&call.route.name, end, first_latency, total as f64);
}

/// Whether the request may be retried at another upstream if the current attempt fails.
pub fn may_retry(host: &host::Host, call: &attempt::Call, history: &AttemptHistory) -> bool {
    let attempts_left =
        call.route.is_retryable() && history.run_count + 1 < call.route.max_attempts;
    attempts_left && host.can_retry(&call.service)
}

/// Time limit of the next attempt: all the remaining time, or less for a plain request that may be
/// retried. A stream that waits at a working upstream would only wait again elsewhere.
pub fn attempt_timeout(
    host: &host::Host,
    call: &attempt::Call,
    history: &AttemptHistory,
) -> clock::Millis {
    let remaining = call.finish_by.since(host.now());
    if call.route.kind == model::RouteKind::Streaming || !may_retry(host, call, history) {
        return remaining;
    }
    remaining.min(clock::Millis(
        (call.route.latency_target.0 as f64 * PLAIN_TIMEOUT_SHARE) as u64,
    ))
}

/// How long the upstream may send no data before the attempt is aborted: `share` of the route's
/// latency target, or the route's timeout if the request can't be retried.
pub fn stall_timeout(
    host: &host::Host,
    call: &attempt::Call,
    history: &AttemptHistory,
    share: f64,
) -> clock::Millis {
    if !may_retry(host, call, history) {
        return call.route.timeout;
    }
    clock::Millis((call.route.latency_target.0 as f64 * share) as u64)
}

/// Serves a request whose response is buffered and then sent as a whole.
async fn serve_plain(
    host: &rc::Rc<host::Host>,
    call: &rc::Rc<attempt::Call>,
) -> response::Response {
    let mut history = AttemptHistory::default();
    let mut error_response: Option<response::Response> = None;
    let reason = loop {
        let selection = match select_upstream(host, call, &mut history) {
            Ok(selection) => selection,
            Err(reason) => break reason,
        };
        let sent_at = host.now();
        let timeout = attempt_timeout(host, call, &history);
        let stall_timeout = stall_timeout(host, call, &history, PLAIN_STALL_SHARE);
        let attempt = attempt::send(
            host,
            call,
            selection,
            call.meta.last_event_id,
            timeout,
            stall_timeout,
        );
        let (failure, possibly_ran) = match attempt.await {
            attempt::Outcome::NotRun(failure) => (failure, false),
            attempt::Outcome::MayHaveRun(failure) => {
                count_started(host, call, sent_at);
                (failure, true)
            }
            attempt::Outcome::Response(head) => {
                count_started(host, call, sent_at);
                let remaining = clock::Millis(timeout.since(host.now().since(sent_at)).0);
                match head.read_body(remaining).await {
                    Err(failure) => (failure, true),
                    Ok((parts, bytes, in_flight)) => {
                        let status = parts.status;
                        let name = in_flight.selection.name.clone();
                        drop(in_flight);
                        let response = response::buffered(headers::response_parts(parts), bytes);
                        if !status.is_server_error() {
                            host.fleet
                                .borrow_mut()
                                .record_success(&name, 1.0, host.now());
                            let first_latency = host.now().since(call.received_at);
                            log_request(
                                host,
                                call,
                                &history,
                                "whole",
                                status.as_u16(),
                                Some(first_latency),
                            );
                            return response;
                        }
                        error_response = Some(response);
                        (attempt::Failure::ServerError, true)
                    }
                }
            }
        };
        record_failure(host, call, &mut history, failure, possibly_ran);
        if possibly_ran && !call.route.is_retryable() || host.now() >= call.finish_by {
            break refusal::Reason::UpstreamFailed;
        }
    };
    if let Some(response) = error_response {
        let status = response.status().as_u16();
        log_request(host, call, &history, "failed", status, None);
        return response;
    }
    refuse_after_attempts(host, call, &history, reason)
}
