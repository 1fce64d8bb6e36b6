//! Leader election through a lease in the store, and the work that only the leader does.
//!
//! The fencing token is the store's revision, with its era, at which the leader has written its key. The
//! leader measures its lease from before it sent the renewal and sends no orders or reports after the
//! lease ends. The next leader waits until the key is gone and calls in flight have ended.
//!
//! A leadership ends with the era of the store: a restored store may have lost its key and its lease, or
//! hold those of an earlier leader. The last leader may claim again at once, for as long as its lease can't
//! have ended before the restore. Other hosts wait until that lease and its calls have ended.
//!
//! Another program may overwrite the key. The leader watches it and writes it again; without a leader that
//! does so, another host replaces the key after some time.

use std::cell;
use std::net;
use std::rc;

use base::{clock, name};
use rand::Rng as _;
use serde::{Deserialize, Serialize};
use tokio::time;

use crate::{backoff, claimant, digest_leader, host, ports, revision, scale, store_watch, usage};

/// Store key of the leader record; it exists while a host holds the lease.
pub const STORE_KEY: &str = "jacinthslip/duty";
/// Longest time that a call to the platform may be in flight. A new leader waits this long after
/// the previous leader's key is gone.
pub const CALL_DRAIN_DELAY: clock::Millis = clock::Millis(700);
/// Time to live of the leader's lease. It is short so that a lost leader is soon replaced.
pub const LEASE_TTL: clock::Millis = clock::Millis(2_000);
/// Time between renewals of the leader's lease.
const RENEW_INTERVAL: clock::Millis = clock::Millis(600);
/// Longest time that one watch call waits for the leader key to be removed.
const WATCH_TIMEOUT: clock::Millis = clock::Millis(8_000);
/// Time for which a key that no leader has written must stay as it is before it is replaced: a leader would
/// have written its own again by then, or lost its lease.
const FOREIGN_KEY_TIMEOUT: clock::Millis = clock::Millis(12_000);
/// Longest random wait before a claim, so that of many hosts one claims and the others see its key.
const MAX_CLAIM_DELAY: clock::Millis = clock::Millis(400);
/// Delay after a failed call to the store, or a failed claim, before the next attempt.
const RETRY_DELAY: clock::Millis = clock::Millis(400);
/// Safety margin before the end of the lease: this long before it, the lease is treated as expired.
const LEASE_MARGIN: clock::Millis = clock::Millis(100);

/// Value of the leader key, as JSON.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct LeaderRecord {
    host: name::Host,
    #[serde(rename = "boot")]
    boot_id: u64,
    lease: u64,
    /// Era of the store in which the lease was granted; `None` in the record of an earlier release.
    era: Option<u64>,
    /// Address at which other hosts connect to the leader.
    #[serde(rename = "peer")]
    peer_address: net::SocketAddr,
}

/// Leadership of this host for as long as it holds the lease.
#[derive(Debug)]
pub struct Leadership {
    /// Fencing token of this leadership; every later leader has a higher one.
    pub token: u64,
    lease: ports::Lease,
    /// Whether no host was leader before: the system starts for the first time.
    pub is_first: bool,
    /// Time up to which leaders of an earlier era may have sealed windows that neither the store nor this
    /// host knows; `None` if there are none.
    pub lost_until: Option<clock::Millis>,
    /// Whether this leader knows all windows that were sealed.
    pub knows_windows: cell::Cell<bool>,
    /// Revision of the last write of the leader key.
    key_revision: cell::Cell<revision::Revision>,
    /// Whether the claim's outcome was read from the store, because the response was lost.
    is_read_back: bool,
    /// Time on the host's clock after which no call may be sent.
    pub deadline: cell::Cell<clock::Millis>,
    /// Value of the leader key.
    value: Vec<u8>,
}

impl Leadership {
    /// Fencing token and current deadline, to be passed with each order or report.
    pub fn term(&self) -> ports::Term {
        ports::Term {
            token: self.token,
            deadline: self.deadline.get(),
        }
    }

    /// Era of the store in which this leadership holds.
    pub fn era(&self) -> u64 {
        self.lease.era
    }

    /// Condition of a write that only this leader may make.
    pub fn condition(&self) -> (String, revision::Revision) {
        (STORE_KEY.to_owned(), self.key_revision.get())
    }

    fn record_renewal(&self, sent: clock::Millis) {
        self.deadline.set(lease_deadline(sent));
    }
}

fn lease_deadline(sent: clock::Millis) -> clock::Millis {
    clock::Millis((sent + LEASE_TTL).since(LEASE_MARGIN).0)
}

/// Acquires the leadership whenever no host holds it, and does the leader's work until it is lost.
/// `first_start` is true if the whole system starts for the first time.
pub async fn run(host: rc::Rc<host::Host>, first_start: bool) {
    let mut phase = host.phase.subscribe();
    let mut claimant = claimant::Claimant::new(&host, first_start);
    loop {
        let leadership = tokio::select! {
            leadership = acquire(&host, &mut claimant) => leadership,
            _ = phase.wait_for(|p| *p != host::Phase::Serving) => return,
        };
        let token = leadership.token;
        let wait = claimant.earliest_act().since(host.now());
        time::sleep(wait.duration()).await;
        tracing::info!(
            event = "duties_taken",
            token,
            revision = %leadership.key_revision.get(),
            lease = leadership.lease.id,
            read_back = leadership.is_read_back,
            resumed = claimant.may_resume(),
        );
        host.is_leader.set(true);
        host.leader.set(Some(host.settings.peer_address));
        let why = tokio::select! {
            why = renew_lease(&host, &leadership) => why,
            why = keep_key(&host, &leadership) => why,
            () = wait_for_next_era(&host, &leadership) => "store_restored",
            () = usage::run(&host, &leadership) => "usage_ended",
            () = scale::run(&host, &leadership) => "scaling_ended",
            () = digest_leader::run(&host, &leadership) => "digests_ended",
            _ = phase.wait_for(|p| *p != host::Phase::Serving) => "stopping",
        };
        host.is_leader.set(false);
        host.leader.set(None);
        tracing::info!(event = "duties_left", token, why);
        claimant.leave(&host, &leadership);
        if host.is_new() {
            // Hosts that are as new do not wait for calls in flight, see `acquire`.
            time::sleep(CALL_DRAIN_DELAY.duration()).await;
        }
        let released = host.store.release_lease(leadership.lease).await;
        if let Err(e) = released
            && !claimant.may_resume()
        {
            tracing::warn!(event = "lease_not_released", token, error = e.as_str());
        }
        if why == "stopping" {
            return;
        }
    }
}

async fn wait_for_next_era(host: &host::Host, leadership: &Leadership) {
    let mut era = host.store.era();
    if era.wait_for(|era| *era != leadership.era()).await.is_err() {
        // The sender is a field of the store's client, so it outlives this wait.
        std::future::pending().await
    }
}

/// Renews the lease until it is lost and returns the reason. While the store does not answer, no
/// orders or reports are sent. If the lease still exists when the store answers again, the
/// leadership continues: no other host can have held it in between.
async fn renew_lease(host: &host::Host, leadership: &Leadership) -> &'static str {
    loop {
        time::sleep(RENEW_INTERVAL.duration()).await;
        let sent = host.now();
        match host.store.renew_lease(leadership.lease).await {
            Ok(()) => leadership.record_renewal(sent),
            Err(ports::StoreError::NoLease) => return "lease_gone",
            Err(_) => {}
        }
        let is_leader = host.now() < leadership.deadline.get();
        if host.is_leader.replace(is_leader) != is_leader {
            let token = leadership.token;
            tracing::info!(event = "duties_paused", token, paused = !is_leader);
        }
    }
}

/// Watches the leader key and writes it again when another program has overwritten it. Returns the reason
/// when the key is gone or belongs to another leader.
async fn keep_key(host: &host::Host, leadership: &Leadership) -> &'static str {
    let mut backoff = backoff::Backoff::default();
    let mut at = leadership.key_revision.get();
    loop {
        let is_own = |event: &ports::WatchEvent| match event {
            ports::WatchEvent::Put(item) => item.key != STORE_KEY || item.value == leadership.value,
            ports::WatchEvent::Removed(key, _) => key != STORE_KEY,
        };
        match host.store.watch(STORE_KEY, at, WATCH_TIMEOUT).await {
            Ok((events, revision)) if events.iter().all(is_own) => {
                backoff.reset();
                at = revision;
                if !events.is_empty() {
                    time::sleep(RETRY_DELAY.duration()).await;
                }
                continue;
            }
            Ok(_) | Err(ports::StoreError::Compacted) => {}
            Err(_) => {
                backoff.wait(host).await;
                continue;
            }
        }
        match host.store.get(STORE_KEY).await {
            Ok((None, _)) => return "key_removed",
            Ok((Some(item), revision)) if item.value == leadership.value => {
                leadership.key_revision.set(item.revision);
                at = revision;
            }
            Ok((Some(item), _)) => {
                let Err(fault) = parse_record(&item) else {
                    return "key_replaced";
                };
                log_foreign_key(host, &item, &fault);
                let written = write_key(host, item.revision, &leadership.value, leadership.lease);
                match written.await {
                    Ok(revision) => {
                        tracing::warn!(event = "holder_restored", token = leadership.token);
                        leadership.key_revision.set(revision);
                        at = revision;
                    }
                    Err(ports::StoreError::NoLease) => return "lease_gone",
                    Err(_) => {}
                }
            }
            Err(_) => {}
        }
        backoff.wait(host).await;
    }
}

/// Whose the leader key is.
enum KeyState {
    /// A leader that acts, with the address at which other hosts connect to it.
    Held(net::SocketAddr),
    /// Nobody's: there is no key, or one of an earlier era at this revision, whose leader does not act any more.
    Vacant(revision::Revision),
    /// Another program's, which wrote it at this revision.
    Foreign(revision::Revision),
}

fn key_state(host: &host::Host, item: Option<&ports::Item>, era: u64) -> KeyState {
    let Some(item) = item else {
        return KeyState::Vacant(revision::Revision::NONE);
    };
    match parse_record(item) {
        Ok(record) if record.era.is_none_or(|granted| granted >= era) => {
            KeyState::Held(record.peer_address)
        }
        Ok(_) => KeyState::Vacant(item.revision),
        Err(fault) => {
            log_foreign_key(host, item, &fault);
            KeyState::Foreign(item.revision)
        }
    }
}

/// Waits until no host is leader, then claims the leadership.
async fn acquire(host: &host::Host, claimant: &mut claimant::Claimant) -> Leadership {
    let mut backoff = backoff::Backoff::default();
    // Revision of a key that no leader has written, and since when it has been there.
    let mut foreign: Option<(revision::Revision, clock::Millis)> = None;
    // Since when the key has been vacant, and how much longer than others this host waits.
    let mut vacant: Option<(clock::Millis, clock::Millis)> = None;
    loop {
        store_watch::wait_for_store(host).await;
        let Ok((item, at)) = host.store.get(STORE_KEY).await else {
            backoff.wait(host).await;
            continue;
        };
        let now = host.now();
        claimant.record_era(at.era(), now);
        let state = key_state(host, item.as_ref(), at.era());
        if !matches!(state, KeyState::Foreign(_)) {
            foreign = None;
        }
        if !matches!(state, KeyState::Vacant(_)) {
            vacant = None;
        }
        let (expected, claim_at) = match state {
            KeyState::Held(address) => {
                host.leader.set(Some(address));
                (revision::Revision::NONE, now + WATCH_TIMEOUT)
            }
            KeyState::Vacant(expected) => {
                host.leader.set(None);
                let new_vacancy = || (now, random_delay(MAX_CLAIM_DELAY));
                let (since, jitter) = *vacant.get_or_insert_with(new_vacancy);
                let claim_at = if claimant.may_resume() {
                    now
                } else {
                    claimant.claim_at(host, since) + jitter
                };
                (expected, claim_at)
            }
            KeyState::Foreign(revision) => {
                let known = foreign.filter(|(known, _)| *known == revision);
                let (_, since) = *foreign.insert(known.unwrap_or((revision, now)));
                let replaced_at = since + FOREIGN_KEY_TIMEOUT;
                (revision, replaced_at.max(claimant.earliest_claim(host)))
            }
        };
        let wait = claim_at.since(now);
        if wait == clock::Millis::ZERO {
            if let Some(leadership) = claim(host, claimant, expected).await {
                return leadership;
            }
            foreign = None;
            time::sleep(RETRY_DELAY.duration()).await;
            continue;
        }
        match host.store.watch(STORE_KEY, at, wait).await {
            Ok((events, _)) => {
                backoff.reset();
                if has_key(&events) {
                    // A leader may have come and gone, with calls that are still in flight.
                    vacant = None;
                }
            }
            Err(ports::StoreError::Compacted) => {
                time::sleep(wait.min(RETRY_DELAY).duration()).await;
            }
            Err(_) => backoff.wait(host).await,
        }
    }
}

fn random_delay(max: clock::Millis) -> clock::Millis {
    clock::Millis(rand::rng().random_range(0..=max.0))
}

/// Whether the leader key has been written or removed.
fn has_key(events: &[ports::WatchEvent]) -> bool {
    events.iter().any(|event| match event {
        ports::WatchEvent::Put(item) => item.key == STORE_KEY,
        ports::WatchEvent::Removed(key, _) => key == STORE_KEY,
    })
}

/// Parses the leader key, or returns why no leader has written it.
fn parse_record(item: &ports::Item) -> Result<LeaderRecord, String> {
    let record: LeaderRecord = item.parse()?;
    if record.lease == 0 || item.lease.is_some_and(|lease| lease != record.lease) {
        return Err("it does not expire with the lease that it names".to_owned());
    }
    Ok(record)
}

fn log_foreign_key(host: &host::Host, item: &ports::Item, fault: &str) {
    let faulty_keys = &host.store_cache.faulty_keys;
    faulty_keys.log(
        "holder_unreadable",
        STORE_KEY,
        item.revision.number(),
        fault,
    );
}

/// Writes the leader key, which must be at this revision, and returns the revision of the write.
async fn write_key(
    host: &host::Host,
    expected: revision::Revision,
    value: &[u8],
    lease: ports::Lease,
) -> Result<revision::Revision, ports::StoreError> {
    let transaction = ports::Transaction {
        expected: vec![(STORE_KEY.to_owned(), expected)],
        writes: vec![ports::Write {
            key: STORE_KEY.to_owned(),
            value: value.to_vec(),
            lease: Some(lease),
        }],
        removes: Vec::new(),
    };
    host.store.commit(&transaction).await
}

/// Claims the leadership if the key is at the revision `expected`.
async fn claim(
    host: &host::Host,
    claimant: &claimant::Claimant,
    expected: revision::Revision,
) -> Option<Leadership> {
    let sent = host.now();
    let lease = host.store.grant_lease(LEASE_TTL).await.ok()?;
    if !claimant.is_in_era(lease.era) {
        return None;
    }
    let record = LeaderRecord {
        host: host.settings.host.clone(),
        boot_id: host.boot_id,
        lease: lease.id,
        era: Some(lease.era),
        peer_address: host.settings.peer_address,
    };
    let value = serde_json::to_vec(&record).ok()?;
    let written = write_key(host, expected, &value, lease).await;
    let is_read_back = written == Err(ports::StoreError::Unknown);
    let written = match written {
        Ok(revision) => Some(revision),
        Err(_) if is_read_back => read_back(host, &value).await,
        Err(_) => None,
    };
    // A record that was read back in a later era is no claim in that era.
    let Some(revision) = written.filter(|revision| revision.era() == lease.era) else {
        // The transaction may still be committed; releasing the lease keeps it from leaving a
        // leader key that belongs to no host.
        if let Err(e) = host.store.release_lease(lease).await {
            tracing::debug!(event = "lease_not_released", error = e.as_str());
        }
        return None;
    };
    Some(Leadership {
        token: revision.token(),
        lease,
        is_first: claimant.is_first(),
        lost_until: claimant.unknown_windows_until(),
        knows_windows: cell::Cell::new(false),
        key_revision: cell::Cell::new(revision),
        is_read_back,
        deadline: cell::Cell::new(lease_deadline(sent)),
        value,
    })
}

async fn read_back(host: &host::Host, value: &[u8]) -> Option<revision::Revision> {
    let (item, _) = host.store.get(STORE_KEY).await.ok()?;
    item.filter(|i| i.value == value).map(|i| i.revision)
}
