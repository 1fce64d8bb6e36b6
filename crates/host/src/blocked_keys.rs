//! Keys blocked at a host: they stop at once on every host that hears of it, also while the store
//! is down, and are withdrawn in the configuration once it answers.

use std::collections;
use std::sync;
use std::time;

use base::refusal;
use config::{item, key, log_store};
use serde::Deserialize;

use crate::{body, context, response, stop};

/// Where operators block a key: `POST` with its digest and the proof of [`key::block_proof`].
pub const PATH: &str = "/operator/block";

/// Keys blocked at most; each is a few bytes.
const MAX_BLOCKED: usize = 10_000;
/// The largest body of a request to block a key.
const MAX_BODY: usize = 1_024;
/// How often a host tries to withdraw blocked keys for good.
const PERSIST: time::Duration = time::Duration::from_secs(1);

/// Keys blocked and not yet withdrawn in the configuration.
#[derive(Debug, Default)]
pub struct BlockedKeys(sync::Mutex<collections::BTreeSet<[u8; 32]>>);

impl BlockedKeys {
    fn lock(&self) -> sync::MutexGuard<'_, collections::BTreeSet<[u8; 32]>> {
        self.0.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Whether a key is blocked.
    pub fn contains(&self, digest: &[u8; 32]) -> bool {
        self.lock().contains(digest)
    }

    /// The blocked keys' digests in hexadecimal.
    pub fn list(&self) -> Vec<String> {
        self.lock().iter().map(|d| key::hex(d)).collect()
    }
}

/// BlockedKeys the key with this digest, unless the configuration has it withdrawn already.
pub fn block(context: &context::Context, digest: &str) {
    let Some(bytes) = key::parse_digest(digest) else {
        return;
    };
    if context.view().is_withdrawn(&bytes) {
        return;
    }
    let mut blocked = context.blocked_keys.lock();
    if blocked.len() < MAX_BLOCKED && blocked.insert(bytes) {
        tracing::info!(event = "key_blocked", digest = %&digest[..12]);
    }
}

#[derive(Deserialize)]
struct Request {
    digest: String,
    proof: String,
}

/// Serves an operator's request to block a key.
pub fn serve(context: &context::Context, mut http: tiny_http::Request) {
    let read = body::read(&mut http, MAX_BODY, &context.clock);
    let reply = response::Responder::new(http, context.request_id());
    let refuse = |reason| refusal::Refusal::not_run(reason);
    let parsed = read.and_then(|bytes| {
        let parsed = serde_json::from_slice::<Request>(&bytes);
        parsed.map_err(|_| refuse(refusal::Reason::BadRequest))
    });
    let request = match parsed {
        Ok(request) => request,
        Err(refusal) => return reply.refuse(&refusal, &context.metrics),
    };
    if !key::is_block_proof(&context.settings.secret, &request.digest, &request.proof) {
        return reply.refuse(&refuse(refusal::Reason::BadKey), &context.metrics);
    }
    block(context, &request.digest);
    let _ = reply.send(200, &[], b"blocked\n");
}

/// Withdraws blocked keys in the configuration until stopped. `should_write` tells whether this
/// host is one of those that write for its data centre.
pub fn run(context: &context::Context, stop: &stop::StopFlag, should_write: impl Fn() -> bool) {
    while !stop.wait(PERSIST) {
        let view = context.view();
        context
            .blocked_keys
            .lock()
            .retain(|d| !view.is_withdrawn(d));
        drop(view);
        if context.blocked_keys.lock().is_empty() || !should_write() {
            continue;
        }
        if let Err(e) = withdraw(context) {
            tracing::debug!(event = "blocked_not_written", error = %e);
        }
    }
}

fn withdraw(context: &context::Context) -> Result<(), log_store::Error> {
    let env = &context.settings.environment;
    let store = &*context.store;
    let mut state = log_store::load(store, env)?;
    let mut changes = Vec::new();
    for digest in context.blocked_keys.list() {
        let Some(item::Item::Key(k)) = state.items.get(&item::Id::Key(digest)) else {
            continue;
        };
        if !k.withdrawn {
            let gone = item::Key {
                withdrawn: true,
                ..k.clone()
            };
            changes.push(item::Change::Put(item::Item::Key(gone)));
        }
    }
    if changes.is_empty() {
        return Ok(());
    }
    let stamp = log_store::Stamp {
        writer: rand::random(),
        written_ms: context.clock.unix_time().0,
    };
    // Another relay may be first: its entry withdraws the same keys.
    log_store::append(store, env, &mut state, changes, stamp)
}
