//! Runs a request with an idempotency key at most once over all hosts.
//!
//! A claim on the key is created in the store before the first byte is sent. A request that finds
//! the claim of another request gets the stored response, or a refusal that the outcome is unknown;
//! it never runs a second time.

use base::{clock, name, refusal};
use config::key;
use ports::store;
use serde::{Deserialize, Serialize};
use sha2::Digest as _;

use crate::{client, context, plain, upstream};

/// Maximum size of a response body that is stored for later requests with the same key.
const MAX_STORED_BODY_BYTES: usize = 64 * 1024;

/// Prefix of the store keys of all claims.
pub const CLAIM_PREFIX: &str = "once/";

/// Returns the Unix time at which a claim was created, or `None` if the entry is not a claim.
pub fn claimed_at(entry: &store::Entry) -> Option<clock::Millis> {
    let claim: Claim = serde_json::from_slice(entry.bytes()).ok()?;
    Some(clock::Millis(claim.created_ms))
}

/// Value of a claim in the store, as JSON.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
struct Claim {
    /// Id of the request that owns the claim. It is unique, so that a host recognizes its own claim
    /// after the store's response to the write was lost.
    request: String,
    /// Digest of the method, path and body of the request.
    digest: String,
    /// Creation time of the claim in Unix milliseconds.
    #[serde(rename = "at")]
    created_ms: u64,
    /// Outcome of the request; `None` while it runs or if its outcome is unknown.
    #[serde(rename = "answer")]
    outcome: Option<StoredOutcome>,
}

/// Stored outcome of a request.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
enum StoredOutcome {
    /// The request did not run, so that the key may be used again.
    NotRun,
    /// The request ran and returned this response.
    #[serde(rename = "Answer")]
    Response {
        status: u16,
        headers: Vec<(String, String)>,
        body: Vec<u8>,
    },
    /// The request ran; its response was too large to store.
    TooLarge,
}

/// Store key of the claim for an idempotency key of `team` (empty without an API key) and
/// `service`.
fn claim_key(team: &str, service: &name::Service, idempotency_key: &str) -> String {
    let digest = sha2::Sha256::digest(idempotency_key.as_bytes());
    let team = if team.is_empty() { "-" } else { team };
    format!("{CLAIM_PREFIX}{team}/{service}/{}", key::hex(&digest))
}

/// Digest of the method, path and body of a request. Each part is preceded by its length, so that
/// different requests never hash the same bytes.
fn call_digest(call: &plain::Call) -> String {
    let mut hash = sha2::Sha256::new();
    for part in [call.method.as_bytes(), call.path.as_bytes(), &call.body] {
        hash.update((part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    key::hex(&hash.finalize())
}

/// Result of an attempt to claim a key.
enum ClaimResult {
    /// Another request has run under the key, with this response.
    Existing(upstream::Response),
    /// The claim is this request's own, at this revision in the store.
    Own(u64),
}

/// Runs `call` at most once under the idempotency key `idempotency_key`. `send` is passed a
/// function that creates the claim; it must call that function after a slot is granted and before
/// the first byte is sent.
///
/// # Errors
///
/// Returns the refusal of the request; its execution is `NotRun` only if no request has run under
/// this key.
pub fn run(
    context: &context::Context,
    client: &client::Client,
    service: &name::Service,
    idempotency_key: &str,
    call: &plain::Call,
    send: impl FnOnce(
        &mut dyn FnMut() -> Result<(), refusal::Refusal>,
    ) -> Result<upstream::Response, refusal::Refusal>,
) -> Result<upstream::Response, refusal::Refusal> {
    let key = claim_key(client.team_name(), service, idempotency_key);
    let mut claim = Claim {
        request: context.request_id(),
        digest: call_digest(call),
        created_ms: context.clock.unix_time().0,
        outcome: None,
    };
    let store = &*context.store;
    if let Some(response) = find_response(store, &key, &claim)? {
        return Ok(response);
    }
    let mut revision = None;
    let mut existing = None;
    let result = send(&mut || match create_claim(store, &key, &claim)? {
        ClaimResult::Own(claim_revision) => {
            revision = Some(claim_revision);
            Ok(())
        }
        ClaimResult::Existing(response) => {
            existing = Some(response);
            Err(refusal::Refusal::unknown(refusal::Reason::OutcomeUnknown))
        }
    });
    if let Some(response) = existing {
        return Ok(response);
    }
    let Some(revision) = revision else {
        return result;
    };
    claim.outcome = outcome_to_store(&result);
    if claim.outcome.is_some() {
        store_outcome(store, &key, &claim, revision);
    }
    result
}

/// Looks for an existing claim before a slot is requested. Returns its stored response, or `None`
/// if the request may run.
fn find_response(
    store: &dyn store::Store,
    key: &str,
    claim: &Claim,
) -> Result<Option<upstream::Response>, refusal::Refusal> {
    let store_down = |_| refusal::Refusal::not_run(refusal::Reason::StoreDown);
    let Some(found) = store.get(key).map_err(store_down)? else {
        return Ok(None);
    };
    match stored_response(&found, claim)? {
        Some(response) => Ok(Some(response)),
        None => Ok(None),
    }
}

/// Returns the stored response of another request's claim, or `None` if that request did not run
/// and its claim may be replaced.
fn stored_response(
    found: &store::Entry,
    claim: &Claim,
) -> Result<Option<upstream::Response>, refusal::Refusal> {
    let unknown = refusal::Refusal::unknown(refusal::Reason::OutcomeUnknown);
    let other: Claim = serde_json::from_slice(found.bytes()).map_err(|_| unknown)?;
    if other.digest != claim.digest {
        return Err(refusal::Refusal::not_run(refusal::Reason::KeyReused));
    }
    match other.outcome {
        Some(StoredOutcome::Response {
            status,
            headers,
            body,
        }) => Ok(Some(upstream::Response {
            status,
            headers,
            body: body.into(),
        })),
        Some(StoredOutcome::NotRun) => Ok(None),
        Some(StoredOutcome::TooLarge) | None => Err(unknown),
    }
}

/// Creates the claim in the store, or replaces one whose request did not run.
fn create_claim(
    store: &dyn store::Store,
    key: &str,
    claim: &Claim,
) -> Result<ClaimResult, refusal::Refusal> {
    let store_down = refusal::Refusal::not_run(refusal::Reason::StoreDown);
    let bytes = serde_json::to_vec(claim).map_err(|_| store_down)?;
    let found = match store::create(store, key, &bytes) {
        Ok(store::CreateOutcome::Own(revision)) => return Ok(ClaimResult::Own(revision)),
        Ok(store::CreateOutcome::Other(found)) => found,
        // Nothing was sent to an upstream, so this request has not run even if the claim was
        // written.
        Err(_) => return Err(store_down),
    };
    if let Some(response) = stored_response(&found, claim)? {
        return Ok(ClaimResult::Existing(response));
    }
    match store::replace(store, key, &bytes, found.revision) {
        Ok(revision) => Ok(ClaimResult::Own(revision)),
        Err(store::Error::Conflict(_)) => {
            Err(refusal::Refusal::unknown(refusal::Reason::OutcomeUnknown))
        }
        Err(_) => Err(store_down),
    }
}

/// Returns the outcome to store for later requests; `None` if it is unknown whether the request
/// ran.
fn outcome_to_store(
    result: &Result<upstream::Response, refusal::Refusal>,
) -> Option<StoredOutcome> {
    match result {
        Ok(a) if a.body.len() > MAX_STORED_BODY_BYTES => Some(StoredOutcome::TooLarge),
        Ok(a) => Some(StoredOutcome::Response {
            status: a.status,
            headers: a.headers.clone(),
            body: a.body.to_vec(),
        }),
        Err(r) if r.execution == refusal::Execution::NotRun => Some(StoredOutcome::NotRun),
        Err(_) => None,
    }
}

/// Writes the outcome into the claim. A failure is logged only: later requests with the key then
/// get `OutcomeUnknown`.
fn store_outcome(store: &dyn store::Store, key: &str, claim: &Claim, revision: u64) {
    let Ok(bytes) = serde_json::to_vec(claim) else {
        return;
    };
    if let Err(e) = store::replace(store, key, &bytes, revision) {
        tracing::warn!(event = "answer_not_kept", error = %e);
    }
}
