//! A request's way through the host: receive, authenticate, route, try, reply.

use std::rc;

use base::{clock, name, refusal};
use http_body_util::BodyExt as _;
use hyper::body;
use smallvec::SmallVec;
use tokio::time;

use crate::{attempt, fleet, host, model, response, stream, stream_class};

/// Tries that upstreams may refuse besides those that may run.
const SPARE_TRIES: u32 = 2;
/// When a caller may come back after a refusal for lack of an upstream.
const COME_BACK: clock::Millis = clock::Millis(400);
/// When a caller may come back to a host that has no configuration yet.
const COME_BACK_LATER: clock::Millis = clock::Millis(1_000);
/// Part of its target that a plain request waits at one upstream before it goes to another.
const PLAIN_PATIENCE: f64 = 0.6;
/// Part of its target that a request waits at an upstream that gives no byte of any answer.
const SILENT_PART: f64 = 0.6;
/// How long a caller that states no deadline is taken to wait.
const DEFAULT_DEADLINE: clock::Millis = clock::Millis(60_000);
/// How long before its deadline a request gets its end, for the way back to the caller.
const WAY_BACK: clock::Millis = clock::Millis(30);

/// Tries so far.
#[derive(Debug, Default)]
pub struct History {
    /// Requests sent to upstreams.
    pub sent: u32,
    /// Of these, those that may have reached one.
    pub reached: u32,
    /// Of these, those that may have run.
    pub may_have_run: u32,
    /// Where it has been.
    pub tried: SmallVec<[name::Upstream; 4]>,
    /// What decided the last choice.
    pub details: fleet::Details,
    /// The last failure.
    pub last_failure: Option<attempt::Failure>,
    /// The longest pause between two events that were passed on.
    pub max_gap: clock::Millis,
}

/// Serves one request.
pub async fn serve(
    host: rc::Rc<host::Host>,
    request: http::Request<body::Incoming>,
) -> response::Response {
    let arrived = host.now();
    let call = match receive(&host, request, arrived).await {
        Ok(call) => rc::Rc::new(call),
        Err(refused) => return refused.answer(&host),
    };
    note_arrival(&host, &call);
    match call.route.kind {
        model::RouteKind::Streaming => stream::serve(&host, &call).await,
        model::RouteKind::Idempotent | model::RouteKind::NonIdempotent => plain(&host, &call).await,
    }
}

/// A request refused before it was routed.
struct Refused {
    id: String,
    refusal: refusal::Refusal,
}

impl Refused {
    fn answer(&self, host: &host::Host) -> response::Response {
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

/// Refuses a request whose head states both a length and a transfer coding: hosts on its way may
/// have disagreed on where it ends.
pub fn refuse_ambiguous_length(host: &host::Host) -> response::Response {
    let refused = Refused {
        id: String::new(),
        refusal: refusal::Refusal::not_run(refusal::Reason::BadRequest),
    };
    refused.answer(host)
}

/// Reads, authenticates and routes a request.
async fn receive(
    host: &host::Host,
    request: http::Request<body::Incoming>,
    arrived: clock::Millis,
) -> Result<attempt::Call, Refused> {
    let (parts, body) = request.into_parts();
    let refuse = |id: &str, reason| Refused {
        id: id.to_owned(),
        refusal: refusal::Refusal::not_run(reason),
    };
    let ask = match host.dialect.read_request(&parts.headers) {
        Ok(ask) => ask,
        Err(_) => return Err(refuse("", refusal::Reason::BadRequest)),
    };
    if *host.phase.borrow() == host::Phase::Refusing {
        let mut refused = refuse(&ask.id, refusal::Reason::Stopping);
        refused.refusal = refused.refusal.with_retry_after(COME_BACK);
        return Err(refused);
    }
    let Some(config) = host.current_config() else {
        let mut refused = refuse(&ask.id, refusal::Reason::NotReady);
        refused.refusal = refused.refusal.with_retry_after(COME_BACK_LATER);
        return Err(refused);
    };
    let route =
        find_route(&config, &parts).ok_or_else(|| refuse(&ask.id, refusal::Reason::NotFound))?;
    let team = match &ask.api_key {
        Some(key) if config.keys_required => config.team_by_key(key).cloned(),
        _ => None,
    };
    if config.keys_required && !route.public && team.is_none() {
        return Err(refuse(&ask.id, refusal::Reason::BadKey));
    }
    let body = read_body(body, &config.limits)
        .await
        .map_err(|reason| refuse(&ask.id, reason))?;
    let deadline = arrived + ask.timeout.unwrap_or(DEFAULT_DEADLINE);
    let until = (arrived + route.timeout).min(clock::Millis(deadline.since(WAY_BACK).0));
    let tier = config.tier(team.as_deref(), &route);
    let service = route.pick_service(rand::random()).clone();
    let engine = config
        .services
        .get(&service)
        .and_then(|s| s.engine.as_ref());
    let band = engine.map_or(stream_class::StreamClass::Other, |e| {
        stream_class::class_of(&route, e.tokens_per_event)
    });
    Ok(attempt::Call {
        meta: ask,
        method: parts.method,
        uri: origin_form(&parts.uri),
        headers: end_to_end_headers(parts.headers),
        body,
        route,
        service,
        team,
        tier,
        stream_class: band,
        config_version: config.version,
        received_at: arrived,
        caller_deadline: deadline,
        finish_by: until,
    })
}

fn find_route(
    config: &model::Config,
    parts: &http::request::Parts,
) -> Option<rc::Rc<model::Route>> {
    let named = parts.headers.get(http::header::HOST)?;
    let host = named.to_str().ok()?;
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

/// Headers that concern one connection only.
const HOP_BY_HOP: [http::HeaderName; 7] = [
    http::header::CONNECTION,
    http::header::PROXY_AUTHENTICATE,
    http::header::TE,
    http::header::TRAILER,
    http::header::TRANSFER_ENCODING,
    http::header::UPGRADE,
    http::header::EXPECT,
];

/// The headers without those of the connection.
pub fn end_to_end_headers(mut head: http::HeaderMap) -> http::HeaderMap {
    let named: Vec<String> = head
        .get_all(http::header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .map(|n| n.trim().to_ascii_lowercase())
        .collect();
    for name in named {
        // Callers can't have the length or the host dropped.
        if name != "host" && name != "content-length" {
            head.remove(name.as_str());
        }
    }
    for name in &HOP_BY_HOP {
        head.remove(name);
    }
    head.remove("keep-alive");
    head.remove("proxy-connection");
    head
}

fn note_arrival(host: &host::Host, call: &attempt::Call) {
    let now = host.now();
    let bound = host.settings.budget;
    let mut budgets = host.budgets.borrow_mut();
    let budget = budgets.entry(call.service.clone()).or_default();
    budget.record_request(now, &bound);
}

/// Counts a request that began at an upstream at `at`.
pub fn count_started(host: &host::Host, call: &attempt::Call, at: clock::Millis) {
    let Some(team) = &call.team else { return };
    let wall = host.wall_time();
    let began = clock::Millis(wall.since(host.now().since(at)).0);
    let window = began.0 / host.settings.timing.usage_window.0;
    let mut windows = host.usage_counter.borrow_mut();
    windows.counts.record_request(window, &team.name);
}

/// Chooses the next upstream, within the attempts and the budget.
pub fn select_upstream(
    host: &host::Host,
    call: &attempt::Call,
    tries: &mut History,
) -> Result<fleet::Selection, refusal::Reason> {
    let attempts = call.route.max_attempts.max(1);
    if tries.may_have_run >= attempts || tries.sent >= attempts + SPARE_TRIES {
        return Err(refusal::Reason::UpstreamFailed);
    }
    let wish = fleet::Criteria {
        service: &call.service,
        prompt_parts: &call.meta.prompt_parts,
        prompt_tokens: call.meta.prompt_tokens,
        stream_class: call.stream_class,
        excluded: &tries.tried,
    };
    let pick = host.fleet.borrow().select(&wish, host.now());
    let Some(pick) = pick else {
        return Err(refusal::Reason::NoUpstream);
    };
    if tries.reached > 0 && !host.spend_retry(&call.service) {
        return Err(refusal::Reason::UpstreamFailed);
    }
    if tries.sent > 0 {
        let reason = tries
            .last_failure
            .map_or("unknown", attempt::Failure::as_str);
        host.metrics.record_retry(reason);
    }
    let mut demand = host.demand.borrow_mut();
    let demand = demand.entry(call.service.clone()).or_default();
    demand.record_request(pick.unread_tokens);
    tries.sent += 1;
    tries.details = pick.details;
    tries.tried.push(pick.name.clone());
    Ok(pick)
}

/// Notes a failed try.
pub fn record_failure(
    host: &host::Host,
    call: &attempt::Call,
    tries: &mut History,
    failure: attempt::Failure,
    ran: bool,
) {
    let now = host.now();
    tries.last_failure = Some(failure);
    if failure != attempt::Failure::Connect {
        tries.reached += 1;
    }
    if ran {
        tries.may_have_run += 1;
    }
    let upstream = tries.tried.last();
    if let Some(name) = upstream
        && failure != attempt::Failure::Refused
    {
        host.fleet.borrow_mut().record_failure(name, now);
    }
    tracing::info!(
        event = "try_failed",
        id = call.meta.id,
        upstream = upstream.map_or("", name::Upstream::as_str),
        reason = failure.as_str(),
        may_have_run = ran,
        sends = tries.sent,
        busy = tries.details.in_flight,
        told = tries.details.reported_requests,
        told_age_ms = tries.details.report_age_ms,
        after_ms = now.since(call.received_at).0,
    );
}

/// The refusal after the last try.
pub fn refuse_after_attempts(
    host: &host::Host,
    call: &attempt::Call,
    tries: &History,
    reason: refusal::Reason,
) -> response::Response {
    let now = host.now();
    let refusal = if tries.may_have_run == 0 {
        let reason = match reason {
            refusal::Reason::UpstreamFailed => refusal::Reason::NoUpstream,
            other => other,
        };
        refusal::Refusal::not_run(reason).with_retry_after(COME_BACK)
    } else if now >= call.finish_by {
        refusal::Refusal::unknown(refusal::Reason::UpstreamTimeout)
    } else {
        refusal::Refusal::unknown(refusal::Reason::UpstreamFailed)
    };
    host.metrics.record_refusal(refusal.reason);
    log_request(
        host,
        call,
        tries,
        refusal.reason.as_str(),
        refusal.reason.status(),
        None,
    );
    response::from_refusal(&refusal)
}

/// The line of a request's end.
pub fn log_request(
    host: &host::Host,
    call: &attempt::Call,
    tries: &History,
    end: &'static str,
    status: u16,
    first: Option<clock::Millis>,
) {
    let now = host.now();
    let total = now.since(call.received_at).0;
    tracing::info!(
        event = "request",
        id = call.meta.id,
        route = call.route.name,
        team = call.team.as_ref().map_or("", |t| t.name.as_str()),
        tier = call.tier,
        upstream = tries.tried.last().map_or("", name::Upstream::as_str),
        sends = tries.sent,
        usable = tries.details.usable,
        kept = tries.details.prefix_cached,
        busy = tries.details.in_flight,
        told = tries.details.reported_requests,
        told_age_ms = tries.details.report_age_ms,
        cost_ms = tries.details.cost_ms,
        band = call.stream_class.as_str(),
        at_band = tries.details.upstream_class.as_str(),
        config = call.config_version,
        end,
        status,
        first_ms = first.map(|f| f.0),
        gap_ms = tries.max_gap.0,
        total_ms = total,
        left_ms = call.caller_deadline.since(now).0,
    );
    let first = first.map(|f| f.0 as f64);
    host.metrics
        .record_response(&call.route.name, end, first, total as f64);
}

/// Whether the request could run at another upstream after the one that it is at.
pub fn may_retry(host: &host::Host, call: &attempt::Call, tries: &History) -> bool {
    let attempts = call.route.is_retryable() && tries.may_have_run + 1 < call.route.max_attempts;
    attempts && host.can_retry(&call.service)
}

/// How long a try may take: all the time left, or less if another upstream can be tried. A stream
/// that waits at an upstream that works would only wait again elsewhere.
pub fn attempt_timeout(host: &host::Host, call: &attempt::Call, tries: &History) -> clock::Millis {
    let left = call.finish_by.since(host.now());
    if call.route.kind == model::RouteKind::Streaming || !may_retry(host, call, tries) {
        return left;
    }
    left.min(clock::Millis(
        (call.route.latency_target.0 as f64 * PLAIN_PATIENCE) as u64,
    ))
}

/// How long the upstream may give no byte of any answer before the request goes elsewhere.
pub fn stall_timeout(host: &host::Host, call: &attempt::Call, tries: &History) -> clock::Millis {
    if !may_retry(host, call, tries) {
        return call.route.timeout;
    }
    clock::Millis((call.route.latency_target.0 as f64 * SILENT_PART) as u64)
}

/// Serves a request whose answer is passed on whole.
async fn plain(host: &rc::Rc<host::Host>, call: &rc::Rc<attempt::Call>) -> response::Response {
    let mut tries = History::default();
    let mut failed: Option<response::Response> = None;
    let reason = loop {
        let pick = match select_upstream(host, call, &mut tries) {
            Ok(pick) => pick,
            Err(reason) => break reason,
        };
        let sent = host.now();
        let limit = attempt_timeout(host, call, &tries);
        let silence = stall_timeout(host, call, &tries);
        let sending = attempt::send(host, call, pick, call.meta.last_event_id, limit, silence);
        let (failure, ran) = match sending.await {
            attempt::Outcome::NotRun(failure) => (failure, false),
            attempt::Outcome::MayHaveRun(failure) => {
                count_started(host, call, sent);
                (failure, true)
            }
            attempt::Outcome::Response(head) => {
                count_started(host, call, sent);
                let left = clock::Millis(limit.since(host.now().since(sent)).0);
                match head.read_body(left).await {
                    Err(failure) => (failure, true),
                    Ok((parts, bytes, flight)) => {
                        let status = parts.status;
                        let name = flight.selection.name.clone();
                        drop(flight);
                        let answer = response::buffered(end_to_end_parts(parts), bytes);
                        if !status.is_server_error() {
                            host.fleet
                                .borrow_mut()
                                .record_success(&name, 1.0, host.now());
                            let first = host.now().since(call.received_at);
                            log_request(host, call, &tries, "whole", status.as_u16(), Some(first));
                            return answer;
                        }
                        failed = Some(answer);
                        (attempt::Failure::ServerError, true)
                    }
                }
            }
        };
        record_failure(host, call, &mut tries, failure, ran);
        if ran && !call.route.is_retryable() || host.now() >= call.finish_by {
            break refusal::Reason::UpstreamFailed;
        }
    };
    if let Some(answer) = failed {
        let status = answer.status().as_u16();
        log_request(host, call, &tries, "failed", status, None);
        return answer;
    }
    refuse_after_attempts(host, call, &tries, reason)
}

/// An upstream's head without the headers of its connection.
pub fn end_to_end_parts(mut parts: http::response::Parts) -> http::response::Parts {
    parts.headers = end_to_end_headers(std::mem::take(&mut parts.headers));
    parts.headers.remove(http::header::CONTENT_LENGTH);
    parts
}
