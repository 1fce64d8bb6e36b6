//! What the head of an upstream's response says of the request: whether it ran, and whether the response
//! may be passed on.

use base::refusal;

use crate::{attempt, ports};

/// What follows from the head of a response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The response is the upstream's answer and may be passed on to the client.
    PassOn,
    /// The upstream certainly did not run the request.
    NotRun(attempt::Failure),
    /// The response must not be passed on, and the request may have run.
    MayHaveRun(attempt::Failure),
}

/// Determines what follows from the head of a response to the request `id`. `reused` tells whether the
/// connection has carried another request before.
///
/// Only the upstream's explicit statement in a refusal, or status 421, means that the request did not run.
/// Any other status that tells a client so is not passed on, because it would be taken for the host's word.
pub fn of(status: http::StatusCode, meta: &ports::ResponseMeta, id: &str, reused: bool) -> Verdict {
    let is_refusal = status.is_client_error() || status.is_server_error();
    let id_matches = match &meta.request_id {
        Some(found) => found == id,
        // On a reused connection it may be an earlier response, written once more.
        None => !reused && (meta.refused || !status.is_success()),
    };
    if !id_matches {
        return Verdict::MayHaveRun(attempt::Failure::WrongRequestId);
    }
    if status == http::StatusCode::MISDIRECTED_REQUEST {
        return Verdict::NotRun(attempt::Failure::Misdirected);
    }
    if meta.refused && is_refusal {
        return Verdict::NotRun(attempt::Failure::Refused);
    }
    if meta.refused {
        return Verdict::MayHaveRun(attempt::Failure::Contradictory);
    }
    if status.is_informational() {
        return Verdict::MayHaveRun(attempt::Failure::NotFinal);
    }
    if status.is_success() && !meta.signed {
        return Verdict::MayHaveRun(attempt::Failure::Unsigned);
    }
    if refusal::promises_not_run(status.as_u16()) {
        return Verdict::MayHaveRun(attempt::Failure::Unconfirmed);
    }
    Verdict::PassOn
}
