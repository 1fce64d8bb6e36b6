//! Error reports of `jacinthctl`. An operator corrects a document by its diagnostics, so each must
//! give line and column, and one run must report all errors.

use std::fs;
use std::process;

fn ctl(args: &[&str]) -> (i32, String) {
    let program = env!("CARGO_BIN_EXE_jacinthctl");
    let out = process::Command::new(program)
        .args(args)
        .output()
        .expect("jacinthctl");
    let err = String::from_utf8_lossy(&out.stderr).into_owned();
    (out.status.code().unwrap_or(-1), err)
}

#[test]
fn all_errors_of_a_document_are_reported_with_their_locations() {
    let text = "classes:\n  - {name: chat, tier: 9, first_ms: 0}\nteams:\n  \
                - {name: quotes, classes: [chat, ghost]}\n  - {name: quotes, classes: []}\n\
                services:\n  - name: drafter\n    kind: engine\n    upstreams:\n      \
                - {name: e1, dc: lalitpur, address: nowhere, slots: 0}\n";
    let file = std::env::temp_dir().join(format!("jacinth-check-{}.yaml", process::id()));
    fs::write(&file, text).expect("document");
    let (code, err) = ctl(&["check", &file.display().to_string()]);
    let _ = fs::remove_file(&file);
    assert_eq!(code, 2);
    let expected = [
        (":2:24:", "tier 9"),
        (":2:37:", "first_ms is 0"),
        (":4:36:", "\"ghost\""),
        (":5:12:", "is defined twice"),
        (":5:12:", "has no class"),
        (":7:11:", "has no model"),
        (":10:43:", "not IP:PORT"),
        (":10:59:", "slots 0"),
    ];
    for (location, message) in expected {
        let reported = err
            .lines()
            .any(|l| l.contains(location) && l.contains(message));
        assert!(reported, "{location} {message} is missing in:\n{err}");
    }
}

#[test]
fn missing_document_and_unreachable_store_are_reported() {
    let (code, err) = ctl(&["check", "no-such-file.yaml"]);
    assert_eq!(code, 2);
    assert!(err.contains("no-such-file.yaml"), "{err}");
    let (code, err) = ctl(&["status", "--store", "127.0.0.1:1"]);
    assert_eq!(code, 1);
    assert!(err.contains("can't be reached"), "{err}");
}
