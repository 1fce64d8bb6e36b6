//! Tests of which attempts of a request spend the retry budget.

mod env;

use std::rc;

use base::{clock, refusal};
use router::{attempt, model, ports, serve, stream_class};
use smallvec::smallvec;

fn call() -> attempt::Call {
    let route = model::Route {
        kind: model::RouteKind::NonIdempotent,
        resumable: false,
        max_attempts: 1,
        ..env::route()
    };
    attempt::Call {
        meta: ports::RequestMeta {
            id: "q".to_owned(),
            timeout: None,
            api_key: None,
            prompt_parts: smallvec![],
            prompt_tokens: 0,
            last_event_id: None,
        },
        method: http::Method::POST,
        uri: http::Uri::from_static("/"),
        headers: http::HeaderMap::new(),
        body: bytes::Bytes::new(),
        route: rc::Rc::new(route),
        service: "s".into(),
        team: None,
        tier: 0,
        stream_class: stream_class::StreamClass::Other,
        config_version: 1,
        received_at: clock::Millis::ZERO,
        client_deadline: clock::Millis(10_000),
        finish_by: clock::Millis(10_000),
    }
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
    let mut history = serve::AttemptHistory::default();
    serve::select_upstream(&node.host, &call, &mut history)?;
    serve::record_failure(&node.host, &call, &mut history, failure, false);
    serve::select_upstream(&node.host, &call, &mut history).map(|_| ())
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
