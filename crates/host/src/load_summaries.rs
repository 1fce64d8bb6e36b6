//! Latest load summaries of the dispatching hosts of all data centres.

use std::collections;
use std::net;
use std::sync;

use base::{clock, name};
use peer::message;
use policy::{offload, scale};

/// Assumed one-way delay between data centres of the same region.
const DELAY_WITHIN_REGION: clock::Millis = clock::Millis(1);
/// Assumed one-way delay between data centres of different regions.
const DELAY_BETWEEN_REGIONS: clock::Millis = clock::Millis(20);
/// Age at which a load summary or a list of draining upstreams expires.
pub const SUMMARY_TTL: clock::Millis = clock::Millis(4_000);

struct ReceivedSummary {
    summary: message::LoadSummary,
    received_at: clock::Millis,
}

/// Dispatcher of a service in another data centre, with its latest load.
#[derive(Clone, Debug)]
pub struct RemoteDispatcher {
    /// Host that dispatches the service.
    pub host: name::Host,
    /// Data centre of the dispatching host.
    pub dc: name::Dc,
    /// Address on which the dispatching host accepts connections of other hosts.
    pub address: net::SocketAddr,
    /// Time at which this host received the load summary.
    pub received_at: clock::Millis,
    /// Load and link of the data centre, as input of the decision to leave.
    pub state: offload::Neighbour,
}

/// Latest load summary of each dispatching host.
pub struct LoadSummaries {
    dc: name::Dc,
    region: name::Region,
    summaries: sync::Mutex<collections::HashMap<name::Host, ReceivedSummary>>,
}

impl LoadSummaries {
    /// Creates an empty set of summaries for a host in data centre `dc` of `region`.
    pub fn new(dc: name::Dc, region: name::Region) -> Self {
        Self {
            dc,
            region,
            summaries: sync::Mutex::default(),
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, collections::HashMap<name::Host, ReceivedSummary>> {
        self.summaries
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Stores a summary that was received at `now`, and drops expired summaries.
    pub fn insert(&self, summary: message::LoadSummary, now: clock::Millis) {
        let mut summaries = self.lock();
        summaries.insert(
            summary.host.clone(),
            ReceivedSummary {
                summary,
                received_at: now,
            },
        );
        summaries.retain(|_, t| now.since(t.received_at) < SUMMARY_TTL);
    }

    /// Demand for slots of a service in this data centre, from the unexpired summaries.
    pub fn demand(&self, service: &name::Service, now: clock::Millis) -> scale::Demand {
        let mut out = scale::Demand::default();
        for t in self.lock().values() {
            if t.summary.dc != self.dc || now.since(t.received_at) >= SUMMARY_TTL {
                continue;
            }
            for load in t.summary.services.iter().filter(|l| &l.service == service) {
                out.non_evictable += f64::from(load.non_evictable);
                out.evictable += f64::from(load.evictable);
            }
        }
        out
    }

    /// Dispatchers of a service in other data centres, also those with an expired summary that has
    /// not been dropped yet.
    pub fn remote_dispatchers(&self, service: &name::Service) -> Vec<RemoteDispatcher> {
        let mut out = Vec::new();
        for t in self.lock().values() {
            let summary = &t.summary;
            let load = summary.services.iter().find(|l| &l.service == service);
            let Some(load) = load.filter(|_| summary.dc != self.dc) else {
                continue;
            };
            let metered = summary.region != self.region;
            let one_way_delay = if metered {
                DELAY_BETWEEN_REGIONS
            } else {
                DELAY_WITHIN_REGION
            };
            let (free_slots, waiting) = (load.free_slots, load.waiting);
            out.push(RemoteDispatcher {
                host: summary.host.clone(),
                dc: summary.dc.clone(),
                address: summary.address,
                received_at: t.received_at,
                state: offload::Neighbour {
                    free_slots,
                    waiting,
                    one_way_delay,
                    metered,
                    reported_at: t.received_at,
                },
            });
        }
        out
    }
}
