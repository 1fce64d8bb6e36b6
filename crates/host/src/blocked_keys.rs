//! API keys that an operator blocked at a host.
//!
//! Every host that is notified refuses a blocked key at once, also while the store is down. The key
//! is withdrawn in the configuration once the store is reachable.

use std::collections;
use std::sync;
use std::time;

use base::refusal;
use config::{item, key, log_store};
use serde::Deserialize;

use crate::{context, http_request, response, stop};

/// Path of the operator request that blocks a key: `POST` with the digest of the key and the proof
/// of [`key::block_proof`].
pub const PATH: &str = "/operator/block";

/// Maximum number of blocked keys; each takes a few bytes.
const MAX_BLOCKED_KEYS: usize = 10_000;
/// Maximum size of the body of a request to block a key.
const MAX_BODY_BYTES: usize = 1_024;
/// Interval at which a host tries to withdraw blocked keys in the configuration.
const PERSIST_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Digests of the keys that are blocked and not yet withdrawn in the configuration.
#[derive(Debug, Default)]
pub struct BlockedKeys(sync::Mutex<collections::BTreeSet<[u8; 32]>>);

impl BlockedKeys {
    fn lock(&self) -> sync::MutexGuard<'_, collections::BTreeSet<[u8; 32]>> {
        self.0.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Whether the key with this digest is blocked.
    pub fn contains(&self, digest: &[u8; 32]) -> bool {
        self.lock().contains(digest)
    }

    /// Digests of the blocked keys in hexadecimal.
    pub fn list(&self) -> Vec<String> {
        self.lock().iter().map(|d| key::hex(d)).collect()
    }
}

/// Blocks the key with this digest. Has no effect if the digest is invalid, the key is withdrawn in
/// the configuration already, or `MAX_BLOCKED_KEYS` keys are blocked.
pub fn block(context: &context::Context, digest: &str) {
    let Some(bytes) = key::parse_digest(digest) else {
        return;
    };
    if context.view().is_withdrawn(&bytes) {
        return;
    }
    let mut blocked = context.blocked_keys.lock();
    if blocked.len() < MAX_BLOCKED_KEYS && blocked.insert(bytes) {
        tracing::info!(event = "key_blocked", digest = %&digest[..12]);
    }
}

#[derive(Deserialize)]
struct BlockRequest {
    digest: String,
    proof: String,
}

/// Handles an operator's request to block a key.
pub fn serve(context: &context::Context, mut http: http_request::Request) {
    let read = http.take_body(MAX_BODY_BYTES);
    let responder = response::Responder::new(http, context.request_id());
    let refuse = |reason| refusal::Refusal::not_run(reason);
    let parsed = read.and_then(|bytes| {
        let parsed = serde_json::from_slice::<BlockRequest>(&bytes);
        parsed.map_err(|_| refuse(refusal::Reason::BadRequest))
    });
    let request = match parsed {
        Ok(request) => request,
        Err(refusal) => return responder.refuse(&refusal, &context.metrics),
    };
    if !key::is_block_proof(&context.settings.secret, &request.digest, &request.proof) {
        return responder.refuse(&refuse(refusal::Reason::BadKey), &context.metrics);
    }
    block(context, &request.digest);
    let _ = responder.send(200, &[], b"blocked\n");
}

/// Withdraws blocked keys in the configuration until stopped. `should_write` returns whether this
/// host is one of those that write to the store for its data centre.
pub fn run(context: &context::Context, stop: &stop::StopFlag, should_write: impl Fn() -> bool) {
    while !stop.wait(PERSIST_INTERVAL) {
        let view = context.view();
        context
            .blocked_keys
            .lock()
            .retain(|d| !view.is_withdrawn(d));
        drop(view);
        if context.blocked_keys.lock().is_empty() || !should_write() {
            continue;
        }
        if let Err(e) = withdraw_blocked(context) {
            tracing::debug!(event = "blocked_not_written", error = %e);
        }
    }
}

fn withdraw_blocked(context: &context::Context) -> Result<(), log_store::Error> {
    let env = &context.settings.environment;
    let store = &*context.store;
    let mut state = log_store::load(store, env)?;
    let mut changes = Vec::new();
    for digest in context.blocked_keys.list() {
        let Some(item::Item::Key(k)) = state.items.get(&item::Id::Key(digest)) else {
            continue;
        };
        if !k.withdrawn {
            let withdrawn = item::Key {
                withdrawn: true,
                ..k.clone()
            };
            changes.push(item::Change::Put(item::Item::Key(withdrawn)));
        }
    }
    if changes.is_empty() {
        return Ok(());
    }
    let stamp = log_store::Stamp {
        writer: rand::random(),
        written_ms: context.clock.unix_time().0,
    };
    // Another relay may append first; its entry withdraws the same keys.
    log_store::append(store, env, &mut state, changes, stamp)
}
