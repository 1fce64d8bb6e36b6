//! Tests of the stream class of a route.

mod env;

use base::clock;
use router::{model, stream_class};

fn route(gap_ms: u64, resumable: bool) -> model::Route {
    model::Route {
        resumable,
        gap_target: Some(clock::Millis(gap_ms)),
        ..env::route()
    }
}

/// Guards against a limit on the gap that grows too fast with the size of events. With events of
/// seven tokens, all kinds of streams but one then counted as short-gap and shared a fifth of the
/// engines.
#[test]
fn the_class_follows_from_the_gap_and_the_tokens_per_event() {
    let class_of = |gap_ms, resumable, tokens_per_event| {
        stream_class::class_of(&route(gap_ms, resumable), tokens_per_event)
    };
    assert_eq!(class_of(250, true, 5), stream_class::StreamClass::ShortGap);
    assert_eq!(
        class_of(400, false, 5),
        stream_class::StreamClass::NotResumable
    );
    assert_eq!(class_of(1_000, true, 5), stream_class::StreamClass::Other);
    assert_eq!(class_of(250, true, 7), stream_class::StreamClass::ShortGap);
    assert_eq!(
        class_of(400, false, 7),
        stream_class::StreamClass::NotResumable
    );
    assert_eq!(class_of(1_000, true, 7), stream_class::StreamClass::Other);
}
