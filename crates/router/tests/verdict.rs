//! Decisions on what is told to clients about runs of their requests, without a network.

use base::refusal;
use router::{executions, ports, verdict};

/// Heads of responses with each status, and all that decides beside it.
fn all_heads() -> Vec<(http::StatusCode, ports::ResponseMeta, bool)> {
    let mut heads = Vec::new();
    for status in 100..=999 {
        let status = http::StatusCode::from_u16(status).expect("a status");
        for bits in 0..16 {
            for id in [None, Some("q-1"), Some("q-0")] {
                let meta = ports::ResponseMeta {
                    request_id: id.map(str::to_owned),
                    signed: bits & 1 > 0,
                    refused: bits & 2 > 0,
                    leaving: bits & 4 > 0,
                    ..ports::ResponseMeta::default()
                };
                heads.push((status, meta, bits & 8 > 0));
            }
        }
    }
    heads
}

/// Guards against a status that an upstream gave after it had run a request, and that reached the client
/// as the host's promise that it had not.
#[test]
fn no_status_that_promises_not_run_is_passed_on() {
    for (status, meta, reused) in all_heads() {
        let verdict = verdict::of(status, &meta, "q-1", reused);
        if verdict == verdict::Verdict::PassOn {
            let promises = refusal::promises_not_run(status.as_u16());
            let is_final = !status.is_informational();
            assert!(is_final && !promises, "{status} {meta:?}");
            assert!(meta.signed || !status.is_success(), "{status} {meta:?}");
        }
    }
}

/// Guards against a request that is sent again or refused as not run although it ran: "not run" was
/// believed beside a success, in a response to another request, or in an old one on a used connection.
#[test]
fn not_run_is_believed_only_in_a_refusal_of_this_request() {
    for (status, meta, reused) in all_heads() {
        let verdict = verdict::of(status, &meta, "q-1", reused);
        let says_so = meta.refused && status.as_u16() >= 400 || status.as_u16() == 421;
        match verdict {
            verdict::Verdict::NotRun(_) => {
                assert!(says_so, "{status} {meta:?}");
                let is_own = meta.request_id.as_deref() == Some("q-1");
                let is_first = meta.request_id.is_none() && !reused;
                assert!(is_own || is_first, "{status} {meta:?}");
            }
            verdict::Verdict::PassOn => assert!(!meta.refused, "{status} {meta:?}"),
            verdict::Verdict::MayHaveRun(_) => {}
        }
    }
}

/// Guards against a promise that covers some of the attempts: an earlier one may have run, or one is still
/// under way when the host gives the request up.
#[test]
fn not_run_holds_only_if_each_attempt_has_ended_without_a_run() {
    // Each digit of `ends` is an attempt: not run, unknown, or still under way.
    for ends in 0..81 {
        let mut executions = executions::Executions::default();
        let digits = [1, 3, 9, 27].map(|p| ends / p % 3);
        for end in digits {
            executions.begin();
            match end {
                0 => executions.end_not_run(),
                1 => executions.end_unknown(),
                _ => {}
            }
        }
        let is_not_run = executions.known() == refusal::Execution::NotRun;
        assert_eq!(is_not_run, digits == [0; 4], "{digits:?}");
    }
    let none = executions::Executions::default().known();
    assert_eq!(none, refusal::Execution::NotRun);
}
