//! Commands that issue and withdraw keys.

use std::fs;

use base::clock;
use config::{item, key, remote};
use ports::{http, store_http};

use crate::{change, cli, fault};

/// Time for a call to a host.
const CALL: clock::Millis = clock::Millis(5_000);
/// Tries to append among other operators' changes.
const TRIES: u32 = 10;

/// Appends the change that `make` gives, again if another operator was first.
fn append(
    store: &store_http::Http,
    env: &str,
    make: impl Fn(&item::Items) -> Result<item::Item, fault::Fault>,
) -> Result<u64, fault::Fault> {
    let mut tries = TRIES;
    loop {
        let mut state = remote::load(store, env)?;
        let changes = vec![item::Change::Put(make(&state.items)?)];
        match remote::append(store, env, &mut state, changes, change::stamp()) {
            Ok(()) => return Ok(state.revision),
            Err(remote::Error::Conflict(_)) if tries > 1 => tries -= 1,
            Err(e) => return Err(e.into()),
        }
    }
}

/// Issues a key and prints it.
pub(crate) fn issue(args: &cli::Issue) -> Result<(), fault::Fault> {
    let store = store_http::Http::new(args.store);
    let env = args.env.as_deref().unwrap_or(change::PRODUCTION);
    let secret = format!("jk-{}", key::hex(&rand::random::<[u8; 24]>()));
    append(&store, env, |items| {
        if !items.contains_key(&item::Id::Team(args.team.as_str().into())) {
            return Err(fault::Fault::NoTeam(args.team.clone()));
        }
        let team = args.team.as_str().into();
        Ok(item::Item::Key(item::Key {
            digest: key::digest(&secret),
            team,
            withdrawn: false,
        }))
    })?;
    println!("{secret}");
    Ok(())
}

/// The digest of a key given itself or as its digest.
fn digest_of(text: &str) -> String {
    match key::parse_digest(text) {
        Some(bytes) => key::hex(&bytes),
        None => key::digest(text),
    }
}

/// Stops a key at a host.
pub(crate) fn block(args: &cli::Block) -> Result<(), fault::Fault> {
    let secret = fs::read_to_string(&args.secret_file)
        .map_err(|e| fault::Fault::Secret(format!("{}: {e}", args.secret_file.display())))?;
    let digest = digest_of(&args.key);
    let proof = key::block_proof(secret.trim(), &digest);
    let body = serde_json::json!({"digest": digest, "proof": proof}).to_string();
    let url = format!("http://{}/operator/block", args.host);
    let answer = http::agent(CALL).post(url).send(&body);
    match answer.map(|a| a.status().as_u16()) {
        Ok(200) => {
            println!("key blocked");
            Ok(())
        }
        Ok(status) => Err(fault::Fault::Host(format!("the host answered {status}"))),
        Err(e) => Err(fault::Fault::Host(e.to_string())),
    }
}

/// Withdraws a key.
pub(crate) fn withdraw(args: &cli::Withdraw) -> Result<(), fault::Fault> {
    let store = store_http::Http::new(args.store);
    let env = args.env.as_deref().unwrap_or(change::PRODUCTION);
    let digest = digest_of(&args.key);
    let revision = append(&store, env, |items| {
        let found = items.get(&item::Id::Key(digest.clone()));
        let Some(item::Item::Key(old)) = found else {
            return Err(fault::Fault::NoKey);
        };
        Ok(item::Item::Key(item::Key {
            withdrawn: true,
            ..old.clone()
        }))
    })?;
    println!("{env}: revision {revision} key withdrawn");
    Ok(())
}
