//! What the dispatching hosts of all data centres told of their load.

use std::collections;
use std::net;
use std::sync;

use base::{clock, name};
use peer::message;
use policy::{scale, spill};

/// One way between data centres of a region.
const WITHIN_REGION: clock::Millis = clock::Millis(1);
/// One way between regions.
const BETWEEN_REGIONS: clock::Millis = clock::Millis(20);
/// What a host told counts for this long.
pub const SUMMARY_TTL: clock::Millis = clock::Millis(4_000);

struct Told {
    summary: message::LoadSummary,
    at: clock::Millis,
}

/// A dispatcher in another data centre, for one service.
#[derive(Clone, Debug)]
pub struct RemoteDispatcher {
    /// The dispatching host.
    pub host: name::Host,
    /// Its data centre.
    pub dc: name::Dc,
    /// Where it listens to other hosts.
    pub address: net::SocketAddr,
    /// When it told this.
    pub told: clock::Millis,
    /// What it told, as the decision takes it.
    pub state: spill::Neighbour,
}

/// The latest summary of each dispatching host.
pub struct LoadSummaries {
    dc: name::Dc,
    region: name::Region,
    told: sync::Mutex<collections::HashMap<name::Host, Told>>,
}

impl LoadSummaries {
    /// No summaries yet, on a host in `dc` of `region`.
    pub fn new(dc: name::Dc, region: name::Region) -> Self {
        Self {
            dc,
            region,
            told: sync::Mutex::default(),
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, collections::HashMap<name::Host, Told>> {
        self.told
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Keeps a summary and drops old ones.
    pub fn insert(&self, summary: message::LoadSummary, at: clock::Millis) {
        let mut told = self.lock();
        told.insert(summary.host.clone(), Told { summary, at });
        told.retain(|_, t| at.since(t.at) < SUMMARY_TTL);
    }

    /// Slots wanted of a service in this data centre.
    pub fn demand(&self, service: &name::Service, now: clock::Millis) -> scale::Demand {
        let mut out = scale::Demand::default();
        for t in self.lock().values() {
            if t.summary.dc != self.dc || now.since(t.at) >= SUMMARY_TTL {
                continue;
            }
            for load in t.summary.services.iter().filter(|l| &l.service == service) {
                out.non_evictable += f64::from(load.non_evictable);
                out.evictable += f64::from(load.evictable);
            }
        }
        out
    }

    /// The dispatchers of a service in other data centres.
    pub fn remote_dispatchers(&self, service: &name::Service) -> Vec<RemoteDispatcher> {
        let mut out = Vec::new();
        for t in self.lock().values() {
            let summary = &t.summary;
            let load = summary.services.iter().find(|l| &l.service == service);
            let Some(load) = load.filter(|_| summary.dc != self.dc) else {
                continue;
            };
            let paid = summary.region != self.region;
            let distance = if paid { BETWEEN_REGIONS } else { WITHIN_REGION };
            let (free, waiting) = (load.free_slots, load.waiting);
            out.push(RemoteDispatcher {
                host: summary.host.clone(),
                dc: summary.dc.clone(),
                address: summary.address,
                told: t.at,
                state: spill::Neighbour {
                    free_slots: free,
                    waiting,
                    one_way_delay: distance,
                    metered: paid,
                    reported_at: t.at,
                },
            });
        }
        out
    }
}
