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

/// Guards against a document that is applied with entries without effect, or whose changes nobody saw.
#[test]
fn warnings_and_differences_of_a_valid_document_are_printed() {
    let text = "classes:\n  - {name: chat, tier: 1, first_ms: 600}\n  - {name: idle, tier: 2, first_ms: 600}\n\
                teams:\n  - {name: quotes, classes: [chat]}\n";
    let write = |name: &str, text: &str| {
        let file = format!("jacinth-review-{name}-{}.yaml", process::id());
        let file = std::env::temp_dir().join(file);
        fs::write(&file, text).expect("document");
        file.display().to_string()
    };
    let old = write("old", text);
    let new = write("new", &text.replace("tier: 1", "tier: 3"));
    let run = |args: &[&str]| {
        let program = env!("CARGO_BIN_EXE_jacinthctl");
        let out = process::Command::new(program).args(args).output();
        let out = out.expect("jacinthctl");
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        (out.status.code(), text(&out.stdout), text(&out.stderr))
    };
    let (code, out, err) = run(&["check", &new, "--against", &old]);
    assert_eq!(code, Some(0), "{err}");
    assert!(
        err.contains("class idle: warning: no team uses it"),
        "{err}"
    );
    assert!(out.contains("~ class \"chat\"\n    tier: 1 -> 3"), "{out}");
    let (code, out, _) = run(&["check", &new, "--against", &old, "--json"]);
    let json: serde_json::Value = serde_json::from_str(&out).expect("JSON");
    assert_eq!(
        (code, &json["changes"][0]["change"]),
        (Some(0), &"changed".into())
    );
    let (code, out, err) = run(&["check", "no-such-file.yaml", "--json"]);
    assert_eq!((code, err.as_str()), (Some(2), ""));
    assert!(out.contains("\"severity\":\"error\""), "{out}");
    let _ = (fs::remove_file(old), fs::remove_file(new));
}
