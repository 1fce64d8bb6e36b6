//! Scaling: orders upstreams per data centre according to the demand of clients.

use std::collections;

use base::{clock, name};
use tokio::time;

use crate::{host, leader, membership, model, order_scope, ports};

/// Interval between scaling decisions.
const PLAN_INTERVAL: clock::Millis = clock::Millis(1_000);
/// Time after which an unchanged order is sent again.
const REORDER_INTERVAL: clock::Millis = clock::Millis(12_000);
/// How long no preemptible upstreams are ordered in a data centre after none were available.
const UNAVAILABLE_RETRY_DELAY: clock::Millis = clock::Millis(3_000);
/// Prompt tokens that one engine processes per second beside its other work.
const ENGINE_PREFILL_TOKENS_PER_S: f64 = 25_000.0;
/// Requests that one engine can run at once without delaying their tokens.
const ENGINE_CONCURRENT_REQUESTS: f64 = 10.0;
/// Preemptible engines ordered per engine needed. Bursts arrive faster than engines start, and
/// the preemptible engines of a data centre are reclaimed all at once.
const PREEMPTIBLE_HEADROOM: f64 = 1.5;
/// Total engines per engine needed that on-demand engines are ordered to reach when preemptible
/// ones are not available.
const ON_DEMAND_HEADROOM: f64 = 1.1;
/// How long a lower number of engines must suffice before the target is reduced.
const SCALE_DOWN_DELAY: clock::Millis = clock::Millis(5_000);
/// Share of the surplus over the need that each reduction of the target keeps.
const SURPLUS_KEPT_SHARE: f64 = 0.7;
/// How long fewer on-demand engines must suffice before some are stopped.
const ON_DEMAND_SCALE_DOWN_DELAY: clock::Millis = clock::Millis(2_500);
/// Store key of the numbers of engines that operators provisioned.
const PROVISIONED_KEY: &str = "jacinthslip/provided";
/// How long the first leader observes ready engines before its first order.
const OBSERVATION_PERIOD: clock::Millis = clock::Millis(2_500);
/// How long after the start of the observation ready on-demand engines count as provisioned.
const LATE_START_PERIOD: clock::Millis = clock::Millis(6_000);
/// Time beyond the usual startup time in which ordered engines that are not ready still count.
const STARTUP_MARGIN: clock::Millis = clock::Millis(2_000);

/// Numbers of ready upstreams of a service in one data centre.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct UpstreamCount {
    /// Ready upstreams that the platform does not reclaim.
    pub on_demand: u32,
    /// Ready upstreams that the platform may reclaim at short notice.
    pub preemptible: u32,
}

/// Scaling state of a service in one data centre.
#[derive(Debug, Default)]
struct DcState {
    /// Count and time of the latest order that was accepted or rejected permanently, for
    /// preemptible (`true`) and on-demand (`false`) engines.
    last_orders: collections::HashMap<bool, (u32, clock::Millis)>,
    /// Preemptible engines that were ordered and were not ready at the time of the order.
    starting: u32,
    starting_since: clock::Millis,
    /// When preemptible engines may be ordered again after none were available.
    unavailable_until: clock::Millis,
}

/// Computes the orders for one service.
#[derive(Debug, Default)]
pub struct Scaler {
    dcs: collections::BTreeMap<name::Dc, DcState>,
    /// Engines that operators provisioned; the target never falls below it.
    provisioned: f64,
    /// Number of engines needed, smoothed over time.
    target: f64,
    /// When the need last reached `target`.
    sufficient_since: clock::Millis,
    /// When the observation of provisioned engines started; `None` before the first observation.
    observed_since: Option<clock::Millis>,
    /// On-demand engines to order in all data centres.
    on_demand: u32,
    /// When `on_demand` was last required.
    on_demand_since: clock::Millis,
}

impl Scaler {
    /// Number of engines needed for a demand, not rounded.
    pub fn engines_needed(demand: &membership::Demand) -> f64 {
        (demand.prompt_tokens / ENGINE_PREFILL_TOKENS_PER_S)
            .max(demand.in_flight / ENGINE_CONCURRENT_REQUESTS)
    }

    /// Creates a scaler with a known number of provisioned engines, which skips the observation.
    pub fn with_provisioned(engines: f64) -> Self {
        Self {
            provisioned: engines,
            observed_since: Some(clock::Millis::ZERO),
            ..Self::default()
        }
    }

    /// Observes the engines that operators provisioned for the demand that they expect. On-demand
    /// engines that become ready late count as well. Returns whether the
    /// observation has lasted long enough to place orders.
    fn observe_provisioned(&mut self, on_demand: f64, now: clock::Millis) -> bool {
        let observed_since = *self.observed_since.get_or_insert(now);
        if now.since(observed_since) < LATE_START_PERIOD {
            self.provisioned = self.provisioned.max(on_demand);
        }
        now.since(observed_since) >= OBSERVATION_PERIOD
    }

    /// Updates the target: increases at once, decreases after a delay, never below the provisioned
    /// engines.
    fn smooth_target(&mut self, needed: f64, now: clock::Millis) -> f64 {
        let needed = needed.max(self.provisioned);
        if needed >= self.target {
            self.target = needed;
            self.sufficient_since = now;
        } else if now.since(self.sufficient_since) >= SCALE_DOWN_DELAY {
            self.target = needed + (self.target - needed) * SURPLUS_KEPT_SHARE;
        }
        self.target
    }

    /// Returns the number of engines to aim for; `None` during the initial observation.
    pub fn target_engines(
        &mut self,
        ready: &collections::BTreeMap<name::Dc, UpstreamCount>,
        demand: &membership::Demand,
        now: clock::Millis,
    ) -> Option<f64> {
        let on_demand: u32 = ready.values().map(|r| r.on_demand).sum();
        if !self.observe_provisioned(f64::from(on_demand), now) {
            return None;
        }
        Some(self.smooth_target(Self::engines_needed(demand), now))
    }

    /// Plans the orders for preemptible engines: the target plus headroom, spread evenly over the
    /// data centres.
    pub fn plan_preemptible(
        &mut self,
        service: &name::Service,
        scaling: &model::Scaling,
        target: f64,
        now: clock::Millis,
    ) -> Vec<ports::Order> {
        let mut orders = Vec::new();
        if scaling.preemptible_price.is_none() {
            return orders;
        }
        let dcs = dcs_by_price(scaling);
        let per_dc = (target * PREEMPTIBLE_HEADROOM / dcs.len().max(1) as f64).ceil() as u32;
        let per_dc = per_dc.max(scaling.min.max(1)).min(scaling.max);
        for (price_rank, dc) in dcs.iter().enumerate() {
            let count = per_dc - min_on_demand(price_rank).min(per_dc);
            let dc_state = self.dcs.entry((*dc).clone()).or_default();
            if now < dc_state.unavailable_until || !dc_state.is_due(true, count, now) {
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

    /// Plans the orders for on-demand engines, which cover what preemptible ones do not. Cheaper
    /// data centres get the remainder of an uneven division.
    pub fn plan_on_demand(
        &mut self,
        service: &name::Service,
        scaling: &model::Scaling,
        ready: &collections::BTreeMap<name::Dc, UpstreamCount>,
        demand: &membership::Demand,
        target: f64,
        now: clock::Millis,
    ) -> Vec<ports::Order> {
        let dcs = dcs_by_price(scaling);
        let preemptible = |dc: &name::Dc| ready.get(dc).map_or(0, |r| r.preemptible);
        let ready_preemptible = saturating_sum(dcs.iter().map(|dc| preemptible(dc)));
        let startup_period = scaling.startup_time + STARTUP_MARGIN;
        // Engines that start where nothing may be ordered replace no others.
        let starting = dcs.iter().filter_map(|dc| self.dcs.get(*dc));
        let starting_preemptible =
            saturating_sum(starting.map(|s| s.starting(now, startup_period)));
        let wanted = (target * ON_DEMAND_HEADROOM).ceil() as u32;
        let min = wanted
            .saturating_sub(ready_preemptible.saturating_add(starting_preemptible))
            .max(min_on_demand(0));
        // Preemptible engines that are still starting replace on-demand ones only while there are
        // no requests.
        let max = if demand.in_flight == 0.0 {
            min
        } else {
            wanted
                .saturating_sub(ready_preemptible)
                .max(min_on_demand(0))
        };
        if self.on_demand == 0 {
            self.on_demand = ready.values().map(|r| r.on_demand).sum();
        }
        let mut on_demand = self.smooth_on_demand(min, max, now);
        let mut orders = Vec::new();
        for (price_rank, dc) in dcs.iter().enumerate() {
            let capacity = scaling
                .max
                .saturating_sub(preemptible(dc))
                .max(min_on_demand(price_rank))
                .min(scaling.max);
            let even_share = on_demand.div_ceil((dcs.len() - price_rank) as u32);
            let count = even_share.min(capacity);
            on_demand -= count;
            let dc_state = self.dcs.entry((*dc).clone()).or_default();
            if dc_state.is_due(false, count, now) {
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

    /// Updates the number of on-demand engines: raised to `min` at once, lowered to `max` after a
    /// delay.
    fn smooth_on_demand(&mut self, min: u32, max: u32, now: clock::Millis) -> u32 {
        if self.on_demand < min {
            self.on_demand = min;
            self.on_demand_since = now;
        } else if self.on_demand <= max {
            self.on_demand_since = now;
        } else if now.since(self.on_demand_since) >= ON_DEMAND_SCALE_DOWN_DELAY {
            self.on_demand = max;
        }
        self.on_demand
    }

    /// Records the result of an order.
    pub fn record_result(
        &mut self,
        order: &ports::Order,
        ready: UpstreamCount,
        result: Result<(), ports::OrderError>,
        now: clock::Millis,
    ) {
        let dc_state = self.dcs.entry(order.dc.clone()).or_default();
        match result {
            Ok(()) if order.preemptible => {
                let previous = dc_state.last_orders.insert(true, (order.count, now));
                if previous.is_none_or(|(n, _)| n < order.count) {
                    dc_state.starting = order.count.saturating_sub(ready.preemptible);
                    dc_state.starting_since = now;
                }
            }
            Ok(()) | Err(ports::OrderError::Rejected(_)) => {
                dc_state
                    .last_orders
                    .insert(order.preemptible, (order.count, now));
            }
            Err(ports::OrderError::NoneLeft) => {
                dc_state.unavailable_until = now + UNAVAILABLE_RETRY_DELAY;
                dc_state.last_orders.remove(&order.preemptible);
            }
            Err(_) => {
                dc_state.last_orders.remove(&order.preemptible);
            }
        }
    }
}

impl DcState {
    /// Preemptible engines that were ordered within `startup_period` and are not ready yet.
    fn starting(&self, now: clock::Millis, startup_period: clock::Millis) -> u32 {
        if now.since(self.starting_since) < startup_period {
            return self.starting;
        }
        0
    }

    /// Whether an order must be sent: the count changed, or the latest order is too old.
    fn is_due(&self, preemptible: bool, count: u32, now: clock::Millis) -> bool {
        match self.last_orders.get(&preemptible) {
            Some((last_count, at)) => *last_count != count || now.since(*at) >= REORDER_INTERVAL,
            None => true,
        }
    }
}

fn saturating_sum(counts: impl Iterator<Item = u32>) -> u32 {
    counts.fold(0, u32::saturating_add)
}

/// On-demand engines that are always kept in a data centre, in case all preemptible ones are
/// reclaimed. `price_rank` 0 is the cheapest data centre.
fn min_on_demand(price_rank: usize) -> u32 {
    u32::from(price_rank == 0)
}

fn dcs_by_price(scaling: &model::Scaling) -> Vec<&name::Dc> {
    let mut dcs: Vec<(&name::Dc, f64)> = scaling
        .on_demand_prices
        .iter()
        .map(|(d, p)| (d, *p))
        .collect();
    dcs.sort_by(|a, b| a.1.total_cmp(&b.1));
    dcs.into_iter().map(|(dc, _)| dc).collect()
}

/// Orders upstreams for all services while this host is the leader.
pub async fn run(host: &host::Host, tenure: &leader::Leadership) {
    let mut saved = load_provisioned(host).await;
    let mut scalers: collections::HashMap<name::Service, Scaler> = saved
        .iter()
        .map(|(s, n)| (s.clone(), Scaler::with_provisioned(*n)))
        .collect();
    let mut scope = order_scope::OrderScope::default();
    loop {
        time::sleep(PLAN_INTERVAL.duration()).await;
        let Some(config) = host.current_config() else {
            continue;
        };
        scope.update(host.fleet.borrow().drained_dcs(), host.now());
        for service in config.services.values() {
            let Some(scaling) = &service.scaling else {
                continue;
            };
            let scaler = scalers.entry(service.name.clone()).or_default();
            let demand = host.membership.borrow().demand(&service.name, host.now());
            let ready = count_ready(host, &service.name);
            let Some(target) = scaler.target_engines(&ready, &demand, host.now()) else {
                continue;
            };
            let (ready, scaling) = (&scope.limit(&ready), &scope.limit_scaling(scaling));
            if saved.get(&service.name) != Some(&scaler.provisioned) {
                saved.insert(service.name.clone(), scaler.provisioned);
                save_provisioned(host, &saved).await;
            }
            let orders = scaler.plan_preemptible(&service.name, scaling, target, host.now());
            send_orders(host, tenure, scaler, &orders, ready, &demand).await;
            let now = host.now();
            let orders = scaler.plan_on_demand(&service.name, scaling, ready, &demand, target, now);
            send_orders(host, tenure, scaler, &orders, ready, &demand).await;
        }
    }
}

/// Engines that operators provisioned, by service, as observed by an earlier leader.
type Provisioned = collections::BTreeMap<name::Service, f64>;

async fn load_provisioned(host: &host::Host) -> Provisioned {
    loop {
        match host.store.get(PROVISIONED_KEY).await {
            Ok((None, _)) => return Provisioned::new(),
            Ok((Some(item), _)) => {
                return serde_json::from_slice(&item.value).unwrap_or_else(|e| {
                    tracing::error!(event = "provided_unreadable", error = %e);
                    Provisioned::new()
                });
            }
            Err(_) => time::sleep(PLAN_INTERVAL.duration()).await,
        }
    }
}

/// Stores the provisioned engines without retrying. If this fails, the next leader observes them
/// itself.
async fn save_provisioned(host: &host::Host, saved: &Provisioned) {
    let Ok(value) = serde_json::to_vec(saved) else {
        return;
    };
    let transaction = ports::Transaction {
        writes: vec![ports::Write {
            key: PROVISIONED_KEY.to_owned(),
            value,
            lease: None,
        }],
        ..ports::Transaction::default()
    };
    if let Err(e) = host.store.commit(&transaction).await {
        tracing::warn!(event = "provided_not_saved", error = e.as_str());
    }
}

async fn send_orders(
    host: &host::Host,
    tenure: &leader::Leadership,
    scaler: &mut Scaler,
    orders: &[ports::Order],
    ready: &collections::BTreeMap<name::Dc, UpstreamCount>,
    demand: &membership::Demand,
) {
    for order in orders {
        // A drain may have begun while earlier orders were sent.
        if host.fleet.borrow().is_drained(&order.dc) {
            continue;
        }
        let result = host.orders.scale(tenure.term(), order).await;
        log_order(order, demand, tenure.token, result);
        let ready = ready.get(&order.dc).copied().unwrap_or_default();
        scaler.record_result(order, ready, result, host.now());
    }
}

fn log_order(
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

fn count_ready(
    host: &host::Host,
    service: &name::Service,
) -> collections::BTreeMap<name::Dc, UpstreamCount> {
    let mut counts: collections::BTreeMap<name::Dc, UpstreamCount> = collections::BTreeMap::new();
    let fleet = host.fleet.borrow();
    for tracked in fleet.of_service(service) {
        if tracked.upstream.state != model::UpstreamState::Ready {
            continue;
        }
        let count = counts.entry(tracked.upstream.dc.clone()).or_default();
        if tracked.upstream.preemptible {
            count.preemptible += 1;
        } else {
            count.on_demand += 1;
        }
    }
    counts
}
