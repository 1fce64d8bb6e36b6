//! Which class each engine is reserved for, and which engine is preferred for a prompt prefix. Hosts
//! that know the same upstreams and the same digest agree on both.

use base::{clock, hash, name};
use policy::engine_classes;

use crate::{announcements, digest, fleet, model, selection, stream_class, tracked};

/// What the leader's digest says of the engines of a service.
#[derive(Debug)]
pub(crate) struct Figures {
    shares: engine_classes::Shares,
    /// Speeds of the slow engines in percent of the others'.
    speeds: Vec<(u32, u8)>,
}

impl Default for Figures {
    fn default() -> Self {
        Self {
            shares: engine_classes::DEFAULT_SHARES,
            speeds: Vec::new(),
        }
    }
}

impl Figures {
    fn speed_percent(&self, name: &name::Upstream) -> u8 {
        let id = digest::engine_id(name);
        let known = self.speeds.iter().find(|(engine, _)| *engine == id);
        known.map_or(tracked::USUAL_SPEED_PERCENT, |(_, percent)| *percent)
    }
}

impl fleet::Fleet {
    /// Sets the shares of a service's engines by class, and the speeds in percent of the slow ones.
    pub fn set_figures(
        &mut self,
        service: &name::Service,
        shares: engine_classes::Shares,
        speeds: Vec<(u32, u8)>,
    ) {
        let entry = self.services.entry(service.clone()).or_default();
        let figures = &mut entry.figures;
        if figures.shares == shares && figures.speeds == speeds {
            return;
        }
        figures.shares = shares;
        figures.speeds = speeds;
        self.assign_classes(service);
    }

    /// Reserves the ready engines of a service for stream classes. All hosts compute the same
    /// assignment, which spreads the engines of each class over the data centres.
    pub(crate) fn assign_classes(&mut self, service: &name::Service) {
        let Some(figures) = self.services.get(service).map(|s| &s.figures) else {
            return;
        };
        let shares = figures.shares;
        let mut ranked: Vec<stream_class::RankedEngine> = self
            .of_service(service)
            .filter(|tracked| tracked.upstream.state == model::UpstreamState::Ready)
            .filter(|tracked| !self.is_drained(&tracked.upstream.dc))
            .map(|tracked| stream_class::RankedEngine {
                speed_percent: figures.speed_percent(&tracked.upstream.name),
                hash: tracked.name_hash(),
                dc: tracked.upstream.dc.clone(),
                name: tracked.upstream.name.clone(),
            })
            .collect();
        ranked.sort_unstable_by(|a, b| (a.hash, &a.dc, &a.name).cmp(&(b.hash, &b.dc, &b.name)));
        for (engine, class) in stream_class::assign_classes(ranked, &shares) {
            if let Some(tracked) = self.upstreams.get_mut(&engine.name) {
                tracked.stream_class = class;
                let factor = f64::from(engine.speed_percent) / f64::from(tracked.speed_percent);
                tracked.slowdown.rescale(factor);
                tracked.speed_percent = engine.speed_percent;
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
        // Weighted rendezvous hashing: of engines with the same speed, the one with the highest hash;
        // others get prefixes in proportion to their speed.
        let weight = |tracked: &tracked::TrackedUpstream| {
            let hash = hash::stable_hash(&(prefix_id ^ tracked.name_hash()).to_le_bytes());
            let fraction = ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
            -tracked.speed() / fraction.ln()
        };
        let heaviest = |is_candidate: &dyn Fn(&tracked::TrackedUpstream) -> bool| {
            let candidates = ready().filter(|tracked| is_candidate(tracked));
            let weighted = candidates.map(|tracked| (weight(tracked), tracked));
            weighted.max_by(|a, b| a.0.total_cmp(&b.0))
        };
        heaviest(&|tracked| tracked.stream_class == criteria.stream_class)
            .or_else(|| heaviest(&|_| true))
            .map(|(_, tracked)| &tracked.upstream.name)
    }
}
