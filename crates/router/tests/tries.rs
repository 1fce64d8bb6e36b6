//! Tests of which attempts of a request spend the retry budget.

mod env;

use std::net;

use base::{clock, refusal};
use router::{attempt, model, retry, selection};

fn call() -> attempt::Call {
    let route = model::Route {
        kind: model::RouteKind::NonIdempotent,
        resumable: false,
        max_attempts: 1,
        ..env::route()
    };
    env::call(route)
}

fn node() -> env::Node {
    let node = env::node(&env::Cluster::new(), "h", 1);
    for n in 0..4 {
        node.host.fleet.borrow_mut().put(model::Upstream {
            name: format!("u{n}").as_str().into(),
            service: "s".into(),
            address: ([127, 0, 0, 1], n).into(),
            dc: "a".into(),
            state: model::UpstreamState::Ready,
            preemptible: false,
            started_at: 1,
            cold_left: clock::Millis::ZERO,
            slots: 8,
        });
    }
    node
}

/// Selects an upstream for a second attempt after a first one that ended with `failure`, when the
/// retry budget is already spent.
fn second_selection(failure: attempt::Failure) -> Result<(), refusal::Reason> {
    let node = node();
    let call = call();
    while node.host.spend_retry(&call.service) {}
    let mut history = retry::AttemptHistory::default();
    retry::select_upstream(&node.host, &call, &mut history)?;
    retry::record_failure(&node.host, &call, &mut history, failure, false);
    retry::select_upstream(&node.host, &call, &mut history).map(|_| ())
}

/// Failure of an attempt at an upstream that accepts the request and never answers.
async fn attempt_at_silent_upstream(is_budget_spent: bool) -> Option<attempt::Failure> {
    const STALL_TIMEOUT_MS: u64 = 900;
    const TIMEOUT_MS: u64 = 5_000;
    let node = node();
    let call = call();
    // The system accepts the connection, and no process answers on it.
    let silent = net::TcpListener::bind("127.0.0.1:0").expect("bind to a free port");
    if is_budget_spent {
        while node.host.spend_retry(&call.service) {}
    }
    let mut history = retry::AttemptHistory::default();
    let selection = retry::select_upstream(&node.host, &call, &mut history).expect("upstream");
    let selection = selection::Selection {
        address: silent.local_addr().expect("local address"),
        ..selection
    };
    let (timeout, stall) = (clock::Millis(TIMEOUT_MS), clock::Millis(STALL_TIMEOUT_MS));
    match attempt::send(&node.host, &call, selection, None, timeout, stall).await {
        attempt::Outcome::MayHaveRun(failure) => Some(failure),
        attempt::Outcome::NotRun(_) | attempt::Outcome::Response(_) => None,
    }
}

/// Load of the pattern: a burst under which engines answer late and the retry budget is spent. Each
/// request that had waited for the stall time-out was then cancelled at its engine and refused.
#[test]
fn a_silent_attempt_is_given_up_only_while_another_is_possible() {
    env::run(|| async {
        let failure = attempt_at_silent_upstream(false).await;
        assert_eq!(failure, Some(attempt::Failure::Stalled));
        let failure = attempt_at_silent_upstream(true).await;
        assert_eq!(failure, Some(attempt::Failure::Timeout));
    });
}

/// Guards against refused connections spending the retry budget. When several upstreams stopped,
/// the budget was then used up, and requests that had reached no upstream were refused.
#[test]
fn an_attempt_without_a_connection_spends_no_retry() {
    env::run(|| async {
        assert_eq!(second_selection(attempt::Failure::Connect), Ok(()));
        let exhausted = Err(refusal::Reason::UpstreamFailed);
        assert_eq!(second_selection(attempt::Failure::Refused), exhausted);
    });
}
