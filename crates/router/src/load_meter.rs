//! Load of this host's requests by class, counted for the reports to the leader.

use std::collections;

use base::{clock, name};

use crate::{digest, fleet, stream_class};

type ClassLoads = [digest::ClassLoad; stream_class::StreamClass::ALL.len()];

/// Counts requests at upstreams by service and class.
#[derive(Debug, Default)]
pub struct LoadMeter {
    services: collections::BTreeMap<name::Service, ClassLoads>,
    reported_at: clock::Millis,
}

impl LoadMeter {
    fn class(
        &mut self,
        service: &name::Service,
        class: stream_class::StreamClass,
    ) -> &mut digest::ClassLoad {
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), ClassLoads::default());
        }
        let loads = self.services.get_mut(service);
        &mut loads.unwrap_or_else(|| unreachable!("inserted above"))[class as usize]
    }

    /// Records a request that is sent to an upstream, which has to process `unread_tokens` of it.
    pub fn record_sent(
        &mut self,
        service: &name::Service,
        class: stream_class::StreamClass,
        unread_tokens: u64,
    ) {
        let load = self.class(service, class);
        load.requests = load.requests.saturating_add(1);
        load.prompt_tokens = load.prompt_tokens.saturating_add(unread_tokens);
        load.running += 1;
    }

    /// Records that a request at an upstream has ended.
    pub fn record_end(&mut self, service: &name::Service, class: stream_class::StreamClass) {
        let load = self.class(service, class);
        load.running = load.running.saturating_sub(1);
    }

    /// Ends the reported period and returns its length and the load of each service in it.
    pub fn report(
        &mut self,
        fleet: &fleet::Fleet,
        now: clock::Millis,
    ) -> (clock::Millis, Vec<digest::ServiceLoad>) {
        let period = now.since(self.reported_at);
        self.reported_at = now;
        let mut services = Vec::with_capacity(self.services.len());
        for (service, classes) in &mut self.services {
            let load = digest::ServiceLoad {
                service: service.clone(),
                classes: *classes,
                dcs: load_by_dc(fleet, service),
                gaps: Vec::new(),
                reading_rates: Default::default(),
            };
            for class in classes {
                class.requests = 0;
                class.prompt_tokens = 0;
            }
            services.push(load);
        }
        (period, services)
    }
}

fn load_by_dc(fleet: &fleet::Fleet, service: &name::Service) -> Vec<(name::Dc, digest::DcLoad)> {
    let mut dcs: collections::BTreeMap<name::Dc, digest::DcLoad> = collections::BTreeMap::new();
    for tracked in fleet.of_service(service) {
        if tracked.in_flight == 0 && tracked.unread_tokens == 0 {
            continue;
        }
        let dc = dcs.entry(tracked.upstream.dc.clone()).or_default();
        dc.running += tracked.in_flight;
        dc.unread_tokens += tracked.unread_tokens;
    }
    dcs.into_iter().collect()
}
