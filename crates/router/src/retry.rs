//! Attempts of one request: the upstream of the next one, time limits, and the end after the last.

use std::net;

use base::{clock, name, refusal};
use smallvec::SmallVec;

use crate::{
    attempt, executions, homes, host, model, ports, prompt_evidence, quarantine, response,
    selection, serve,
};

/// Attempts allowed in addition to the route's maximum, to replace attempts that did not run.
const EXTRA_ATTEMPTS: u32 = 2;
/// Share of the route's latency target after which a plain request is retried at another upstream.
const PLAIN_TIMEOUT_SHARE: f64 = 0.6;

/// Attempts of one request so far.
#[derive(Debug, Default)]
pub struct AttemptHistory {
    /// What is known of the execution of the attempts.
    pub executions: executions::Executions,
    /// When the latest attempt began.
    pub sent_at: clock::Millis,
    /// Number of failed attempts that may have reached an upstream.
    pub reached_count: u32,
    /// Upstreams that the request was sent to, the latest last.
    pub tried: SmallVec<[name::Upstream; 4]>,
    /// Addresses that the request was sent to.
    pub addresses: SmallVec<[net::SocketAddr; 4]>,
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
    /// Time after which an attempt may be possible, where it is known.
    pub retry_after: Option<clock::Millis>,
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
            history.retry_after = Some(trial_in);
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
    if history.executions.may_have_run() >= attempts
        || history.executions.begun() >= attempts.saturating_add(EXTRA_ATTEMPTS)
    {
        return Err(refusal::Reason::UpstreamFailed);
    }
    // A request may wait between its acceptance and its first attempt.
    if history.executions.begun() == 0 && !host.accepts_requests() {
        return Err(refusal::Reason::Stopping);
    }
    if is_withheld(host, call, history) {
        return Err(refusal::Reason::Withheld);
    }
    let homes = homes::allowed(call);
    let criteria = selection::Criteria {
        service: &call.service,
        prompt_parts: &call.meta.prompt_parts,
        prompt_tokens: call.meta.prompt_tokens,
        tier: call.tier,
        stream_class: call.stream_class,
        excluded: &history.tried,
        homes: homes.as_deref(),
        is_retryable: call.route.is_retryable(),
        id: &call.meta.id,
    };
    let fleet = host.fleet.borrow();
    let now = host.now();
    let Some(selection) = fleet.select(&criteria, now) else {
        let (shortage, details) = fleet.shortage(&criteria, now);
        history.details = details;
        host.metrics.record_cold(&details);
        return Err(match shortage {
            selection::Shortage::None => refusal::Reason::NoUpstream,
            selection::Shortage::Home => refusal::Reason::HomeUnavailable,
            selection::Shortage::Full => refusal::Reason::Shed,
            selection::Shortage::Paused(delay) | selection::Shortage::Cold(delay) => {
                history.retry_after = Some(delay);
                refusal::Reason::Shed
            }
        });
    };
    drop(fleet);
    if history.reached_count > 0 && !host.spend_retry(&call.service) {
        return Err(refusal::Reason::UpstreamFailed);
    }
    if history.executions.begun() > 0 {
        let reason = history
            .last_failure
            .map_or("unknown", attempt::Failure::as_str);
        host.metrics.record_retry(reason);
    }
    let mut demand = host.demand.borrow_mut();
    let demand = demand.entry(call.service.clone()).or_default();
    demand.record_request(selection.unread_tokens);
    host.metrics.record_cold(&selection.details);
    history.executions.begin();
    history.sent_at = now;
    history.details = selection.details;
    history.begun_at = None;
    history.tried.push(selection.name.clone());
    if history.addresses.contains(&selection.address) {
        // On a connection that has carried this request, the next response with its id may be a late copy
        // of the one to the earlier attempt.
        host.pool.close_idle(selection.address);
    }
    history.addresses.push(selection.address);
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
        history.executions.end_unknown();
    } else {
        history.executions.end_not_run();
    }
    let upstream = history.tried.last();
    if let Some(name) = upstream
        && failure != attempt::Failure::Refused
        && failure != attempt::Failure::Withheld
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
        sends = history.executions.begun(),
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
    let refusal = if history.executions.known() == refusal::Execution::NotRun {
        let reason = match reason {
            refusal::Reason::UpstreamFailed => refusal::Reason::NoUpstream,
            other => other,
        };
        let delay = history.retry_after.unwrap_or(serve::RETRY_AFTER_DELAY);
        refusal::Refusal::not_run(reason).with_retry_after(delay)
    } else if now >= call.finish_by {
        refusal::Refusal::unknown(refusal::Reason::UpstreamTimeout)
    } else {
        refusal::Refusal::unknown(refusal::Reason::UpstreamFailed)
    };
    end_refused(host, call, history, &refusal)
}

/// Refuses a request whose attempts were given up because the host ends.
pub fn refuse_interrupted(
    host: &host::Host,
    call: &attempt::Call,
    history: &AttemptHistory,
) -> response::Response {
    let refusal = if history.executions.known() == refusal::Execution::NotRun {
        refusal::Refusal::not_run(refusal::Reason::Stopping)
            .with_retry_after(serve::RETRY_AFTER_DELAY)
    } else {
        // A stream counts from its first event, and this one has none.
        if call.route.kind != model::RouteKind::Streaming {
            serve::count_started(host, call, history.sent_at);
        }
        refusal::Refusal::unknown(refusal::Reason::Interrupted)
    };
    end_refused(host, call, history, &refusal)
}

/// Logs and counts the end of a refused request, and builds its response.
fn end_refused(
    host: &host::Host,
    call: &attempt::Call,
    history: &AttemptHistory,
    refusal: &refusal::Refusal,
) -> response::Response {
    host.metrics.record_refusal(refusal.reason);
    log_request(
        host,
        call,
        history,
        refusal.reason.as_str(),
        refusal.status(),
        None,
    );
    response::from_refusal(refusal)
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
    let homes = homes::allowed(call);
    tracing::info!(
        event = "request",
        id = call.meta.id,
        route = call.route.name,
        parts = %ports::PartIds(&call.meta.prompt_parts),
        team = call.team.as_ref().map_or("", |t| t.name.as_str()),
        tier = call.tier,
        upstream = history.tried.last().map_or("", name::Upstream::as_str),
        sends = history.executions.begun(),
        may_have_run = history.executions.may_have_run(),
        usable = history.details.usable,
        said_leaving = history.details.leaving,
        paused = history.details.paused,
        said_age_ms = history.details.said_age.map(|a| a.0),
        homes = homes.as_deref().map(|h| homes::List(h).to_string()),
        away = history.details.outside_homes,
        drained = history.details.drained,
        cold_held = history.details.cold_held,
        cold_left_ms = history.details.cold_left.map(|l| l.0),
        kept = history.details.prefix_cached,
        busy = history.details.in_flight,
        told = history.details.reported_requests,
        told_age_ms = history.details.report_age_ms,
        cost_ms = history.details.cost_ms,
        distance = history.details.distance.as_str(),
        cost_here_ms = history.details.cost_here_ms,
        leaves_by = history.details.leaves_by,
        figures_age_ms = history.details.figures_age.map(|a| a.0),
        band = call.stream_class.as_str(),
        at_band = history.details.upstream_class.as_str(),
        digest_age_ms = host.digest.age(now).map(|a| a.0),
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
    let attempts_left = call.route.is_retryable()
        && history.executions.may_have_run() + 1 < call.route.max_attempts;
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
