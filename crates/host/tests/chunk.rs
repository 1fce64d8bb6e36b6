//! Tests of the chunks of streamed completions, as upstreams send them and as clients get them.

use jacinthslip::chunk;
use serde_json::json;

/// A delta with text and other fields once lost its text on the way to a streaming client.
#[test]
fn a_delta_keeps_its_text_beside_other_fields() {
    let delta = json!({"content": "I look it up.", "tool_calls": [{"index": 0, "id": "c1"}]});
    let received = json!({"id": "u1", "choices": [{"index": 0, "delta": delta}]});
    let received: chunk::Chunk = serde_json::from_str(&received.to_string()).expect("chunk");
    let sent = chunk::ClientChunk {
        id: "r1",
        model: "drafter-7b",
        text: &received.text,
        extra_delta: received.extra_delta.as_ref(),
        finish_reason: None,
        usage: None,
    };
    let sent = serde_json::to_value(&sent).expect("json");
    assert_eq!(sent["choices"][0]["delta"], delta);
}

#[test]
fn a_delta_has_only_the_fields_that_are_set() {
    let sent = chunk::ClientChunk {
        id: "r1",
        model: "drafter-7b",
        text: "",
        extra_delta: None,
        finish_reason: Some("stop"),
        usage: None,
    };
    let sent = serde_json::to_value(&sent).expect("json");
    assert_eq!(sent["choices"][0]["delta"], json!({}));
}
