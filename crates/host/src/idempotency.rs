//! Calls that run at most once over all hosts, by their idempotency key.
//!
//! The claim is created in the store before the first byte is sent. Whoever finds another's
//! claim gets the kept answer, or is told that the outcome is unknown; never a second run.

use base::{clock, name, refusal};
use config::key;
use ports::store;
use serde::{Deserialize, Serialize};
use sha2::Digest as _;

use crate::{client, context, plain, upstream};

/// The largest answer kept for repeats, in bytes.
const MAX_KEPT: usize = 64 * 1024;

/// Prefix of all claims in the store.
pub const CLAIM_PREFIX: &str = "once/";

/// When a claim was made, in milliseconds of the Unix epoch; `None` if the entry is no claim.
pub fn claimed_at(entry: &store::Entry) -> Option<clock::Millis> {
    let claim: Claim = serde_json::from_slice(entry.bytes()).ok()?;
    Some(clock::Millis(claim.at))
}

#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
struct Claim {
    /// The request that claimed: unique, so that a host knows its own claim after a lost answer.
    request: String,
    /// Digest of what was called.
    digest: String,
    /// When, in milliseconds of the Unix epoch.
    at: u64,
    /// The answer, once there is one.
    answer: Option<Kept>,
}

#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
enum Kept {
    /// It did not run: the key may be used again.
    NotRun,
    /// It ran and gave this.
    Answer {
        status: u16,
        headers: Vec<(String, String)>,
        body: Vec<u8>,
    },
    /// It ran; its answer was too large to keep.
    TooLarge,
}

fn claim_key(team: &str, service: &name::Service, once: &str) -> String {
    let digest = sha2::Sha256::digest(once.as_bytes());
    let team = if team.is_empty() { "-" } else { team };
    format!("{CLAIM_PREFIX}{team}/{service}/{}", key::hex(&digest))
}

fn digest(call: &plain::Call) -> String {
    let mut hash = sha2::Sha256::new();
    for part in [call.method.as_bytes(), call.path.as_bytes(), &call.body] {
        hash.update((part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    key::hex(&hash.finalize())
}

/// What stands in the way of a run, or the claim to run under.
enum Found {
    Answer(upstream::Answer),
    Mine(u64),
}

/// Runs `call` at most once under the key `once`. `send` gets a function that it must call after
/// a slot is granted and before the first byte is sent.
///
/// # Errors
///
/// The refusal; `not_run` only if this key has run nothing.
pub fn run(
    context: &context::Context,
    caller: &client::Caller,
    service: &name::Service,
    once: &str,
    call: &plain::Call,
    send: impl FnOnce(
        &mut dyn FnMut() -> Result<(), refusal::Refusal>,
    ) -> Result<upstream::Answer, refusal::Refusal>,
) -> Result<upstream::Answer, refusal::Refusal> {
    let key = claim_key(caller.team_name(), service, once);
    let mut claim = Claim {
        request: context.request_id(),
        digest: digest(call),
        at: context.clock.unix_time().0,
        answer: None,
    };
    let store = &*context.store;
    if let Some(answer) = look(store, &key, &claim)? {
        return Ok(answer);
    }
    let mut revision = None;
    let mut kept = None;
    let sent = send(&mut || match make(store, &key, &claim)? {
        Found::Mine(at) => {
            revision = Some(at);
            Ok(())
        }
        Found::Answer(answer) => {
            kept = Some(answer);
            Err(refusal::Refusal::unknown(refusal::Reason::OutcomeUnknown))
        }
    });
    if let Some(answer) = kept {
        return Ok(answer);
    }
    let Some(revision) = revision else {
        return sent;
    };
    claim.answer = outcome(&sent);
    if claim.answer.is_some() {
        keep(store, &key, &claim, revision);
    }
    sent
}

/// What a claim that stands already tells, before a slot is asked for.
fn look(
    store: &dyn store::Store,
    key: &str,
    claim: &Claim,
) -> Result<Option<upstream::Answer>, refusal::Refusal> {
    let down = |_| refusal::Refusal::not_run(refusal::Reason::StoreDown);
    let Some(found) = store.get(key).map_err(down)? else {
        return Ok(None);
    };
    match judge(&found, claim)? {
        Some(answer) => Ok(Some(answer)),
        None => Ok(None),
    }
}

/// The kept answer of another's claim; `None` if the claim did not run and may be taken over.
fn judge(
    found: &store::Entry,
    claim: &Claim,
) -> Result<Option<upstream::Answer>, refusal::Refusal> {
    let unknown = refusal::Refusal::unknown(refusal::Reason::OutcomeUnknown);
    let other: Claim = serde_json::from_slice(found.bytes()).map_err(|_| unknown)?;
    if other.digest != claim.digest {
        return Err(refusal::Refusal::not_run(refusal::Reason::KeyReused));
    }
    match other.answer {
        Some(Kept::Answer {
            status,
            headers,
            body,
        }) => Ok(Some(upstream::Answer {
            status,
            headers,
            body,
        })),
        Some(Kept::NotRun) => Ok(None),
        Some(Kept::TooLarge) | None => Err(unknown),
    }
}

fn make(store: &dyn store::Store, key: &str, claim: &Claim) -> Result<Found, refusal::Refusal> {
    let down = refusal::Refusal::not_run(refusal::Reason::StoreDown);
    let bytes = serde_json::to_vec(claim).map_err(|_| down)?;
    let found = match store::create(store, key, &bytes) {
        Ok(store::CreateOutcome::Own(revision)) => return Ok(Found::Mine(revision)),
        Ok(store::CreateOutcome::Other(found)) => found,
        // Nothing was sent, so this call has not run, whatever became of the claim.
        Err(_) => return Err(down),
    };
    if let Some(answer) = judge(&found, claim)? {
        return Ok(Found::Answer(answer));
    }
    match store::replace(store, key, &bytes, found.revision) {
        Ok(revision) => Ok(Found::Mine(revision)),
        Err(store::Error::Conflict(_)) => {
            Err(refusal::Refusal::unknown(refusal::Reason::OutcomeUnknown))
        }
        Err(_) => Err(down),
    }
}

fn outcome(sent: &Result<upstream::Answer, refusal::Refusal>) -> Option<Kept> {
    match sent {
        Ok(a) if a.body.len() > MAX_KEPT => Some(Kept::TooLarge),
        Ok(a) => Some(Kept::Answer {
            status: a.status,
            headers: a.headers.clone(),
            body: a.body.clone(),
        }),
        Err(r) if r.execution == refusal::Execution::NotRun => Some(Kept::NotRun),
        Err(_) => None,
    }
}

fn keep(store: &dyn store::Store, key: &str, claim: &Claim, revision: u64) {
    let Ok(bytes) = serde_json::to_vec(claim) else {
        return;
    };
    if let Err(e) = store::replace(store, key, &bytes, revision) {
        tracing::warn!(event = "answer_not_kept", error = %e);
    }
}
