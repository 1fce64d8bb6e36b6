//! Which hosts there are, which of them are heard, and who dispatches what.
//!
//! A host counts as live while its connection stands and its heartbeats come. The platform's
//! list lags: it only says where hosts are and which are leaving.

use std::collections;
use std::sync;

use base::{clock, hash, name};

/// A host that sent no heartbeat for this long takes no part in dispatching.
pub const HEARTBEAT_TIMEOUT: clock::Millis = clock::Millis(1_500);

#[derive(Clone, Debug)]
struct Member {
    dc: name::Dc,
    heard: clock::Millis,
    up: bool,
    leaving: bool,
    revision: u64,
}

/// The hosts known to this one.
#[derive(Debug)]
pub struct Directory {
    host: name::Host,
    dc: name::Dc,
    members: sync::Mutex<collections::BTreeMap<name::Host, Member>>,
}

impl Directory {
    /// A directory that knows only this host.
    pub fn new(host: name::Host, dc: name::Dc) -> Self {
        Self {
            host,
            dc,
            members: sync::Mutex::default(),
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, collections::BTreeMap<name::Host, Member>> {
        self.members
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Notes where a host is, from the list or the settings.
    pub fn record_dc(&self, host: &name::Host, dc: &name::Dc) {
        if host == &self.host {
            return;
        }
        let mut members = self.lock();
        let member = members.entry(host.clone()).or_insert_with(|| Member {
            dc: dc.clone(),
            heard: clock::Millis::ZERO,
            up: false,
            leaving: false,
            revision: 0,
        });
        member.dc = dc.clone();
    }

    /// Notes a heartbeat.
    pub fn record_heartbeat(
        &self,
        host: &name::Host,
        revision: u64,
        leaving: bool,
        now: clock::Millis,
    ) {
        if let Some(m) = self.lock().get_mut(host) {
            m.heard = now;
            m.up = true;
            m.leaving = leaving;
            m.revision = revision;
        }
    }

    /// Notes that the connection to a host was lost.
    pub fn record_disconnect(&self, host: &name::Host) {
        if let Some(m) = self.lock().get_mut(host) {
            m.up = false;
        }
    }

    /// Forgets the hosts that the list no longer names and that are not heard; gives their names.
    pub fn remove_unlisted(&self, listed: &[name::Host], now: clock::Millis) -> Vec<name::Host> {
        let mut out = Vec::new();
        self.lock().retain(|host, m| {
            let heard = m.up && now.since(m.heard) <= HEARTBEAT_TIMEOUT;
            let keep = heard || listed.contains(host);
            if !keep {
                out.push(host.clone());
            }
            keep
        });
        out
    }

    /// The hosts of this data centre that are heard and not leaving, this one included, in order.
    pub fn live_hosts(&self, now: clock::Millis) -> Vec<name::Host> {
        let mut out = vec![self.host.clone()];
        for (host, m) in self.lock().iter() {
            if m.dc == self.dc && m.up && !m.leaving && now.since(m.heard) <= HEARTBEAT_TIMEOUT {
                out.push(host.clone());
            }
        }
        out.sort();
        out
    }

    /// Whether `host` is this host or is heard.
    pub fn is_reachable(&self, host: &name::Host, now: clock::Millis) -> bool {
        if host == &self.host {
            return true;
        }
        let members = self.lock();
        members
            .get(host)
            .is_some_and(|m| m.up && now.since(m.heard) <= HEARTBEAT_TIMEOUT)
    }

    /// Hosts that are heard, with their data centres and the configuration they have in force.
    pub fn reachable_hosts(&self, now: clock::Millis) -> Vec<(name::Host, name::Dc, u64)> {
        let mut out = Vec::new();
        for (host, m) in self.lock().iter() {
            if m.up && now.since(m.heard) <= HEARTBEAT_TIMEOUT {
                out.push((host.clone(), m.dc.clone(), m.revision));
            }
        }
        out
    }

    /// The host that dispatches a service in this data centre.
    pub fn dispatcher(&self, service: &name::Service, now: clock::Millis) -> name::Host {
        let live = self.live_hosts(now);
        let names = live.iter().map(name::Host::as_str);
        let chosen = hash::rendezvous(service.as_str(), names);
        chosen.map_or_else(|| self.host.clone(), name::Host::from)
    }

    /// This host's place among the live ones of its data centre, and how many there are.
    pub fn rank(&self, now: clock::Millis) -> (u32, u32) {
        let live = self.live_hosts(now);
        let index = live
            .iter()
            .position(|h| h == &self.host)
            .unwrap_or_default();
        (index as u32, live.len() as u32)
    }

    /// This host.
    pub fn host(&self) -> &name::Host {
        &self.host
    }

    /// This host's data centre.
    pub fn dc(&self) -> &name::Dc {
        &self.dc
    }
}
