//! Commands that issue and withdraw keys.

use config::{item, key, remote};
use platform::store_http;

use crate::{change, cli, fault};

/// Tries to append among other operators' changes.
const TRIES: u32 = 10;
/// Characters of a SHA-256 in hexadecimal.
const DIGEST_CHARS: usize = 64;

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

/// Withdraws a key.
pub(crate) fn withdraw(args: &cli::Withdraw) -> Result<(), fault::Fault> {
    let store = store_http::Http::new(args.store);
    let env = args.env.as_deref().unwrap_or(change::PRODUCTION);
    let is_digest =
        args.key.len() == DIGEST_CHARS && args.key.chars().all(|c| c.is_ascii_hexdigit());
    let digest = if is_digest {
        args.key.to_lowercase()
    } else {
        key::digest(&args.key)
    };
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
