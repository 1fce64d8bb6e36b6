//! Decides how many upstreams of a service run in a data centre.
//!
//! Starts follow a short moving mean of the demand, stops a long one, so that a short drop in
//! demand does not stop upstreams that the next burst needs. Evictable demand is served by
//! preemptible upstreams first; other demand is always covered by on-demand upstreams, which the
//! platform does not reclaim.

use std::collections;

use base::{clock, name};

/// Configuration and current state of an upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamState {
    /// Name of the upstream in the configuration.
    pub name: name::Upstream,
    /// Number of requests that the upstream runs concurrently.
    pub slots: u32,
    /// Relative price of the upstream while it runs.
    pub price: u32,
    /// Whether the platform may reclaim the upstream at short notice.
    pub preemptible: bool,
    /// Whether the upstream is started and stopped by orders; otherwise it always runs.
    pub managed: bool,
    /// Whether the upstream is running now.
    pub running: bool,
}

/// Demand for slots of a service, including slots in use.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Slots needed by requests that must not run on preemptible upstreams.
    pub non_evictable: f64,
    /// Slots needed by requests that may run on preemptible upstreams.
    pub evictable: f64,
}

/// An order to start or stop an upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Order {
    /// Starts the upstream.
    Start(name::Upstream),
    /// Stops the upstream once its requests have ended.
    Stop(name::Upstream),
}

/// Target utilization of the running slots.
const TARGET_UTILIZATION: f64 = 0.9;
/// Divisor of a new sample in the short moving mean: the newest sample has 1/3 of the weight.
const SHORT_MEAN_SAMPLES: f64 = 3.0;
/// Divisor of a new sample in the long moving mean: the newest sample has 1/20 of the weight.
const LONG_MEAN_SAMPLES: f64 = 20.0;
/// Time after which an order without effect is considered failed and may be sent again.
const ORDER_EFFECT_TIMEOUT: clock::Millis = clock::Millis(20_000);
/// Delay after the first failed start before another upstream of the same kind is started.
const MIN_SHORTAGE_DELAY: clock::Millis = clock::Millis(60_000);
/// Maximum delay after failed starts; the delay doubles with each failure.
const MAX_SHORTAGE_DELAY: clock::Millis = clock::Millis(480_000);

/// Availability of upstreams of one kind, preemptible or on-demand, at the platform.
#[derive(Clone, Copy, Debug, Default)]
struct Availability {
    retry_delay: clock::Millis,
    retry_at: clock::Millis,
}

impl Availability {
    fn record_failure(&mut self, now: clock::Millis) {
        if now < self.retry_at {
            return;
        }
        let next = clock::Millis(self.retry_delay.0 * 2);
        self.retry_delay = next.clamp(MIN_SHORTAGE_DELAY, MAX_SHORTAGE_DELAY);
        self.retry_at = now + self.retry_delay;
    }

    /// Whether the last start failed. Then one upstream is started at a time, and it counts as
    /// capacity only once it runs.
    fn is_uncertain(&self) -> bool {
        self.retry_delay > clock::Millis::ZERO
    }
}

#[derive(Clone, Copy, Debug)]
struct PendingOrder {
    is_start: bool,
    sent_at: clock::Millis,
}

#[derive(Clone, Copy, Debug, Default)]
struct DemandMeans {
    short: f64,
    long: f64,
}

impl DemandMeans {
    /// Adds a sample. The short mean needs a few samples to rise, so that noise starts no
    /// upstream; the long mean falls slowly, so that the capacity for the next burst keeps
    /// running.
    fn add(&mut self, x: f64) {
        self.short += (x - self.short) / SHORT_MEAN_SAMPLES;
        let change = (self.short - self.long) / LONG_MEAN_SAMPLES;
        self.long = self.short.max(self.long + change);
    }
}

/// Scaling state of one service in one data centre.
#[derive(Debug, Default)]
pub struct Scaler {
    non_evictable: DemandMeans,
    evictable: DemandMeans,
    pending: collections::HashMap<name::Upstream, PendingOrder>,
    on_demand_availability: Availability,
    preemptible_availability: Availability,
}

impl Scaler {
    /// Adds a sample of the demand; must be called once a second.
    pub fn sample(&mut self, demand: Demand) {
        self.non_evictable.add(demand.non_evictable);
        self.evictable.add(demand.evictable);
    }

    fn availability(&self, preemptible: bool) -> &Availability {
        if preemptible {
            &self.preemptible_availability
        } else {
            &self.on_demand_availability
        }
    }

    /// Returns the orders that adapt the running upstreams to the sampled demand.
    pub fn orders(&mut self, upstreams: &[UpstreamState], now: clock::Millis) -> Vec<Order> {
        self.update_pending(upstreams, now);
        let start_demand = with_headroom(self.non_evictable.short, self.evictable.short);
        let keep_demand = with_headroom(self.non_evictable.long, self.evictable.long);
        let target = self.plan(upstreams, start_demand);
        let kept = self.plan(upstreams, keep_demand);
        let mut out = Vec::new();
        for u in upstreams {
            if !u.managed || self.pending.contains_key(&u.name) {
                continue;
            }
            let is_wanted = target.contains(&u.name);
            let is_start = is_wanted && !u.running && self.can_start(u, upstreams, now);
            let is_stop = !is_wanted && !kept.contains(&u.name) && u.running;
            if is_start {
                out.push(Order::Start(u.name.clone()));
            } else if is_stop {
                out.push(Order::Stop(u.name.clone()));
            } else {
                continue;
            }
            self.pending.insert(
                u.name.clone(),
                PendingOrder {
                    is_start,
                    sent_at: now,
                },
            );
        }
        out
    }

    fn can_start(
        &self,
        u: &UpstreamState,
        upstreams: &[UpstreamState],
        now: clock::Millis,
    ) -> bool {
        let availability = self.availability(u.preemptible);
        if !availability.is_uncertain() {
            return true;
        }
        let is_starting = |o: &UpstreamState| {
            o.preemptible == u.preemptible && self.pending.get(&o.name).is_some_and(|p| p.is_start)
        };
        now >= availability.retry_at && !upstreams.iter().any(is_starting)
    }

    /// Removes pending orders that took effect or timed out, and updates the availability from
    /// starts.
    fn update_pending(&mut self, upstreams: &[UpstreamState], now: clock::Millis) {
        for u in upstreams {
            let Some(pending) = self.pending.get(&u.name).copied() else {
                continue;
            };
            let is_done = u.running == pending.is_start;
            if !is_done && now.since(pending.sent_at) < ORDER_EFFECT_TIMEOUT {
                continue;
            }
            self.pending.remove(&u.name);
            if !pending.is_start {
                continue;
            }
            let availability = if u.preemptible {
                &mut self.preemptible_availability
            } else {
                &mut self.on_demand_availability
            };
            if is_done {
                *availability = Availability::default();
            } else {
                availability.record_failure(now);
            }
        }
    }

    /// Chooses the cheapest set of upstreams that covers the demand. Running upstreams come before
    /// others of the same price, so that no upstream is replaced by an equivalent one.
    fn plan(
        &self,
        upstreams: &[UpstreamState],
        demand: Demand,
    ) -> collections::HashSet<name::Upstream> {
        let mut out = collections::HashSet::new();
        let mut non_evictable = demand.non_evictable;
        let mut evictable = demand.evictable;
        let mut candidates: Vec<&UpstreamState> = upstreams.iter().collect();
        candidates.sort_by_key(|u| (u.managed, slot_price(u), !u.running, u.name.clone()));
        for u in candidates.iter().filter(|u| !u.preemptible) {
            if non_evictable <= 0.0 && u.managed {
                break;
            }
            non_evictable -= self.usable_slots(u);
            out.insert(u.name.clone());
        }
        evictable += non_evictable.min(0.0);
        candidates.sort_by_key(|u| (!u.preemptible, slot_price(u), !u.running, u.name.clone()));
        for u in candidates {
            if evictable <= 0.0 {
                break;
            }
            if out.contains(&u.name) {
                continue;
            }
            evictable -= self.usable_slots(u);
            out.insert(u.name.clone());
        }
        out
    }

    /// Number of slots that an upstream is expected to provide.
    fn usable_slots(&self, u: &UpstreamState) -> f64 {
        if !u.running && self.availability(u.preemptible).is_uncertain() {
            return 0.0;
        }
        f64::from(u.slots)
    }
}

/// Demand in slots at which the running slots have the target utilization.
fn with_headroom(non_evictable: f64, evictable: f64) -> Demand {
    Demand {
        non_evictable: non_evictable / TARGET_UTILIZATION,
        evictable: evictable / TARGET_UTILIZATION,
    }
}

/// Price per slot of an upstream, in thousandths of the price unit.
fn slot_price(u: &UpstreamState) -> u64 {
    u64::from(u.price) * 1000 / u64::from(u.slots.max(1))
}
