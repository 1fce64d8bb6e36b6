//! Directory of hosts: which are reachable, and which host dispatches a service.
//!
//! A host is reachable while it is connected and its heartbeats arrive. The list of the platform is
//! delayed, so it only determines the data centres of hosts and which hosts are removed.

use std::collections;
use std::sync;

use base::{clock, hash, name};

/// Time without a heartbeat after which a host is unreachable and no longer dispatches services.
pub const HEARTBEAT_TIMEOUT: clock::Millis = clock::Millis(1_500);

#[derive(Clone, Debug)]
struct Member {
    dc: name::Dc,
    last_heartbeat: clock::Millis,
    connected: bool,
    draining: bool,
    /// Revision of the active configuration.
    revision: u64,
}

/// Hosts known to this host, with their last heartbeats.
#[derive(Debug)]
pub struct Directory {
    host: name::Host,
    dc: name::Dc,
    members: sync::Mutex<collections::BTreeMap<name::Host, Member>>,
}

impl Directory {
    /// Creates a directory that contains only this host.
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

    /// Records the data centre of a host, from the list of the platform or the settings. Heartbeats
    /// of a host that was never recorded are ignored.
    pub fn record_dc(&self, host: &name::Host, dc: &name::Dc) {
        if host == &self.host {
            return;
        }
        let mut members = self.lock();
        let member = members.entry(host.clone()).or_insert_with(|| Member {
            dc: dc.clone(),
            last_heartbeat: clock::Millis::ZERO,
            connected: false,
            draining: false,
            revision: 0,
        });
        member.dc = dc.clone();
    }

    /// Records a heartbeat with the configuration revision of the host and whether it is draining.
    pub fn record_heartbeat(
        &self,
        host: &name::Host,
        revision: u64,
        draining: bool,
        now: clock::Millis,
    ) {
        if let Some(m) = self.lock().get_mut(host) {
            m.last_heartbeat = now;
            m.connected = true;
            m.draining = draining;
            m.revision = revision;
        }
    }

    /// Records that the connection to a host was lost.
    pub fn record_disconnect(&self, host: &name::Host) {
        if let Some(m) = self.lock().get_mut(host) {
            m.connected = false;
        }
    }

    /// Removes the hosts that are neither listed nor reachable, and returns their names.
    pub fn remove_unlisted(&self, listed: &[name::Host], now: clock::Millis) -> Vec<name::Host> {
        let mut out = Vec::new();
        self.lock().retain(|host, m| {
            let reachable = m.connected && now.since(m.last_heartbeat) <= HEARTBEAT_TIMEOUT;
            let keep = reachable || listed.contains(host);
            if !keep {
                out.push(host.clone());
            }
            keep
        });
        out
    }

    /// Hosts of this data centre that are reachable and not draining, and always this host, sorted
    /// by name.
    pub fn live_hosts(&self, now: clock::Millis) -> Vec<name::Host> {
        let mut out = vec![self.host.clone()];
        for (host, m) in self.lock().iter() {
            if m.dc == self.dc
                && m.connected
                && !m.draining
                && now.since(m.last_heartbeat) <= HEARTBEAT_TIMEOUT
            {
                out.push(host.clone());
            }
        }
        out.sort();
        out
    }

    /// Whether `host` is this host or is connected and sends heartbeats.
    pub fn is_reachable(&self, host: &name::Host, now: clock::Millis) -> bool {
        if host == &self.host {
            return true;
        }
        let members = self.lock();
        members
            .get(host)
            .is_some_and(|m| m.connected && now.since(m.last_heartbeat) <= HEARTBEAT_TIMEOUT)
    }

    /// Other reachable hosts, with their data centres and active configuration revisions.
    pub fn reachable_hosts(&self, now: clock::Millis) -> Vec<(name::Host, name::Dc, u64)> {
        let mut out = Vec::new();
        for (host, m) in self.lock().iter() {
            if m.connected && now.since(m.last_heartbeat) <= HEARTBEAT_TIMEOUT {
                out.push((host.clone(), m.dc.clone(), m.revision));
            }
        }
        out
    }

    /// Host that dispatches a service in this data centre: chosen by rendezvous hashing among the
    /// live hosts.
    pub fn dispatcher(&self, service: &name::Service, now: clock::Millis) -> name::Host {
        let live = self.live_hosts(now);
        let names = live.iter().map(name::Host::as_str);
        let chosen = hash::rendezvous(service.as_str(), names);
        chosen.map_or_else(|| self.host.clone(), name::Host::from)
    }

    /// Position of this host in the sorted list of live hosts of its data centre, and the length of
    /// the list.
    pub fn rank(&self, now: clock::Millis) -> (u32, u32) {
        let live = self.live_hosts(now);
        let index = live
            .iter()
            .position(|h| h == &self.host)
            .unwrap_or_default();
        (index as u32, live.len() as u32)
    }

    /// Name of this host.
    pub fn host(&self) -> &name::Host {
        &self.host
    }

    /// Data centre of this host.
    pub fn dc(&self) -> &name::Dc {
        &self.dc
    }
}
