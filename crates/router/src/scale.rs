//! How many upstreams run: ordered by data centre from what callers ask for.

use std::collections;

use base::{clock, name};
use tokio::time;

use crate::{host, leader, membership, model, ports};

/// How often the demand is looked at.
const LOOK_EVERY: clock::Millis = clock::Millis(1_000);
/// After this time an order that stands is sent again.
const REPEAT_AFTER: clock::Millis = clock::Millis(12_000);
/// How long cheap upstreams are not asked for after none were to be had.
const DRY: clock::Millis = clock::Millis(3_000);
/// Tokens of prompts that one engine reads a second beside its other work.
const READ_PER_S: f64 = 25_000.0;
/// Requests that one engine runs at once without delaying their tokens.
const BUSY: f64 = 10.0;
/// Engines kept for each one needed: bursts come faster than engines start, and cheap ones of a
/// data centre go all at once.
const HEADROOM: f64 = 1.5;
/// The most that firm engines may add to those needed while cheap ones are not to be had.
const FIRM_HEADROOM: f64 = 1.1;
/// How long a smaller number must have been enough before upstreams are stopped.
const SETTLE: clock::Millis = clock::Millis(5_000);
/// What is left of a surplus after each look.
const SURPLUS_LEFT: f64 = 0.7;
/// How long fewer firm engines must have been enough before some are stopped.
const SETTLE_FIRM: clock::Millis = clock::Millis(2_500);
/// The key of what the operators provided.
const KEY: &str = "jacinthslip/provided";
/// How long the first holder of the duties looks before its first order.
const LOOK_FIRST: clock::Millis = clock::Millis(2_500);
/// How long after the first look firm engines that were not ordered may show up.
const LATE_COMERS: clock::Millis = clock::Millis(6_000);
/// How much longer than engines take to start those ordered count that do not run yet.
const START_SLACK: clock::Millis = clock::Millis(2_000);

/// The upstreams of a service in one data centre.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct UpstreamCount {
    /// Ready ones that stay.
    pub on_demand: u32,
    /// Ready ones that may be reclaimed.
    pub preemptible: u32,
}

/// What is remembered of a service in one data centre.
#[derive(Debug, Default)]
struct Site {
    last_orders: collections::HashMap<bool, (u32, clock::Millis)>,
    starting: u32,
    starting_since: clock::Millis,
    unavailable_until: clock::Millis,
}

/// Decides orders for one service.
#[derive(Debug, Default)]
pub struct Scaler {
    dcs: collections::BTreeMap<name::Dc, Site>,
    provisioned: f64,
    target: f64,
    sufficient_since: clock::Millis,
    observed_since: Option<clock::Millis>,
    on_demand: u32,
    on_demand_since: clock::Millis,
}

impl Scaler {
    /// Engines that a demand needs.
    pub fn engines_needed(demand: &membership::Demand) -> f64 {
        (demand.prompt_tokens / READ_PER_S).max(demand.in_flight / BUSY)
    }

    /// A scaler that knows what was provided.
    pub fn with_provisioned(engines: f64) -> Self {
        Self {
            provisioned: engines,
            observed_since: Some(clock::Millis::ZERO),
            ..Self::default()
        }
    }

    /// Looks at what the operators provided, for the demand that they expect; returns whether
    /// it has looked for long enough. Firm engines that show up late count as provided too.
    fn observe_provisioned(&mut self, firm: f64, now: clock::Millis) -> bool {
        let begun = *self.observed_since.get_or_insert(now);
        if now.since(begun) < LATE_COMERS {
            self.provisioned = self.provisioned.max(firm);
        }
        now.since(begun) >= LOOK_FIRST
    }

    /// Engines needed: more at once, fewer only after a while, and never fewer than provided.
    fn smooth_target(&mut self, need: f64, now: clock::Millis) -> f64 {
        let need = need.max(self.provisioned);
        if need >= self.target {
            self.target = need;
            self.sufficient_since = now;
        } else if now.since(self.sufficient_since) >= SETTLE {
            self.target = need + (self.target - need) * SURPLUS_LEFT;
        }
        self.target
    }

    /// Engines needed now; `None` while it still looks.
    pub fn target_engines(
        &mut self,
        running: &collections::BTreeMap<name::Dc, UpstreamCount>,
        demand: &membership::Demand,
        now: clock::Millis,
    ) -> Option<f64> {
        let firm: u32 = running.values().map(|r| r.on_demand).sum();
        if !self.observe_provisioned(f64::from(firm), now) {
            return None;
        }
        Some(self.smooth_target(Self::engines_needed(demand), now))
    }

    /// The orders for cheap engines: as many as are needed, and headroom, spread evenly.
    pub fn plan_preemptible(
        &mut self,
        service: &name::Service,
        scaling: &model::Scaling,
        need: f64,
        now: clock::Millis,
    ) -> Vec<ports::Order> {
        let mut orders = Vec::new();
        if scaling.preemptible_price.is_none() {
            return orders;
        }
        let dcs = by_price(scaling);
        let each = (need * HEADROOM / dcs.len().max(1) as f64).ceil() as u32;
        let each = each.clamp(scaling.min.max(1), scaling.max);
        for (i, dc) in dcs.iter().enumerate() {
            let count = each - floor(i).min(each);
            let site = self.dcs.entry((*dc).clone()).or_default();
            if now < site.unavailable_until || !site.is_due(true, count, now) {
                continue;
            }
            orders.push(ports::Order {
                service: service.clone(),
                dc: (*dc).clone(),
                count,
                preemptible: true,
            });
        }
        orders
    }

    /// The orders for firm engines: what cheap ones leave open, where it costs least.
    pub fn plan_on_demand(
        &mut self,
        service: &name::Service,
        scaling: &model::Scaling,
        running: &collections::BTreeMap<name::Dc, UpstreamCount>,
        demand: &membership::Demand,
        need: f64,
        now: clock::Millis,
    ) -> Vec<ports::Order> {
        let dcs = by_price(scaling);
        let cheap = |dc: &name::Dc| running.get(dc).map_or(0, |r| r.preemptible);
        let there: u32 = dcs.iter().map(|dc| cheap(dc)).sum();
        let starting = scaling.startup_time + START_SLACK;
        let coming: u32 = self.dcs.values().map(|s| s.starting(now, starting)).sum();
        let want = (need * FIRM_HEADROOM).ceil() as u32;
        let least = want.saturating_sub(there + coming).max(floor(0));
        // Those that only start do not replace any, but while nobody asks for anything.
        let most = if demand.in_flight == 0.0 {
            least
        } else {
            want.saturating_sub(there).max(floor(0))
        };
        if self.on_demand == 0 {
            self.on_demand = running.values().map(|r| r.on_demand).sum();
        }
        let mut firm = self.smooth_on_demand(least, most, now);
        let mut orders = Vec::new();
        for (i, dc) in dcs.iter().enumerate() {
            let room = scaling.max.saturating_sub(cheap(dc)).max(floor(i));
            let even = firm.div_ceil((dcs.len() - i) as u32);
            let count = even.min(room);
            firm -= count;
            let site = self.dcs.entry((*dc).clone()).or_default();
            if site.is_due(false, count, now) {
                orders.push(ports::Order {
                    service: service.clone(),
                    dc: (*dc).clone(),
                    count,
                    preemptible: false,
                });
            }
        }
        orders
    }

    /// Firm engines: as many as `least` at once, no more than `most` after a while.
    fn smooth_on_demand(&mut self, least: u32, most: u32, now: clock::Millis) -> u32 {
        if self.on_demand < least {
            self.on_demand = least;
            self.on_demand_since = now;
        } else if self.on_demand <= most {
            self.on_demand_since = now;
        } else if now.since(self.on_demand_since) >= SETTLE_FIRM {
            self.on_demand = most;
        }
        self.on_demand
    }

    /// Notes what came of an order.
    pub fn record_result(
        &mut self,
        order: &ports::Order,
        running: UpstreamCount,
        result: Result<(), ports::OrderError>,
        now: clock::Millis,
    ) {
        let site = self.dcs.entry(order.dc.clone()).or_default();
        match result {
            Ok(()) if order.preemptible => {
                let before = site.last_orders.insert(true, (order.count, now));
                if before.is_none_or(|(n, _)| n < order.count) {
                    site.starting = order.count.saturating_sub(running.preemptible);
                    site.starting_since = now;
                }
            }
            Ok(()) | Err(ports::OrderError::Rejected(_)) => {
                site.last_orders
                    .insert(order.preemptible, (order.count, now));
            }
            Err(ports::OrderError::NoneLeft) => {
                site.unavailable_until = now + DRY;
                site.last_orders.remove(&order.preemptible);
            }
            Err(_) => {
                site.last_orders.remove(&order.preemptible);
            }
        }
    }
}

impl Site {
    /// Cheap engines that were ordered just now and don't run yet.
    fn starting(&self, now: clock::Millis, starting: clock::Millis) -> u32 {
        if now.since(self.starting_since) < starting {
            return self.starting;
        }
        0
    }

    fn is_due(&self, cheap: bool, count: u32, now: clock::Millis) -> bool {
        match self.last_orders.get(&cheap) {
            Some((ordered, at)) => *ordered != count || now.since(*at) >= REPEAT_AFTER,
            None => true,
        }
    }
}

/// Firm engines that stay whatever runs, in the data centre that is the `i`th by price: for when
/// all cheap ones are reclaimed.
fn floor(i: usize) -> u32 {
    u32::from(i == 0)
}

fn by_price(scaling: &model::Scaling) -> Vec<&name::Dc> {
    let mut dcs: Vec<(&name::Dc, f64)> = scaling
        .on_demand_prices
        .iter()
        .map(|(d, p)| (d, *p))
        .collect();
    dcs.sort_by(|a, b| a.1.total_cmp(&b.1));
    dcs.into_iter().map(|(dc, _)| dc).collect()
}

/// Orders upstreams while the duties are held.
pub async fn run(host: &host::Host, tenure: &leader::Leadership) {
    let mut known = load(host).await;
    let mut scalers: collections::HashMap<name::Service, Scaler> = known
        .iter()
        .map(|(s, n)| (s.clone(), Scaler::with_provisioned(*n)))
        .collect();
    loop {
        time::sleep(LOOK_EVERY.duration()).await;
        let Some(config) = host.current_config() else {
            continue;
        };
        for service in config.services.values() {
            let Some(scaling) = &service.scaling else {
                continue;
            };
            let scaler = scalers.entry(service.name.clone()).or_default();
            let demand = host.membership.borrow().demand(&service.name, host.now());
            let running = running(host, &service.name);
            let Some(need) = scaler.target_engines(&running, &demand, host.now()) else {
                continue;
            };
            if known.get(&service.name) != Some(&scaler.provisioned) {
                known.insert(service.name.clone(), scaler.provisioned);
                save(host, &known).await;
            }
            let orders = scaler.plan_preemptible(&service.name, scaling, need, host.now());
            send(host, tenure, scaler, &orders, &running, &demand).await;
            let now = host.now();
            let orders =
                scaler.plan_on_demand(&service.name, scaling, &running, &demand, need, now);
            send(host, tenure, scaler, &orders, &running, &demand).await;
        }
    }
}

/// Engines that the operators provided, by service, as an earlier holder saw it.
type Provided = collections::BTreeMap<name::Service, f64>;

async fn load(host: &host::Host) -> Provided {
    loop {
        match host.store.get(KEY).await {
            Ok((None, _)) => return Provided::new(),
            Ok((Some(item), _)) => {
                return serde_json::from_slice(&item.value).unwrap_or_else(|e| {
                    tracing::error!(event = "provided_unreadable", error = %e);
                    Provided::new()
                });
            }
            Err(_) => time::sleep(LOOK_EVERY.duration()).await,
        }
    }
}

/// Writes it once; if that fails, the next holder looks for itself.
async fn save(host: &host::Host, known: &Provided) {
    let Ok(value) = serde_json::to_vec(known) else {
        return;
    };
    let t = ports::Transaction {
        writes: vec![ports::Write {
            key: KEY.to_owned(),
            value,
            lease: 0,
        }],
        ..ports::Transaction::default()
    };
    if let Err(e) = host.store.commit(&t).await {
        tracing::warn!(event = "provided_not_saved", error = e.as_str());
    }
}

async fn send(
    host: &host::Host,
    tenure: &leader::Leadership,
    scaler: &mut Scaler,
    orders: &[ports::Order],
    running: &collections::BTreeMap<name::Dc, UpstreamCount>,
    demand: &membership::Demand,
) {
    for order in orders {
        let result = host.orders.scale(tenure.term(), order).await;
        log(order, demand, tenure.token, result);
        let running = running.get(&order.dc).copied().unwrap_or_default();
        scaler.record_result(order, running, result, host.now());
    }
}

fn log(
    order: &ports::Order,
    demand: &membership::Demand,
    token: u64,
    result: Result<(), ports::OrderError>,
) {
    tracing::info!(
        event = "upstreams_ordered",
        service = %order.service,
        dc = %order.dc,
        count = order.count,
        cheap = order.preemptible,
        token,
        read_per_s = demand.prompt_tokens as u64,
        busy = demand.in_flight as u64,
        result = ?result,
    );
}

fn running(
    host: &host::Host,
    service: &name::Service,
) -> collections::BTreeMap<name::Dc, UpstreamCount> {
    let mut out: collections::BTreeMap<name::Dc, UpstreamCount> = collections::BTreeMap::new();
    let fleet = host.fleet.borrow();
    for m in fleet.of_service(service) {
        if m.upstream.state != model::UpstreamState::Ready {
            continue;
        }
        let there = out.entry(m.upstream.dc.clone()).or_default();
        if m.upstream.preemptible {
            there.preemptible += 1;
        } else {
            there.on_demand += 1;
        }
    }
    out
}
