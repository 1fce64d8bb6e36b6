//! The duties that one host at a time holds, under a lease in the store.
//!
//! The fencing token is the store's revision at which the holder's key was created. The holder
//! counts its time from before it sent the renewal and sends nothing after it; the next one
//! waits until the key is gone and calls in flight have ended.

use std::cell;
use std::net;
use std::rc;

use base::{clock, name};
use serde::{Deserialize, Serialize};
use tokio::time;

use crate::{host, ports, retry, scale, store_watch, usage};

/// The key of the holder.
pub const STORE_KEY: &str = "jacinthslip/duty";
/// The longest life of a call in flight: the next holder waits it out.
pub const CALL_DRAIN_DELAY: clock::Millis = clock::Millis(700);
/// Length of the lease: short, so that a lost holder is soon followed by another.
const TTL: clock::Millis = clock::Millis(2_000);
/// How often the lease is renewed.
const RENEW_EVERY: clock::Millis = clock::Millis(600);
/// How long others wait for the key to go, in one watch.
const WATCH: clock::Millis = clock::Millis(8_000);
/// Pause after a failed call.
const PAUSE: clock::Millis = clock::Millis(400);
/// How long before its end a lease is no longer used.
const MARGIN: clock::Millis = clock::Millis(100);

/// What the holder's key says.
#[derive(Debug, Serialize, Deserialize)]
struct Record {
    host: name::Host,
    boot: u64,
    lease: u64,
    /// Where other hosts reach it.
    peer: net::SocketAddr,
}

/// The lease while it is held.
#[derive(Debug)]
pub struct Leadership {
    /// The fencing token.
    pub token: u64,
    lease: u64,
    deadline: cell::Cell<clock::Millis>,
}

impl Leadership {
    /// The right to act as it stands.
    pub fn term(&self) -> ports::Term {
        ports::Term {
            token: self.token,
            deadline: self.deadline.get(),
        }
    }

    fn renewed(&self, sent: clock::Millis) {
        self.deadline.set(deadline(sent));
    }
}

fn deadline(sent: clock::Millis) -> clock::Millis {
    clock::Millis((sent + TTL).since(MARGIN).0)
}

/// Takes the duties whenever nobody holds them, and does them while they are held.
pub async fn run(host: rc::Rc<host::Host>, fresh: bool) {
    let mut phase = host.phase.subscribe();
    // An earlier start of this host may have acted just now, and another one since.
    let mut acted = (!fresh).then(|| host.now());
    loop {
        let tenure = tokio::select! {
            tenure = acquire(&host, acted) => tenure,
            _ = phase.wait_for(|p| *p != host::Phase::Serving) => return,
        };
        let token = tenure.token;
        tracing::info!(event = "duties_taken", token);
        host.is_leader.set(true);
        host.leader.set(Some(host.settings.peer_address));
        let why = tokio::select! {
            why = hold(&host, &tenure) => why,
            () = usage::run(&host, &tenure) => "usage_ended",
            () = scale::run(&host, &tenure) => "scaling_ended",
            _ = phase.wait_for(|p| *p != host::Phase::Serving) => "stopping",
        };
        host.is_leader.set(false);
        host.leader.set(None);
        tracing::info!(event = "duties_left", token, why);
        let released = host.store.release(tenure.lease).await;
        if let Err(e) = released {
            tracing::warn!(event = "lease_not_released", token, error = e.as_str());
        }
        if why == "stopping" {
            return;
        }
        acted = Some(host.now());
    }
}

/// Renews the lease until it is gone; returns why. While the store is away nothing is sent, but a
/// lease that is still there when it returns goes on: nobody else can have held it.
async fn hold(host: &host::Host, tenure: &Leadership) -> &'static str {
    loop {
        time::sleep(RENEW_EVERY.duration()).await;
        let sent = host.now();
        match host.store.keep(tenure.lease).await {
            Ok(()) => tenure.renewed(sent),
            Err(ports::StoreError::NoLease) => return "lease_gone",
            Err(_) => {}
        }
        let holds = host.now() < tenure.deadline.get();
        if host.is_leader.replace(holds) != holds {
            let token = tenure.token;
            tracing::info!(event = "duties_paused", token, paused = !holds);
        }
    }
}

/// Waits until nobody holds the duties, and takes them: not while another holder may have been and
/// gone within the platform's lease since this host acted.
async fn acquire(host: &host::Host, acted: Option<clock::Millis>) -> Leadership {
    let mut retry = retry::Retry::default();
    loop {
        store_watch::wait_for_store(host).await;
        match host.store.get(STORE_KEY).await {
            Ok((Some(item), at)) => {
                retry.reset();
                note_holder(host, &item.value);
                // An error shows as a key that is still there.
                let _ = host.store.watch(STORE_KEY, at, WATCH).await;
            }
            Ok((None, _)) => {
                host.leader.set(None);
                let again = acted.map_or(clock::Millis::ZERO, |a| {
                    a + host.settings.timing.platform_lease
                });
                let wait = CALL_DRAIN_DELAY.max(again.since(host.now()));
                time::sleep(wait.duration()).await;
                if let Some(tenure) = claim(host).await {
                    return tenure;
                }
                time::sleep(PAUSE.duration()).await;
            }
            Err(_) => retry.pause(host).await,
        }
    }
}

fn note_holder(host: &host::Host, value: &[u8]) {
    match serde_json::from_slice::<Record>(value) {
        Ok(record) => host.leader.set(Some(record.peer)),
        Err(e) => tracing::warn!(event = "holder_unreadable", error = %e),
    }
}

async fn claim(host: &host::Host) -> Option<Leadership> {
    let sent = host.now();
    let lease = host.store.grant(TTL).await.ok()?;
    let record = Record {
        host: host.settings.host.clone(),
        boot: host.boot_id,
        lease,
        peer: host.settings.peer_address,
    };
    let value = serde_json::to_vec(&record).ok()?;
    let t = ports::Transaction {
        expected: vec![(STORE_KEY.to_owned(), 0)],
        writes: vec![ports::Write {
            key: STORE_KEY.to_owned(),
            value: value.clone(),
            lease,
        }],
        removes: Vec::new(),
    };
    let token = match host.store.commit(&t).await {
        Ok(revision) => Some(revision),
        Err(ports::StoreError::Unknown) => read_back(host, &value).await,
        Err(_) => None,
    };
    let Some(token) = token else {
        // A claim that is done late must not hold the duties for nobody.
        if let Err(e) = host.store.release(lease).await {
            tracing::debug!(event = "lease_not_released", error = e.as_str());
        }
        return None;
    };
    Some(Leadership {
        token,
        lease,
        deadline: cell::Cell::new(deadline(sent)),
    })
}

async fn read_back(host: &host::Host, value: &[u8]) -> Option<u64> {
    let (item, _) = host.store.get(STORE_KEY).await.ok()?;
    item.filter(|i| i.value == value).map(|i| i.created)
}
