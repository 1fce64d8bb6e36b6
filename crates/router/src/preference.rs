//! Which class each engine is reserved for, and which engine is preferred for a prompt prefix. Hosts
//! that know the same upstreams and the same digest agree on both.

use base::{clock, hash, name};
use policy::engine_classes;

use crate::{announcements, fleet, model, selection, stream_class, tracked};

impl fleet::Fleet {
    /// Sets the shares of a service's engines by class.
    pub fn set_shares(&mut self, service: &name::Service, shares: engine_classes::Shares) {
        let known = &mut self.services.entry(service.clone()).or_default().shares;
        if *known != shares {
            *known = shares;
            self.assign_classes(service);
        }
    }

    /// Reserves the ready engines of a service for stream classes. All hosts compute the same
    /// assignment, which spreads the engines of each class over the data centres.
    pub(crate) fn assign_classes(&mut self, service: &name::Service) {
        let Some(shares) = self.services.get(service).map(|s| s.shares) else {
            return;
        };
        let mut ranked: Vec<stream_class::RankedEngine> = self
            .of_service(service)
            .filter(|tracked| tracked.upstream.state == model::UpstreamState::Ready)
            .filter(|tracked| !self.is_drained(&tracked.upstream.dc))
            .map(|tracked| stream_class::RankedEngine {
                hash: tracked.name_hash(),
                dc: tracked.upstream.dc.clone(),
                name: tracked.upstream.name.clone(),
            })
            .collect();
        ranked.sort_unstable_by(|a, b| (a.hash, &a.dc, &a.name).cmp(&(b.hash, &b.dc, &b.name)));
        for (engine, class) in stream_class::assign_classes(ranked, &shares) {
            if let Some(tracked) = self.upstreams.get_mut(&engine.name) {
                tracked.stream_class = class;
            }
        }
    }

    fn has_said_leaving(&self, tracked: &tracked::TrackedUpstream, now: clock::Millis) -> bool {
        let process = tracked.process();
        let willingness = self.announcements.willingness(process, now);
        matches!(willingness, announcements::Willingness::Leaving(_))
    }

    /// Returns the upstream that is preferred for caching the prefix: the one with the highest
    /// rendezvous weight among ready and warm upstreams that may serve the request, of its class, or of
    /// any class if there are none. Hosts that know the same upstreams agree on it.
    pub(crate) fn preferred_upstream(
        &self,
        criteria: &selection::Criteria<'_>,
        prefix_id: u64,
        now: clock::Millis,
    ) -> Option<&name::Upstream> {
        let ready = || {
            self.of_service(criteria.service)
                .filter(|tracked| tracked.upstream.state == model::UpstreamState::Ready)
                .filter(|tracked| !self.has_said_leaving(tracked, now))
                .filter(|tracked| self.exclusion(criteria.homes, tracked).is_none())
                .filter(|tracked| !self.warm_up.is_cold(tracked.process(), now))
        };
        let rendezvous_weight = |tracked: &&tracked::TrackedUpstream| {
            hash::stable_hash(&(prefix_id ^ tracked.name_hash()).to_le_bytes())
        };
        let in_class = ready()
            .filter(|tracked| tracked.stream_class == criteria.stream_class)
            .max_by_key(rendezvous_weight);
        in_class
            .or_else(|| ready().max_by_key(rendezvous_weight))
            .map(|tracked| &tracked.upstream.name)
    }
}
