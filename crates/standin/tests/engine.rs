//! Tests of the slots of the engine stand-in.

use std::net;

use standin::engine;

/// The engine once counted a slot as taken until after the client had the end of the response. The
/// next request on that slot then counted as one too many, and a test of the hosts failed for it.
#[test]
fn a_slot_is_free_once_its_client_has_the_end_of_the_response() {
    const REQUESTS: u32 = 300;
    let address = net::SocketAddr::from(([127, 0, 0, 1], 0));
    let settings = engine::Settings {
        slots: 1,
        first_token_ms: 0,
        token_gap_ms: 0,
    };
    let engine = engine::Engine::start(address, settings).expect("engine");
    let url = format!("http://{}/v1/chat/completions", engine.address());
    let client = ureq::Agent::new_with_defaults();
    for n in 0..REQUESTS {
        let body = serde_json::json!({
            "model": "drafter-7b", "stream": n % 2 == 0, "max_tokens": 1,
            "messages": [{"role": "user", "content": "p"}],
        });
        let mut response = client.post(&url).send(body.to_string()).expect("response");
        response.body_mut().read_to_vec().expect("body");
        assert_eq!(engine.stats().running, 0, "after request {n}");
    }
}
