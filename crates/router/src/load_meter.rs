//! Load of this host's requests by class, counted for the reports to the leader.

use std::collections;

use base::{clock, name};

use crate::{digest, fleet, stream_class};

/// Load of one service in the current period.
#[derive(Debug, Default)]
struct ServiceMeter {
    classes: [digest::ClassLoad; stream_class::StreamClass::ALL.len()],
}

/// Counts requests at upstreams by service and class.
#[derive(Debug, Default)]
pub struct LoadMeter {
    services: collections::BTreeMap<name::Service, ServiceMeter>,
    reported_at: clock::Millis,
}

impl LoadMeter {
    fn service(&mut self, service: &name::Service) -> &mut ServiceMeter {
        // Most calls find the service, and then need no copy of its name.
        if !self.services.contains_key(service) {
            self.services
                .insert(service.clone(), ServiceMeter::default());
        }
        let meter = self.services.get_mut(service);
        meter.unwrap_or_else(|| unreachable!("inserted above"))
    }

    /// Records a request that is sent to an upstream, which has to process `unread_tokens` of it.
    pub fn record_sent(
        &mut self,
        service: &name::Service,
        class: stream_class::StreamClass,
        unread_tokens: u64,
    ) {
        let load = &mut self.service(service).classes[class as usize];
        load.requests = load.requests.saturating_add(1);
        load.prompt_tokens = load.prompt_tokens.saturating_add(unread_tokens);
        load.running += 1;
    }

    /// Records that a request at an upstream has ended.
    pub fn record_end(&mut self, service: &name::Service, class: stream_class::StreamClass) {
        let load = &mut self.service(service).classes[class as usize];
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
        for (service, meter) in &mut self.services {
            services.push(digest::ServiceLoad {
                service: service.clone(),
                classes: meter.classes,
                dcs: load_by_dc(fleet, service),
            });
            for class in &mut meter.classes {
                class.requests = 0;
                class.prompt_tokens = 0;
            }
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
