//! The program's own faults: told once, with the place and the way out.

use std::fs;
use std::process;

fn ctl(args: &[&str]) -> (i32, String) {
    let bin = env!("CARGO_BIN_EXE_jacinthctl");
    let out = process::Command::new(bin)
        .args(args)
        .output()
        .expect("jacinthctl");
    let err = String::from_utf8_lossy(&out.stderr).into_owned();
    (out.status.code().unwrap_or(-1), err)
}

#[test]
fn all_faults_of_a_document_are_told_with_their_places() {
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
    for (place, fault) in expected {
        let told = err.lines().any(|l| l.contains(place) && l.contains(fault));
        assert!(told, "{place} {fault} is missing in:\n{err}");
    }
}

#[test]
fn a_missing_document_and_a_store_that_is_down_are_told() {
    let (code, err) = ctl(&["check", "no-such-file.yaml"]);
    assert_eq!(code, 2);
    assert!(err.contains("no-such-file.yaml"), "{err}");
    let (code, err) = ctl(&["status", "--store", "127.0.0.1:1"]);
    assert_eq!(code, 1);
    assert!(err.contains("can't be reached"), "{err}");
}
