//! What another try of a request costs.

mod env;

use std::rc;

use base::{clock, refusal};
use router::{attempt, band, model, ports, serve};
use smallvec::smallvec;

fn call() -> attempt::Call {
    let route = model::Route {
        kind: model::Kind::Once,
        resumable: false,
        attempts: 1,
        ..env::route()
    };
    attempt::Call {
        ask: ports::Ask {
            id: "q".to_owned(),
            deadline: None,
            key: None,
            parts: smallvec![],
            prompt: 0,
            resume: None,
        },
        method: http::Method::POST,
        uri: http::Uri::from_static("/"),
        headers: http::HeaderMap::new(),
        body: bytes::Bytes::new(),
        route: rc::Rc::new(route),
        service: "s".into(),
        team: None,
        tier: 0,
        band: band::Band::Other,
        version: 1,
        arrived: clock::Millis::ZERO,
        deadline: clock::Millis(10_000),
        until: clock::Millis(10_000),
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
            state: model::State::Ready,
            cheap: false,
            born: 1,
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
    let mut tries = serve::Tries::default();
    serve::next_pick(&node.host, &call, &mut tries)?;
    serve::note_failure(&node.host, &call, &mut tries, failure, false);
    serve::next_pick(&node.host, &call, &mut tries).map(|_| ())
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
