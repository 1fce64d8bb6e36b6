//! Which engines a route's streams have first claim on.

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

/// With events of seven tokens all streams but one kind were taken to mind a long prompt beside
/// them, and shared a fifth of the engines.
#[test]
fn a_band_follows_from_the_pause_and_the_size_of_events() {
    let band = |gap, resumable, stride| stream_class::class_of(&route(gap, resumable), stride);
    assert_eq!(band(250, true, 5), stream_class::StreamClass::ShortGap);
    assert_eq!(band(400, false, 5), stream_class::StreamClass::NotResumable);
    assert_eq!(band(1_000, true, 5), stream_class::StreamClass::Other);
    assert_eq!(band(250, true, 7), stream_class::StreamClass::ShortGap);
    assert_eq!(band(400, false, 7), stream_class::StreamClass::NotResumable);
    assert_eq!(band(1_000, true, 7), stream_class::StreamClass::Other);
}
