//! What refusals tell clients.

use base::{clock, refusal};

/// Guards against a refusal whose text says "unknown" and whose status or Retry-After asks the client to
/// send the request again.
#[test]
fn refusal_of_a_request_that_may_have_run_has_no_status_that_promises() {
    for reason in refusal::Reason::ALL {
        let later = refusal::Refusal::not_run(*reason).with_retry_after(clock::Millis(5));
        let unknown = later.of_possible_run();
        assert!(!refusal::promises_not_run(unknown.status()), "{reason:?}");
        assert_eq!(unknown.retry_after, None, "{reason:?}");
    }
}
