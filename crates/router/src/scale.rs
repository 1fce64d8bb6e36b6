//! How many upstreams run: ordered by data centre from what callers ask for.

use std::collections;

use base::{clock, name};
use tokio::time;

use crate::{duty, host, model, ports, roster};

/// How often the demand is looked at.
const LOOK_EVERY: clock::Millis = clock::Millis(1_000);
/// After this time an order that stands is sent again.
const REPEAT_AFTER: clock::Millis = clock::Millis(12_000);
/// How long cheap upstreams are not asked for after none were to be had.
const DRY: clock::Millis = clock::Millis(3_000);
/// Tokens of prompts that one engine reads a second beside its other work.
const READ_PER_S: f64 = 40_000.0;
/// Requests that one engine runs at once without delaying their tokens.
const BUSY: f64 = 24.0;
/// Engines wanted besides, for bursts that come faster than engines start.
const SPARE: f64 = 1.0;
/// Upstreams kept in each data centre where cheap ones are to be had: they cost little and
/// bursts come faster than engines start.
const CHEAP_EACH: u32 = 4;
/// How long a smaller number must have been enough before upstreams are stopped.
const SETTLE: clock::Millis = clock::Millis(8_000);

/// The upstreams of a service in one data centre.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Running {
    /// Ready ones that stay.
    pub firm: u32,
    /// Ready ones that may be reclaimed.
    pub cheap: u32,
}

/// What is remembered of a service in one data centre.
#[derive(Debug, Default)]
struct Site {
    ordered: collections::HashMap<bool, (u32, clock::Millis)>,
    dry: clock::Millis,
}

/// Decides orders for one service.
#[derive(Debug, Default)]
pub struct Scaler {
    sites: collections::BTreeMap<name::Dc, Site>,
    wanted: u32,
    enough_since: clock::Millis,
}

impl Scaler {
    /// Engines that a demand needs.
    pub fn need(demand: &roster::Demand) -> f64 {
        let load = (demand.read / READ_PER_S).max(demand.busy / BUSY);
        load + SPARE
    }

    /// Engines wanted: more at once, fewer only after a while.
    fn settle(&mut self, need: f64, now: clock::Millis) -> u32 {
        let need = need.ceil() as u32;
        if need >= self.wanted {
            self.wanted = need;
            self.enough_since = now;
        } else if now.since(self.enough_since) >= SETTLE {
            self.wanted -= 1;
        }
        self.wanted
    }

    /// The orders to send now.
    pub fn plan(
        &mut self,
        service: &name::Service,
        scaling: &model::Scaling,
        running: &collections::BTreeMap<name::Dc, Running>,
        demand: &roster::Demand,
        now: clock::Millis,
    ) -> Vec<ports::Order> {
        let dcs: Vec<&name::Dc> = scaling.prices.keys().collect();
        let wanted = self.settle(Self::need(demand), now);
        let each = wanted.div_ceil(dcs.len().max(1) as u32);
        let least = if scaling.cheap.is_some() {
            CHEAP_EACH
        } else {
            1
        };
        let each = each.max(least).clamp(scaling.min.max(1), scaling.max);
        let mut orders = Vec::new();
        for dc in dcs {
            let there = running.get(dc).copied().unwrap_or_default();
            let site = self.sites.entry(dc.clone()).or_default();
            let floor = scaling.min.max(1).min(each);
            let to_be_had = scaling.cheap.is_some() && now >= site.dry;
            let cheap = if to_be_had { each - floor } else { 0 };
            let firm = each.saturating_sub(there.cheap).max(floor);
            for (kind, count) in [(true, cheap), (false, firm)] {
                if site.is_due(kind, count, now) {
                    orders.push(ports::Order {
                        service: service.clone(),
                        dc: dc.clone(),
                        count,
                        cheap: kind,
                    });
                }
            }
        }
        orders
    }

    /// Notes what came of an order.
    pub fn done(
        &mut self,
        order: &ports::Order,
        result: Result<(), ports::OrderError>,
        now: clock::Millis,
    ) {
        let site = self.sites.entry(order.dc.clone()).or_default();
        match result {
            Ok(()) | Err(ports::OrderError::Rejected(_)) => {
                site.ordered.insert(order.cheap, (order.count, now));
            }
            Err(ports::OrderError::NoneLeft) => {
                site.dry = now + DRY;
                site.ordered.remove(&order.cheap);
            }
            Err(_) => {
                site.ordered.remove(&order.cheap);
            }
        }
    }
}

impl Site {
    fn is_due(&self, cheap: bool, count: u32, now: clock::Millis) -> bool {
        match self.ordered.get(&cheap) {
            Some((ordered, at)) => *ordered != count || now.since(*at) >= REPEAT_AFTER,
            None => count > 0,
        }
    }
}

/// Orders upstreams while the duties are held.
pub async fn run(host: &host::Host, tenure: &duty::Tenure) {
    let mut scalers: collections::HashMap<name::Service, Scaler> = collections::HashMap::new();
    loop {
        time::sleep(LOOK_EVERY.duration()).await;
        let Some(config) = host.current() else {
            continue;
        };
        if let Ok((items, _)) = host.store.list(roster::PREFIX, true).await {
            let now = host.now();
            host.roster.borrow_mut().read(items, now);
        }
        for service in config.services.values() {
            let Some(scaling) = &service.scaling else {
                continue;
            };
            let scaler = scalers.entry(service.name.clone()).or_default();
            let demand = demand(host, &service.name);
            let running = running(host, &service.name);
            let orders = scaler.plan(&service.name, scaling, &running, &demand, host.now());
            for order in orders {
                let result = host.orders.scale(tenure.term(), &order).await;
                log(&order, &demand, tenure.token, result);
                scaler.done(&order, result, host.now());
            }
        }
    }
}

fn log(
    order: &ports::Order,
    demand: &roster::Demand,
    token: u64,
    result: Result<(), ports::OrderError>,
) {
    tracing::info!(
        event = "upstreams_ordered",
        service = %order.service,
        dc = %order.dc,
        count = order.count,
        cheap = order.cheap,
        token,
        read_per_s = demand.read as u64,
        busy = demand.busy as u64,
        result = ?result,
    );
}

fn demand(host: &host::Host, service: &name::Service) -> roster::Demand {
    let mut sum = roster::Demand::default();
    let roster = host.roster.borrow();
    for entry in roster.entries(host.now()) {
        if let Some(d) = entry.demand.get(service) {
            sum.add(d);
        }
    }
    sum
}

fn running(host: &host::Host, service: &name::Service) -> collections::BTreeMap<name::Dc, Running> {
    let mut out: collections::BTreeMap<name::Dc, Running> = collections::BTreeMap::new();
    let fleet = host.fleet.borrow();
    for m in fleet.of(service) {
        if m.upstream.state != model::State::Ready {
            continue;
        }
        let there = out.entry(m.upstream.dc.clone()).or_default();
        if m.upstream.cheap {
            there.cheap += 1;
        } else {
            there.firm += 1;
        }
    }
    out
}
