//! The configuration and the list of upstreams, followed in the store by watches.

use std::cell;
use std::rc;

use base::{clock, name};
use rand::Rng as _;
use tokio::{task, time};

use crate::{host, model, ports};

/// How long a watch waits; a connection that has gone silent is noticed a little later.
pub const WATCH: clock::Millis = clock::Millis(2_000);
/// Pause after a failed call.
const PAUSE: clock::Millis = clock::Millis(250);
/// How long after an outage of the store an entry that lapsed may come back.
const COME_BACK: clock::Millis = clock::Millis(2_200);

/// What is known of the store's health.
#[derive(Debug, Default)]
pub struct Health {
    lost: cell::Cell<bool>,
    back: cell::Cell<Option<clock::Millis>>,
}

impl Health {
    fn note<T>(&self, what: &'static str, r: &Result<T, ports::StoreError>, now: clock::Millis) {
        match r {
            Ok(_) => {
                if self.lost.replace(false) {
                    self.back.set(Some(now));
                    tracing::info!(event = "store_regained", what);
                }
            }
            Err(ports::StoreError::Compacted) => {}
            Err(e) => {
                if !self.lost.replace(true) {
                    tracing::warn!(event = "store_lost", what, error = e.as_str());
                }
            }
        }
    }

    /// Whether an entry that is missing may have lapsed with an outage.
    fn may_come_back(&self, now: clock::Millis) -> bool {
        self.lost.get() || self.back.get().is_some_and(|b| now.since(b) < COME_BACK)
    }
}

async fn pause() {
    let jitter = rand::rng().random_range(0..PAUSE.0);
    time::sleep(clock::Millis(PAUSE.0 + jitter).duration()).await;
}

/// Follows the configuration.
pub async fn config(host: rc::Rc<host::Host>) {
    let health = Health::default();
    let key = host.dialect.config_key().to_owned();
    loop {
        let got = host.store.get(&key).await;
        health.note("config", &got, host.now());
        let Ok((item, mut at)) = got else {
            pause().await;
            continue;
        };
        if let Some(item) = item {
            take_config(&host, &item.value, "store");
        }
        loop {
            let seen = host.store.watch(&key, at, WATCH).await;
            health.note("config", &seen, host.now());
            match seen {
                Ok((events, as_of)) => {
                    at = as_of;
                    for event in events {
                        if let ports::Event::Put(item) = event
                            && item.key == key
                        {
                            take_config(&host, &item.value, "store");
                        }
                    }
                }
                Err(ports::StoreError::Compacted) => break,
                Err(_) => {
                    pause().await;
                    break;
                }
            }
        }
    }
}

/// Puts a configuration in force if it is newer than the one that is.
pub fn take_config(host: &host::Host, bytes: &[u8], from: &str) {
    let config = match host.dialect.config(bytes) {
        Ok(config) => config,
        Err(findings) => {
            tracing::error!(event = "config_unreadable", from, findings = %findings);
            return;
        }
    };
    let old = host.current().map(|c| c.version);
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
}

/// Follows the list of upstreams.
pub async fn upstreams(host: rc::Rc<host::Host>) {
    let health = rc::Rc::new(Health::default());
    let prefix = host.dialect.upstream_prefix().to_owned();
    loop {
        let list = host.store.list(&prefix, false).await;
        health.note("upstreams", &list, host.now());
        let Ok((items, mut at)) = list else {
            pause().await;
            continue;
        };
        take_list(&host, &health, &items);
        loop {
            let seen = host.store.watch(&prefix, at, WATCH).await;
            health.note("upstreams", &seen, host.now());
            match seen {
                Ok((events, as_of)) => {
                    at = as_of;
                    for event in events {
                        take_event(&host, &health, &event);
                    }
                }
                Err(ports::StoreError::Compacted) => break,
                Err(_) => {
                    pause().await;
                    break;
                }
            }
        }
    }
}

fn take_list(host: &rc::Rc<host::Host>, health: &rc::Rc<Health>, items: &[ports::Item]) {
    for item in items {
        take_item(host, item);
    }
    let prefix = host.dialect.upstream_prefix();
    let listed = |n: &name::Upstream| {
        items
            .iter()
            .any(|i| i.key.strip_prefix(prefix) == Some(n.as_str()))
    };
    let names = host.fleet.borrow().names();
    for name in names.into_iter().filter(|n| !listed(n)) {
        missing(host, health, name);
    }
    host.listed.set(true);
}

fn take_event(host: &rc::Rc<host::Host>, health: &rc::Rc<Health>, event: &ports::Event) {
    match event {
        ports::Event::Put(item) => take_item(host, item),
        ports::Event::Removed(key) => {
            let prefix = host.dialect.upstream_prefix();
            if let Some(name) = key.strip_prefix(prefix) {
                missing(host, health, name.into());
            }
        }
    }
}

fn take_item(host: &host::Host, item: &ports::Item) {
    let upstream = match host.dialect.upstream(&item.key, &item.value) {
        Ok(upstream) => upstream,
        Err(fault) => {
            tracing::warn!(event = "upstream_unreadable", key = item.key, fault);
            return;
        }
    };
    let (name, address, state) = (upstream.name.clone(), upstream.address, upstream.state);
    let cheap = upstream.cheap;
    if host.fleet.borrow_mut().put(upstream) {
        tracing::info!(event = "upstream_listed", upstream = %name, %address, ?state, cheap);
    }
    if state == model::State::Leaving {
        host.pool.forget(address);
    }
}

/// An entry is gone: at once if the store was well, else after the time in which it may come back.
fn missing(host: &rc::Rc<host::Host>, health: &rc::Rc<Health>, name: name::Upstream) {
    if !health.may_come_back(host.now()) {
        remove(host, &name);
        return;
    }
    let miss = host.fleet.borrow_mut().miss(&name);
    let host = host.clone();
    task::spawn_local(async move {
        time::sleep(COME_BACK.duration()).await;
        if host.fleet.borrow().is_missing(&name, miss) {
            remove(&host, &name);
        }
    });
}

fn remove(host: &host::Host, name: &name::Upstream) {
    if let Some(address) = host.fleet.borrow_mut().remove(name) {
        host.pool.forget(address);
        tracing::info!(event = "upstream_gone", upstream = %name);
    }
}
