//! The configuration and the list of upstreams, followed in the store by watches.

use std::cell;
use std::collections;
use std::rc;

use base::{clock, name};
use tokio::sync::watch;
use tokio::{task, time};

use crate::{host, model, ports, retry};

/// Part of the bound on leaving upstreams and changes for which a watch waits: a connection that
/// has gone silent is noticed, and the list read again, within the bound.
const WATCH_PART: f64 = 0.5;
/// How often a host looks at whom to follow if nothing tells it to.
const LOOK_EVERY: clock::Millis = clock::Millis(2_000);
/// Pause after changes of upstreams before the next are asked for: they come many at a time, and
/// each answer is a call.
const GATHER: clock::Millis = clock::Millis(200);
/// How often a host looks whether it is still fed.
const LOOK_FED: clock::Millis = clock::Millis(250);
/// How long after an outage of the store an entry that lapsed may come back.
const COME_BACK: clock::Millis = clock::Millis(2_200);

/// What is followed in the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum What {
    Config,
    Upstreams,
}

impl What {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Config => "config",
            Self::Upstreams => "upstreams",
        }
    }
}

/// Whether the store answers this host.
#[derive(Debug)]
pub struct StoreHealth {
    lost: [cell::Cell<bool>; 2],
    back: cell::Cell<Option<clock::Millis>>,
    fed: cell::Cell<bool>,
    looks: watch::Sender<u64>,
}

impl Default for StoreHealth {
    fn default() -> Self {
        Self {
            lost: Default::default(),
            back: cell::Cell::new(None),
            fed: cell::Cell::new(false),
            looks: watch::Sender::new(0),
        }
    }
}

impl StoreHealth {
    fn note<T>(&self, what: What, r: &Result<T, ports::StoreError>, now: clock::Millis) {
        let lost = &self.lost[what as usize];
        match r {
            Ok(_) => {
                if lost.replace(false) {
                    self.back.set(Some(now));
                    tracing::info!(event = "store_regained", what = what.as_str());
                }
            }
            Err(ports::StoreError::Compacted) => {}
            Err(e) => {
                if !lost.replace(true) {
                    tracing::warn!(event = "store_lost", what = what.as_str(), error = %e);
                    self.notify_change();
                }
            }
        }
    }

    /// Wakes those who wait for the store's loss: something they look at has changed.
    pub fn notify_change(&self) {
        self.looks.send_modify(|n| *n += 1);
    }

    /// Whether the store does not answer.
    pub fn is_lost(&self) -> bool {
        self.lost.iter().any(cell::Cell::get)
    }

    /// Notes whether another host tells what the store would; returns whether one did before.
    pub fn set_following(&self, fed: bool) -> bool {
        self.fed.replace(fed)
    }

    /// Whether another host tells what the store would.
    pub fn is_following(&self) -> bool {
        self.fed.get()
    }

    /// Waits for something to change, or a while.
    pub async fn wait_for_change(&self) {
        let mut looks = self.looks.subscribe();
        // Either way the caller looks again.
        let _ = time::timeout(LOOK_EVERY.duration(), looks.changed()).await;
    }

    /// Whether an entry that is missing may have lapsed with an outage.
    fn may_come_back(&self, now: clock::Millis) -> bool {
        self.is_lost() || self.back.get().is_some_and(|b| now.since(b) < COME_BACK)
    }
}

/// Waits while another host tells this one what the store would.
async fn wait_unfed(host: &host::Host) {
    while host.relies_on_peer() {
        time::sleep(LOOK_FED.duration()).await;
    }
}

/// Waits while another host tells this one what the store would, or the store does not answer.
pub async fn wait_for_store(host: &host::Host) {
    while host.relies_on_peer() || host.store_health.is_lost() {
        time::sleep(LOOK_FED.duration()).await;
    }
}

fn watch_time(host: &host::Host) -> clock::Millis {
    clock::Millis((host.settings.timing.change_deadline.0 as f64 * WATCH_PART) as u64)
}

/// Follows the configuration.
pub async fn watch_config(host: rc::Rc<host::Host>) {
    let key = host.dialect.config_key().to_owned();
    let mut retry = retry::Retry::default();
    loop {
        wait_unfed(&host).await;
        let got = host.store.get(&key).await;
        host.store_health.note(What::Config, &got, host.now());
        let Ok((item, mut at)) = got else {
            retry.pause(&host).await;
            continue;
        };
        retry.reset();
        if let Some(item) = item {
            apply_config(&host, &item.value, "store");
        }
        while !host.relies_on_peer() {
            let seen = host.store.watch(&key, at, watch_time(&host)).await;
            host.store_health.note(What::Config, &seen, host.now());
            match seen {
                Ok((events, as_of)) => {
                    at = as_of;
                    for event in events {
                        if let ports::Event::Put(item) = event
                            && item.key == key
                        {
                            apply_config(&host, &item.value, "store");
                        }
                    }
                }
                Err(ports::StoreError::Compacted) => break,
                Err(_) => {
                    retry.pause(&host).await;
                    break;
                }
            }
        }
    }
}

/// Puts a configuration in force if it is newer than the one that is.
pub fn apply_config(host: &host::Host, bytes: &[u8], from: &str) {
    let config = match host.dialect.config(bytes) {
        Ok(config) => config,
        Err(findings) => {
            tracing::error!(event = "config_unreadable", from, findings = %findings);
            return;
        }
    };
    let old = host.current_config().map(|c| c.version);
    if old.is_some_and(|v| v >= config.version) {
        return;
    }
    tracing::info!(
        event = "config_in_force",
        from,
        version = config.version,
        old
    );
    *host.config.borrow_mut() = Some(rc::Rc::new(config));
    host.store_cache.set_config(bytes);
}

/// Follows the list of upstreams.
pub async fn watch_upstreams(host: rc::Rc<host::Host>) {
    let prefix = host.dialect.upstream_prefix().to_owned();
    let mut retry = retry::Retry::default();
    loop {
        wait_unfed(&host).await;
        let list = host.store.list(&prefix, false).await;
        host.store_health.note(What::Upstreams, &list, host.now());
        let Ok((items, mut at)) = list else {
            retry.pause(&host).await;
            continue;
        };
        retry.reset();
        take_list(&host, &items, at);
        while !host.relies_on_peer() {
            let seen = host.store.watch(&prefix, at, watch_time(&host)).await;
            host.store_health.note(What::Upstreams, &seen, host.now());
            match seen {
                Ok((events, as_of)) => {
                    at = as_of;
                    let changed = !events.is_empty();
                    for event in events {
                        take_event(&host, &event, as_of);
                    }
                    host.store_cache.advance_to(at);
                    if changed {
                        time::sleep(GATHER.duration()).await;
                    }
                }
                Err(ports::StoreError::Compacted) => break,
                Err(_) => {
                    retry.pause(&host).await;
                    break;
                }
            }
        }
    }
}

fn take_list(host: &rc::Rc<host::Host>, items: &[ports::Item], at: u64) {
    for item in items {
        apply_entry(host, &item.key, item.revision, &item.value);
    }
    let prefix = host.dialect.upstream_prefix();
    let listed: collections::HashSet<&str> = items.iter().map(|i| i.key.as_str()).collect();
    let names = host.fleet.borrow().names();
    for name in names {
        let key = format!("{prefix}{name}");
        if !listed.contains(key.as_str()) {
            take_gone(host, &key, at);
        }
    }
    host.store_cache.advance_to(at);
    host.upstreams_listed.set(true);
}

fn take_event(host: &rc::Rc<host::Host>, event: &ports::Event, at: u64) {
    match event {
        ports::Event::Put(item) => apply_entry(host, &item.key, item.revision, &item.value),
        ports::Event::Removed(key) => take_gone(host, key, at),
    }
}

/// An upstream's entry is gone from the store, at a revision of it: at once if the store was well,
/// else after the time in which it may come back.
fn take_gone(host: &rc::Rc<host::Host>, key: &str, at: u64) {
    if !host.store_health.may_come_back(host.now()) {
        return apply_removal(host, key, at);
    }
    let Some(name) = name_of(host, key) else {
        return;
    };
    let miss = host.fleet.borrow_mut().miss(&name);
    let host = host.clone();
    let key = key.to_owned();
    task::spawn_local(async move {
        time::sleep(COME_BACK.duration()).await;
        if host.fleet.borrow().is_missing(&name, miss) {
            apply_removal(&host, &key, at);
        }
    });
}

/// An upstream's entry is gone, as the store or another host that it answers says.
pub fn apply_removal(host: &host::Host, key: &str, at: u64) {
    if host.store_cache.is_newer(key, at) {
        return;
    }
    let Some(name) = name_of(host, key) else {
        return;
    };
    host.store_cache.remove(key, at);
    let removed = host.fleet.borrow_mut().remove(&name);
    if let Some(address) = removed {
        host.pool.close_idle(address);
        tracing::info!(event = "upstream_gone", upstream = %name, at);
    }
}

fn name_of(host: &host::Host, key: &str) -> Option<name::Upstream> {
    key.strip_prefix(host.dialect.upstream_prefix())
        .map(name::Upstream::from)
}

/// Takes an upstream's entry as the store holds it.
pub fn apply_entry(host: &host::Host, key: &str, revision: u64, value: &[u8]) {
    let upstream = match host.dialect.upstream(key, value) {
        Ok(upstream) => upstream,
        Err(fault) => {
            tracing::warn!(event = "upstream_unreadable", key, fault);
            return;
        }
    };
    if !host.store_cache.put(key, revision, value) {
        return;
    }
    let (name, address, state) = (upstream.name.clone(), upstream.address, upstream.state);
    let cheap = upstream.cheap;
    if host.fleet.borrow_mut().put(upstream) {
        tracing::info!(event = "upstream_listed", upstream = %name, %address, ?state, cheap);
    }
    if state == model::State::Leaving {
        host.pool.close_idle(address);
    }
}
