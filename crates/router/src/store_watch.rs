//! Watches of the configuration and of the list of upstreams in the store.

use std::cell;
use std::collections;
use std::rc;

use base::{clock, name};
use tokio::sync::{Notify, watch};
use tokio::{task, time};

use crate::freshness::WatchTarget;
use crate::{backoff, dc_drain, homes, host, model, ports, revision};

/// Time between checks whether to follow another host, when no change triggers a check earlier.
const CHECK_INTERVAL: clock::Millis = clock::Millis(2_000);
/// Delay after changes of upstreams before the next watch call: changes come in bursts, and each
/// response costs a call.
const BATCH_DELAY: clock::Millis = clock::Millis(200);
/// Time between checks whether this host still relies on another host instead of the store.
const RELIANCE_CHECK_INTERVAL: clock::Millis = clock::Millis(250);
/// Time after the start for which a host waits for the list of the other hosts.
const FIRST_HOSTS_TIMEOUT: clock::Millis = clock::Millis(300);
/// Time after the start for which a host waits for the contents from another host.
const FIRST_SOURCE_TIMEOUT: clock::Millis = clock::Millis(1_500);
/// Time between checks in these waits.
const FIRST_SOURCE_CHECK_INTERVAL: clock::Millis = clock::Millis(20);
/// Time after an outage or a restore of the store within which an upstream's entry may reappear.
const REAPPEAR_PERIOD: clock::Millis = clock::Millis(2_200);

/// Whether the store responds to this host, and whether the host follows another host instead.
#[derive(Debug)]
pub struct StoreHealth {
    lost: [cell::Cell<bool>; 2],
    /// Time of the first successful call since the latest loss or restore of the store.
    regained_at: cell::Cell<Option<clock::Millis>>,
    regained: Notify,
    following: cell::Cell<bool>,
    changes: watch::Sender<u64>,
}

impl Default for StoreHealth {
    fn default() -> Self {
        Self {
            lost: Default::default(),
            regained_at: cell::Cell::new(None),
            regained: Notify::new(),
            following: cell::Cell::new(false),
            changes: watch::Sender::new(0),
        }
    }
}

impl StoreHealth {
    fn record_result<T>(
        &self,
        target: WatchTarget,
        result: &Result<T, ports::StoreError>,
        now: clock::Millis,
    ) {
        let lost = &self.lost[target as usize];
        match result {
            Ok(_) => {
                if lost.replace(false) {
                    self.regained_at.set(self.regained_at.get().or(Some(now)));
                    self.regained.notify_waiters();
                    tracing::info!(event = "store_regained", what = target.as_str());
                }
            }
            Err(ports::StoreError::Compacted) => {}
            Err(e) => {
                if !lost.replace(true) {
                    self.regained_at.set(None);
                    tracing::warn!(event = "store_lost", what = target.as_str(), error = %e);
                    self.notify_change();
                }
            }
        }
    }

    /// Records that the store came back from an older copy, which may lack entries of upstreams.
    fn record_restore(&self, now: clock::Millis) {
        self.regained_at.set(Some(now));
    }

    /// Wakes the tasks in [`Self::wait_for_change`] after a change of the store's health or of the
    /// hosts.
    pub fn notify_change(&self) {
        self.changes.send_modify(|n| *n += 1);
    }

    /// Whether the last call of any watch failed.
    pub fn is_lost(&self) -> bool {
        self.lost.iter().any(cell::Cell::get)
    }

    /// Sets whether this host follows another host that relays the store's contents; returns the
    /// previous value.
    pub fn set_following(&self, following: bool) -> bool {
        self.following.replace(following)
    }

    /// Whether this host follows another host that relays the store's contents.
    pub fn is_following(&self) -> bool {
        self.following.get()
    }

    /// Waits for the next change, or at most `CHECK_INTERVAL`.
    pub async fn wait_for_change(&self) {
        let mut changes = self.changes.subscribe();
        // After a timeout the caller of this function checks as well.
        let _ = time::timeout(CHECK_INTERVAL.duration(), changes.changed()).await;
    }

    /// Waits until the store answers after a loss.
    pub async fn regained(&self) {
        self.regained.notified().await;
    }

    /// Time until which an entry that is missing now may reappear, because it may have expired in an
    /// outage of the store or be lost in a restore; `None` if there was neither recently.
    fn reappear_deadline(&self, now: clock::Millis) -> Option<clock::Millis> {
        let regained_at = match self.regained_at.get() {
            Some(at) => at,
            None if self.is_lost() => now,
            None => return None,
        };
        let deadline = regained_at + REAPPEAR_PERIOD;
        (now < deadline).then_some(deadline)
    }
}

/// Waits, at the start of this host, until it knows whether another host watches the store for it,
/// and if so until that has relayed the contents. Hosts that start together would fill the links
/// to the store if each read the contents itself. Either wait has a limit.
pub async fn wait_for_first_source(host: &host::Host) {
    let age = || host.now().since(host.started_at);
    while !host.membership.borrow().is_read() && age() < FIRST_HOSTS_TIMEOUT {
        time::sleep(FIRST_SOURCE_CHECK_INTERVAL.duration()).await;
    }
    while !host.is_watcher() && !host.relies_on_peer() && age() < FIRST_SOURCE_TIMEOUT {
        time::sleep(FIRST_SOURCE_CHECK_INTERVAL.duration()).await;
    }
}

/// Waits while this host relies on another host instead of the store.
async fn wait_while_relying_on_peer(host: &host::Host) {
    while host.relies_on_peer() {
        time::sleep(RELIANCE_CHECK_INTERVAL.duration()).await;
    }
}

/// Waits until this host uses the store itself and the store responds.
pub async fn wait_for_store(host: &host::Host) {
    while host.relies_on_peer() || host.store_health.is_lost() {
        time::sleep(RELIANCE_CHECK_INTERVAL.duration()).await;
    }
}

/// Delay after a change before the next watch call. A new host will mostly follow another host soon,
/// and upstreams that start with it change all the time.
fn batch_delay(host: &host::Host) -> clock::Millis {
    if host.is_new() {
        host::DISCOVERY_PERIOD
    } else {
        BATCH_DELAY
    }
}

/// Reads the operators' entries, or only the configuration where data centres can't be drained.
async fn read_operator_entries(host: &host::Host) -> ports::Read<Vec<ports::Item>> {
    if host.settings.dc_drain_deadline.is_some() {
        return host.store.list(dc_drain::watched_prefix(host), false).await;
    }
    let (item, revision) = host.store.get(host.protocol.config_key()).await?;
    Ok((item.into_iter().collect(), revision))
}

/// Watches the configuration and the drained data centres, and applies each change.
pub async fn watch_config(host: rc::Rc<host::Host>) {
    let key = host.protocol.config_key().to_owned();
    let prefix = dc_drain::watched_prefix(&host).to_owned();
    let mut backoff = backoff::Backoff::default();
    let mut watch_backoff = backoff::Backoff::default();
    loop {
        wait_while_relying_on_peer(&host).await;
        let began = host.now();
        let entries = read_operator_entries(&host).await;
        host.store_health
            .record_result(WatchTarget::Config, &entries, host.now());
        let Ok((items, mut at)) = entries else {
            backoff.wait(&host).await;
            continue;
        };
        backoff.reset();
        // A host without a configuration serves nothing, so a new one knows the drains before it serves.
        dc_drain::apply_list(&host, &items, at);
        if let Some(item) = items.iter().find(|item| item.key == key) {
            apply_config(&host, &item.value, "store");
        }
        host.freshness.record_read(WatchTarget::Config, began);
        let mut is_watched = false;
        while !host.relies_on_peer() {
            let began = host.now();
            let wait = host.freshness.watch_timeout(WatchTarget::Config, began);
            let changes = host.store.watch(&prefix, at, wait).await;
            host.store_health
                .record_result(WatchTarget::Config, &changes, host.now());
            match changes {
                Ok((events, revision)) => {
                    at = revision;
                    is_watched = true;
                    let is_quiet = events.is_empty();
                    dc_drain::apply_events(&host, &events, at);
                    for event in events {
                        if let ports::WatchEvent::Put(item) = event
                            && item.key == key
                        {
                            apply_config(&host, &item.value, "store");
                        }
                    }
                    let (target, now) = (WatchTarget::Config, host.now());
                    host.freshness
                        .record_watch(target, began, wait, now, is_quiet);
                }
                Err(ports::StoreError::Compacted) => {
                    // A list that is too old to be watched at once is not read again at once.
                    if is_watched {
                        watch_backoff.reset();
                    } else {
                        watch_backoff.wait(&host).await;
                    }
                    break;
                }
                Err(_) => {
                    backoff.wait(&host).await;
                    break;
                }
            }
        }
    }
}

/// Applies a configuration if its version is newer than that of the current one. `from` names its
/// source in log lines.
pub fn apply_config(host: &host::Host, bytes: &[u8], from: &str) {
    let config = match host.protocol.parse_config(bytes) {
        Ok(config) => config,
        Err(diagnostics) => {
            tracing::error!(event = "config_unreadable", from, findings = %diagnostics);
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
        old,
        bytes = bytes.len(),
    );
    homes::log_unknown(host, &config);
    let services = config.services.values().map(AsRef::as_ref);
    host.fleet.borrow_mut().warm_up.set_limits(services);
    *host.config.borrow_mut() = Some(rc::Rc::new(config));
    host.store_cache.set_config(bytes);
}

/// Watches the list of upstreams and applies its changes.
pub async fn watch_upstreams(host: rc::Rc<host::Host>) {
    let prefix = host.protocol.upstream_prefix().to_owned();
    let mut backoff = backoff::Backoff::probe();
    let mut watch_backoff = backoff::Backoff::probe();
    loop {
        wait_while_relying_on_peer(&host).await;
        let began = host.now();
        let list = host.store.list(&prefix, false).await;
        host.store_health
            .record_result(WatchTarget::Upstreams, &list, host.now());
        let Ok((items, mut at)) = list else {
            backoff.wait(&host).await;
            continue;
        };
        backoff.reset();
        let known = host.store_cache.revision();
        if host.upstreams_listed.get() && known.era() < at.era() {
            tracing::warn!(event = "upstreams_restored", %known, %at, listed = items.len());
            host.store_health.record_restore(host.now());
        }
        apply_list(&host, &items, at);
        host.freshness.record_read(WatchTarget::Upstreams, began);
        let mut is_watched = false;
        while !host.relies_on_peer() {
            let began = host.now();
            let wait = host.freshness.watch_timeout(WatchTarget::Upstreams, began);
            let changes = host.store.watch(&prefix, at, wait).await;
            host.store_health
                .record_result(WatchTarget::Upstreams, &changes, host.now());
            match changes {
                Ok((events, revision)) => {
                    at = revision;
                    is_watched = true;
                    let is_quiet = events.is_empty();
                    for event in events {
                        apply_event(&host, &event);
                    }
                    host.store_cache.advance_to(at);
                    let (target, now) = (WatchTarget::Upstreams, host.now());
                    host.freshness
                        .record_watch(target, began, wait, now, is_quiet);
                    if !is_quiet {
                        time::sleep(batch_delay(&host).duration()).await;
                    }
                }
                Err(ports::StoreError::Compacted) => {
                    // A list that is too old to be watched at once is not read again at once.
                    if is_watched {
                        watch_backoff.reset();
                    } else {
                        watch_backoff.wait(&host).await;
                    }
                    break;
                }
                Err(_) => {
                    backoff.wait(&host).await;
                    break;
                }
            }
        }
    }
}

fn apply_list(host: &rc::Rc<host::Host>, items: &[ports::Item], at: revision::Revision) {
    for item in items {
        apply_item(host, item);
    }
    let prefix = host.protocol.upstream_prefix();
    let listed: collections::HashSet<&str> = items.iter().map(|i| i.key.as_str()).collect();
    let names = host.fleet.borrow().names();
    for name in names {
        let key = format!("{prefix}{name}");
        if !listed.contains(key.as_str()) {
            handle_missing(host, &key, at);
        }
    }
    host.store_cache.advance_to(at);
    host.upstreams_listed.set(true);
}

fn apply_event(host: &rc::Rc<host::Host>, event: &ports::WatchEvent) {
    match event {
        ports::WatchEvent::Put(item) => apply_item(host, item),
        ports::WatchEvent::Removed(key, at) => handle_missing(host, key, *at),
    }
}

/// Handles an upstream's entry that is missing from the store at revision `at`: the upstream is
/// removed at once if the store was available, otherwise after the time within which the entry may
/// reappear.
fn handle_missing(host: &rc::Rc<host::Host>, key: &str, at: revision::Revision) {
    let now = host.now();
    let Some(deadline) = host.store_health.reappear_deadline(now) else {
        return apply_removal(host, key, at);
    };
    let Some(name) = upstream_name(host, key) else {
        return;
    };
    let Some(absence) = host.fleet.borrow_mut().mark_missing(&name) else {
        return;
    };
    let host = host.clone();
    let key = key.to_owned();
    task::spawn_local(async move {
        time::sleep(deadline.since(now).duration()).await;
        if host.fleet.borrow().is_missing_since(&name, absence) {
            apply_removal(&host, &key, at);
        }
    });
}

/// Removes the upstream whose entry was removed at revision `at`, according to the store or to
/// another host. An entry written after `at` stays.
pub fn apply_removal(host: &host::Host, key: &str, at: revision::Revision) {
    if host.store_cache.is_newer(key, at) {
        return;
    }
    let Some(name) = upstream_name(host, key) else {
        return;
    };
    host.store_cache.remove(key, at);
    let removed = host.fleet.borrow_mut().remove(&name);
    if let Some(address) = removed {
        host.pool.close_idle(address);
        tracing::info!(event = "upstream_gone", upstream = %name, %at);
    }
}

fn upstream_name(host: &host::Host, key: &str) -> Option<name::Upstream> {
    key.strip_prefix(host.protocol.upstream_prefix())
        .map(name::Upstream::from)
}

fn apply_item(host: &host::Host, item: &ports::Item) {
    match item.fault {
        Some(fault) => log_unreadable(host, &item.key, item.revision, fault),
        None => apply_entry(host, &item.key, item.revision, &item.value),
    }
}

fn log_unreadable(host: &host::Host, key: &str, revision: revision::Revision, fault: &str) {
    let faulty_keys = &host.store_cache.faulty_keys;
    faulty_keys.log("upstream_unreadable", key, revision.number(), fault);
}

/// Adds or updates an upstream from its entry in the store, unless a newer entry or removal is
/// known. An entry that a restored store has from its copy does not bring back an earlier process or undo that
/// the upstream leaves. An entry that can't be read changes nothing: the upstream whose entry another program has
/// overwritten writes it again with its next heartbeat, or the entry expires.
pub fn apply_entry(host: &host::Host, key: &str, revision: revision::Revision, value: &[u8]) {
    let upstream = match host.protocol.parse_upstream(key, value) {
        Ok(upstream) => upstream,
        Err(fault) => return log_unreadable(host, key, revision, &fault),
    };
    let cache = &host.store_cache;
    if cache.may_be_copied(key, revision) && host.fleet.borrow().is_step_back(&upstream) {
        return;
    }
    let is_written = !cache.is_newer(key, revision) && !cache.has_write(key, revision, value);
    if !cache.put(key, revision, value) {
        return;
    }
    let (name, address, state) = (upstream.name.clone(), upstream.address, upstream.state);
    let cheap = upstream.preemptible;
    if host
        .fleet
        .borrow_mut()
        .put_entry(upstream, is_written, host.now())
    {
        tracing::info!(event = "upstream_listed", upstream = %name, %address, ?state, cheap);
    }
    if state == model::UpstreamState::Leaving {
        host.pool.close_idle(address);
    }
}
