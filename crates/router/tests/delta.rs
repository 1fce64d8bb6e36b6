//! Tests of differences between versions of a configuration.

use proptest::prelude::*;
use router::delta;

#[test]
fn one_changed_entry_of_many_costs_about_that_entry() {
    let document = |timeout: u32| {
        let mut text = String::from("{\"routes\":[");
        for n in 0..1_400 {
            let timeout = if n == 700 { timeout } else { 1 };
            text.push_str(&format!("{{\"name\":\"r{n}\",\"timeout\":{timeout}}},"));
        }
        text.into_bytes()
    };
    let (old, new) = (document(1), document(2));
    let delta = delta::Delta::between(&old, &new);
    assert_eq!(delta.apply(&old).as_deref(), Some(&new[..]));
    assert!(
        delta.inserted_bytes() < 100,
        "{} bytes",
        delta.inserted_bytes()
    );
}

#[test]
fn delta_to_another_version_is_refused() {
    let delta = delta::Delta::between(b"{a}{b}{c}", b"{a}{x}{c}");
    assert_eq!(
        delta.apply(b"{a}{b}{c}").as_deref(),
        Some(&b"{a}{x}{c}"[..])
    );
    assert_eq!(delta.apply(b"{a}{b}{d}"), None);
    assert_eq!(delta.apply(b""), None);
}

proptest! {
    #[test]
    fn any_two_documents(old in "[ab{}]{0,60}", new in "[ab{}]{0,60}") {
        let delta = delta::Delta::between(old.as_bytes(), new.as_bytes());
        prop_assert_eq!(delta.apply(old.as_bytes()), Some(new.into_bytes()));
    }
}
