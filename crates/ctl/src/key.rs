//! Commands for API keys: `issue`, `block` and `withdraw`.

use std::fs;

use base::clock;
use config::{item, key, log_store};
use ports::{http, store_http};

use crate::{change, cli, error};

/// Timeout of a request to a host.
const CALL_TIMEOUT: clock::Millis = clock::Millis(5_000);
/// Maximum number of attempts to append a change when other operators write at the same time.
const MAX_APPEND_ATTEMPTS: u32 = 10;

/// Appends the item that `build_item` returns for the current items, retrying if another operator
/// appends first. Returns the new revision.
fn append(
    store: &store_http::Http,
    env: &str,
    build_item: impl Fn(&item::Items) -> Result<item::Item, error::Error>,
) -> Result<u64, error::Error> {
    let mut attempts_left = MAX_APPEND_ATTEMPTS;
    loop {
        let mut state = log_store::load(store, env)?;
        let changes = vec![item::Change::Put(build_item(&state.items)?)];
        match log_store::append(store, env, &mut state, changes, change::stamp()) {
            Ok(()) => return Ok(state.revision),
            Err(log_store::Error::Conflict(_)) if attempts_left > 1 => attempts_left -= 1,
            Err(e) => return Err(e.into()),
        }
    }
}

/// Runs `issue`: creates an API key for a team and prints it. Only its digest is stored.
pub(crate) fn issue(args: &cli::Issue) -> Result<(), error::Error> {
    let store = store_http::Http::new(args.store);
    let env = args.env.as_deref().unwrap_or(change::PRODUCTION_ENV);
    let api_key = format!("jk-{}", key::hex(&rand::random::<[u8; 24]>()));
    append(&store, env, |items| {
        if !items.contains_key(&item::Id::Team(args.team.as_str().into())) {
            return Err(error::Error::UnknownTeam(args.team.clone()));
        }
        let team = args.team.as_str().into();
        Ok(item::Item::Key(item::Key {
            digest: key::digest(&api_key),
            team,
            withdrawn: false,
        }))
    })?;
    println!("{api_key}");
    Ok(())
}

/// Returns the digest of a key that is given either as plain text or as its digest.
fn digest_of(text: &str) -> String {
    match key::parse_digest(text) {
        Some(bytes) => key::hex(&bytes),
        None => key::digest(text),
    }
}

/// Runs `block`: blocks an API key through a host, without access to the store.
pub(crate) fn block(args: &cli::Block) -> Result<(), error::Error> {
    let secret = fs::read_to_string(&args.secret_file)
        .map_err(|e| error::Error::Secret(format!("{}: {e}", args.secret_file.display())))?;
    let digest = digest_of(&args.key);
    let proof = key::block_proof(secret.trim(), &digest);
    let body = serde_json::json!({"digest": digest, "proof": proof}).to_string();
    let url = format!("http://{}/operator/block", args.host);
    let response = http::agent(CALL_TIMEOUT).post(url).send(&body);
    match response.map(|r| r.status().as_u16()) {
        Ok(200) => {
            println!("key blocked");
            Ok(())
        }
        Ok(status) => Err(error::Error::Host(format!(
            "the host responded with status {status}"
        ))),
        Err(e) => Err(error::Error::Host(e.to_string())),
    }
}

/// Runs `withdraw`: withdraws an API key permanently.
pub(crate) fn withdraw(args: &cli::Withdraw) -> Result<(), error::Error> {
    let store = store_http::Http::new(args.store);
    let env = args.env.as_deref().unwrap_or(change::PRODUCTION_ENV);
    let digest = digest_of(&args.key);
    let revision = append(&store, env, |items| {
        let found = items.get(&item::Id::Key(digest.clone()));
        let Some(item::Item::Key(old)) = found else {
            return Err(error::Error::UnknownKey);
        };
        Ok(item::Item::Key(item::Key {
            withdrawn: true,
            ..old.clone()
        }))
    })?;
    println!("{env}: revision {revision} key withdrawn");
    Ok(())
}
