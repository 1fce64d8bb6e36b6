//! What refusals tell clients.

use base::refusal;

/// Guards against a refusal whose text says "unknown" and whose status says "not run".
#[test]
fn refusal_of_a_request_that_may_have_run_has_no_status_that_promises() {
    for reason in refusal::Reason::ALL {
        let unknown = refusal::Refusal::unknown(*reason);
        assert!(!refusal::promises_not_run(unknown.status()), "{reason:?}");
    }
}
