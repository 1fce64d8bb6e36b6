//! What hosts hear from each other: the configuration and the list of upstreams for those that the
//! store does not answer, counts and demand for the holder of the duties.

use std::cell;
use std::collections;
use std::net;
use std::rc;

use base::clock;
use rand::seq::IndexedRandom as _;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::{net as tokio_net, task, time};

use crate::{host, link, membership, store_watch};

/// How often a host that is followed says that it lives.
const PULSE: clock::Millis = clock::Millis(500);
/// Silence after which another host is followed.
const SILENCE: clock::Millis = clock::Millis(1_500);
/// Pause before another host is tried.
const PAUSE: clock::Millis = clock::Millis(200);
/// The longest pause while no other host can say more than this one knows.
const MAX_PAUSE: clock::Millis = clock::Millis(1_600);
/// How often counts and demand are told at least.
const TELL_EVERY: clock::Millis = clock::Millis(1_000);
/// Part of the time for a report after which they are told again.
const TELL_PART: u64 = 10;
/// Most times in a row that counts are not written into a store that does not answer.
const MAX_SKIPS: u32 = 3;
/// Time for a told entry to be acknowledged.
const ACK: clock::Millis = clock::Millis(800);
/// Keys of entries that are gone which are remembered, so that late news don't bring them back.
const MAX_GONE: usize = 4_096;
/// Pause after a connection could not be taken.
const ACCEPT_PAUSE: clock::Millis = clock::Millis(50);

/// The first message of a stream: what it is for.
#[derive(Debug, Serialize, Deserialize)]
enum Hello {
    /// Tell me what you know.
    Follow,
    /// I'll tell you what I counted.
    Tell,
}

/// What a followed host tells.
#[derive(Debug, Serialize, Deserialize)]
enum News {
    /// A configuration as the store holds it.
    Config(Vec<u8>),
    /// An upstream's entry as the store holds it.
    Put(Entry),
    /// An upstream's entry is gone, at this revision of the store.
    Gone(String, u64),
    /// The list is whole at this revision.
    Listed(u64),
    /// Where the holder of the duties is.
    Holder(Option<net::SocketAddr>),
    /// It lives; whether the store answers it.
    Pulse(bool),
}

/// An entry of the store.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Entry {
    key: String,
    revision: u64,
    value: Vec<u8>,
}

/// A revision of the store and the bytes written then.
type Written = (u64, rc::Rc<[u8]>);

/// What is known of the store's entries, as it was read.
pub struct StoreCache {
    config: cell::RefCell<Option<rc::Rc<[u8]>>>,
    upstreams: cell::RefCell<collections::BTreeMap<String, Written>>,
    gone: cell::RefCell<collections::HashMap<String, u64>>,
    at: cell::Cell<u64>,
    changed: watch::Sender<u64>,
}

impl Default for StoreCache {
    fn default() -> Self {
        Self {
            config: cell::RefCell::default(),
            upstreams: cell::RefCell::default(),
            gone: cell::RefCell::default(),
            at: cell::Cell::new(0),
            changed: watch::Sender::new(0),
        }
    }
}

impl StoreCache {
    fn change(&self) {
        self.changed.send_modify(|n| *n += 1);
    }

    /// Notes the configuration in force.
    pub fn set_config(&self, bytes: &[u8]) {
        *self.config.borrow_mut() = Some(bytes.into());
        self.change();
    }

    /// Notes an upstream's entry; returns whether it is as new as what was known: hosts hear
    /// from others that lag.
    pub fn put(&self, key: &str, revision: u64, value: &[u8]) -> bool {
        if self
            .gone
            .borrow()
            .get(key)
            .is_some_and(|at| *at >= revision)
        {
            return false;
        }
        let mut upstreams = self.upstreams.borrow_mut();
        match upstreams.get(key) {
            Some((known, _)) if *known > revision => return false,
            Some((known, _)) if *known == revision => return true,
            _ => {}
        }
        upstreams.insert(key.to_owned(), (revision, value.into()));
        drop(upstreams);
        self.change();
        true
    }

    /// Whether an entry is known that was written after `at`.
    pub fn is_newer(&self, key: &str, at: u64) -> bool {
        self.upstreams
            .borrow()
            .get(key)
            .is_some_and(|(r, _)| *r > at)
    }

    /// Forgets an upstream's entry that is gone at this revision of the store.
    pub fn remove(&self, key: &str, at: u64) {
        self.upstreams.borrow_mut().remove(key);
        let mut gone = self.gone.borrow_mut();
        if gone.len() >= MAX_GONE {
            gone.clear();
        }
        gone.insert(key.to_owned(), at);
        drop(gone);
        self.change();
    }

    /// Notes the store's revision that the list stands at.
    pub fn advance_to(&self, at: u64) {
        self.at.set(self.at.get().max(at));
    }

    fn keys(&self) -> Vec<String> {
        self.upstreams.borrow().keys().cloned().collect()
    }
}

/// Serves other hosts.
pub async fn serve_peers(host: rc::Rc<host::Host>, listener: rc::Rc<tokio_net::TcpListener>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let host = host.clone();
                task::spawn_local(link::accept(stream, |link| answer(host, link)));
            }
            Err(e) => {
                tracing::warn!(event = "accept_failed", error = %e);
                time::sleep(ACCEPT_PAUSE.duration()).await;
            }
        }
    }
}

async fn answer(host: rc::Rc<host::Host>, mut link: link::Link) {
    let hello = link.receiver.receive(SILENCE).await;
    // The other side sees the end of the stream and tries again.
    let _ = match hello {
        Ok(Hello::Follow) => tell_news(&host, &mut link).await,
        Ok(Hello::Tell) => take_entries(&host, &mut link).await,
        Err(link::Closed) => Err(link::Closed),
    };
}

/// What a follower has been told.
#[derive(Default)]
struct Told {
    config: Option<rc::Rc<[u8]>>,
    upstreams: collections::BTreeMap<String, u64>,
    at: Option<u64>,
    holder: Option<net::SocketAddr>,
}

async fn tell_news(host: &host::Host, link: &mut link::Link) -> Result<(), link::Closed> {
    let mut changed = host.store_cache.changed.subscribe();
    let mut told = Told::default();
    loop {
        changed.mark_unchanged();
        for news in news(host, &mut told) {
            link.sender.send(&news).await?;
        }
        let healthy = !host.relies_on_peer() && !host.store_health.is_lost();
        link.sender.send(&News::Pulse(healthy)).await?;
        // Either way it is time to look again.
        let _ = time::timeout(PULSE.duration(), changed.changed()).await;
    }
}

/// What a follower has not been told.
fn news(host: &host::Host, told: &mut Told) -> Vec<News> {
    let known = &host.store_cache;
    let mut out = Vec::new();
    let config = known.config.borrow().clone();
    let same = match (&config, &told.config) {
        (Some(a), Some(b)) => rc::Rc::ptr_eq(a, b),
        (None, _) => true,
        (Some(_), None) => false,
    };
    if !same {
        out.extend(config.iter().map(|bytes| News::Config(bytes.to_vec())));
        told.config = config;
    }
    if told.holder != host.leader.get() {
        told.holder = host.leader.get();
        out.push(News::Holder(told.holder));
    }
    if !host.upstreams_listed.get() {
        return out;
    }
    let upstreams = known.upstreams.borrow();
    for (key, (revision, value)) in upstreams.iter() {
        if told.upstreams.get(key) == Some(revision) {
            continue;
        }
        out.push(News::Put(Entry {
            key: key.clone(),
            revision: *revision,
            value: value.to_vec(),
        }));
        told.upstreams.insert(key.clone(), *revision);
    }
    let at = known.at.get();
    told.upstreams.retain(|key, _| {
        let there = upstreams.contains_key(key);
        if !there {
            out.push(News::Gone(key.clone(), at));
        }
        there
    });
    if told.at != Some(at) {
        told.at = Some(at);
        out.push(News::Listed(at));
    }
    out
}

/// Follows another host while the store does not answer this one, or while others watch it.
pub async fn follow_peers(host: rc::Rc<host::Host>) {
    let mut pause = PAUSE;
    loop {
        if !needs_peer(&host) {
            host.store_health.wait_for_change().await;
            pause = PAUSE;
            continue;
        }
        // Where those that watch can't help, another one may hear the store.
        if let Some(address) = choose(&host, pause > PAUSE) {
            // Its loss is logged; another one is tried.
            let _ = follow_one(&host, address).await;
        }
        let fed = host.store_health.set_following(false);
        pause = if fed {
            PAUSE
        } else {
            MAX_PAUSE.min(pause + pause)
        };
        time::sleep(pause.duration()).await;
    }
}

fn needs_peer(host: &host::Host) -> bool {
    host.store_health.is_lost() || !host.is_watcher()
}

/// Another host: one that was seen and watches the store, or any, or a seed of the settings.
fn choose(host: &host::Host, any: bool) -> Option<net::SocketAddr> {
    let own = host.settings.peer_address;
    let membership = host.membership.borrow();
    let mut all = if any {
        membership.peer_addresses()
    } else {
        membership.watcher_addresses()
    };
    drop(membership);
    all.extend(host.settings.seeds.iter().copied());
    all.retain(|a| *a != own);
    all.choose(&mut rand::rng()).copied()
}

async fn follow_one(
    host: &rc::Rc<host::Host>,
    address: net::SocketAddr,
) -> Result<(), link::Closed> {
    let mut link = link::open(address).await?;
    link.sender.send(&Hello::Follow).await?;
    let mut listed = collections::HashSet::new();
    let mut first = true;
    while needs_peer(host) {
        let news = link.receiver.receive(SILENCE).await;
        let Ok(news) = news else {
            tracing::info!(event = "peer_lost", peer = %address);
            return Err(link::Closed);
        };
        match news {
            News::Config(bytes) => store_watch::apply_config(host, &bytes, "peer"),
            News::Put(entry) => {
                listed.insert(entry.key.clone());
                store_watch::apply_entry(host, &entry.key, entry.revision, &entry.value);
            }
            News::Gone(key, at) => store_watch::apply_removal(host, &key, at),
            News::Listed(at) => {
                if std::mem::take(&mut first) {
                    for key in host.store_cache.keys() {
                        if !listed.contains(&key) {
                            store_watch::apply_removal(host, &key, at);
                        }
                    }
                }
                host.store_cache.advance_to(at);
                host.upstreams_listed.set(true);
            }
            News::Holder(holder) => host.leader.set(holder),
            // One that the store does not answer either can't say more.
            News::Pulse(false) => return Ok(()),
            News::Pulse(true) => {
                if host.upstreams_listed.get() && !host.store_health.set_following(true) {
                    tracing::info!(event = "peer_followed", peer = %address);
                }
            }
        }
    }
    Ok(())
}

/// Takes the entries that a host tells.
async fn take_entries(host: &host::Host, link: &mut link::Link) -> Result<(), link::Closed> {
    loop {
        let limit = TELL_EVERY + SILENCE;
        let entry: membership::HostReport = link.receiver.receive(limit).await?;
        // One that does not hold the duties may hold them next.
        host.membership
            .borrow_mut()
            .record_report(entry, host.now());
        link.sender.send(&host.is_leader.get()).await?;
    }
}

/// Tells the holder of the duties each second what was counted; into the store if that fails, less
/// often while the store does not answer either: what is told next holds all that was counted.
pub async fn report_counts(host: rc::Rc<host::Host>, writer: rc::Rc<membership::ReportWriter>) {
    let mut link = None;
    let mut skip = 0;
    let mut skips = 0;
    loop {
        let entry = writer.report(&host);
        if tell_one(&host, &mut link, &entry).await.is_ok() {
            skips = 0;
        } else {
            link = None;
            if skip > 0 {
                skip -= 1;
            } else if writer.write(&host, &entry).await {
                skips = 0;
            } else {
                skips = (2 * skips + 1).min(MAX_SKIPS);
                skip = skips;
            }
        }
        let part = clock::Millis(host.settings.timing.report_deadline.0 / TELL_PART);
        time::sleep(TELL_EVERY.min(part).duration()).await;
    }
}

/// Tells all that this host counted, and that it was told, to those that may hold the duties next.
pub async fn hand_over(host: &host::Host, writer: &membership::ReportWriter) {
    host.membership
        .borrow_mut()
        .record_report(writer.report(host), host.now());
    let entries = host.membership.borrow().reports();
    let mut told = 0;
    let watchers = host.membership.borrow().watcher_addresses();
    for address in watchers {
        if address != host.settings.peer_address && hand_to(address, &entries).await.is_ok() {
            told += 1;
        }
    }
    tracing::info!(
        event = "counts_handed_over",
        entries = entries.len(),
        hosts = told
    );
}

async fn hand_to(
    address: net::SocketAddr,
    entries: &[membership::HostReport],
) -> Result<(), link::Closed> {
    let mut link = link::open(address).await?;
    link.sender.send(&Hello::Tell).await?;
    for entry in entries {
        link.sender.send(entry).await?;
        let _holds: bool = link.receiver.receive(ACK).await?;
    }
    Ok(())
}

async fn tell_one(
    host: &host::Host,
    link: &mut Option<(net::SocketAddr, link::Link)>,
    entry: &membership::HostReport,
) -> Result<(), link::Closed> {
    let Some(holder) = host.leader.get() else {
        return Err(link::Closed);
    };
    if holder == host.settings.peer_address {
        host.membership
            .borrow_mut()
            .record_report(entry.clone(), host.now());
        return Ok(());
    }
    if link.as_ref().is_none_or(|(to, _)| *to != holder) {
        let mut opened = link::open(holder).await?;
        opened.sender.send(&Hello::Tell).await?;
        *link = Some((holder, opened));
    }
    let Some((_, link)) = link else {
        return Err(link::Closed);
    };
    link.sender.send(entry).await?;
    let holds: bool = link.receiver.receive(ACK).await?;
    if holds { Ok(()) } else { Err(link::Closed) }
}
