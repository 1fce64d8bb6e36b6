//! What another try of a request costs.

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
        caller_deadline: clock::Millis(10_000),
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

/// What comes of a second choice after a first try that failed in this way, once the budget is
/// spent.
fn second(failure: attempt::Failure) -> Result<(), refusal::Reason> {
    let node = node();
    let call = call();
    while node.host.spend_retry(&call.service) {}
    let mut tries = serve::History::default();
    serve::select_upstream(&node.host, &call, &mut tries)?;
    serve::record_failure(&node.host, &call, &mut tries, failure, false);
    serve::select_upstream(&node.host, &call, &mut tries).map(|_| ())
}

/// When upstreams ended, connections that were refused spent the budget of all repeats, and
/// requests that no upstream had seen were refused for want of it.
#[test]
fn a_try_that_reached_no_upstream_costs_nothing() {
    env::run(|| async {
        assert_eq!(second(attempt::Failure::Connect), Ok(()));
        let spent = Err(refusal::Reason::UpstreamFailed);
        assert_eq!(second(attempt::Failure::Refused), spent);
    });
}
