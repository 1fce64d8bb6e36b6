//! How many upstreams of a service should run in a data centre.
//!
//! Starts follow the load of a short window, stops that of a long one, so that a short lull stops
//! nothing that the next burst needs. Cheap upstreams come first for work that may be evicted;
//! work that may not is covered by the others.

use std::collections;

use base::{clock, name};

/// One upstream that starts and stops on order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamState {
    /// Its name.
    pub name: name::Upstream,
    /// Requests it runs at once.
    pub slots: u32,
    /// Its cost while running.
    pub price: u32,
    /// Whether it can be evicted.
    pub preemptible: bool,
    /// Whether it starts and stops on order.
    pub managed: bool,
    /// Whether it runs.
    pub running: bool,
}

/// Demand of a service: slots in use and wanted.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Slots wanted by work that may not be evicted.
    pub non_evictable: f64,
    /// Slots wanted by work that may.
    pub evictable: f64,
}

/// An upstream to start or stop.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Order {
    /// Start it.
    Start(name::Upstream),
    /// Stop it, once its work has ended.
    Stop(name::Upstream),
}

/// Use of the slots aimed at.
const AIM: f64 = 0.9;
/// Weight of a new sample in the short mean, as one part in this many.
const SHORT: f64 = 3.0;
/// Weight of a new sample in the long mean, as one part in this many.
const LONG: f64 = 20.0;
/// An order that had no effect is repeated or given up after this.
const ORDER_LIFE: clock::Millis = clock::Millis(20_000);
/// After a start that failed, no upstream of its kind is tried for this long at first.
const SHORTAGE: clock::Millis = clock::Millis(60_000);
/// The longest such time; it doubles with each failure.
const MAX_SHORTAGE: clock::Millis = clock::Millis(480_000);

/// Whether upstreams of one kind, cheap or not, can be had.
#[derive(Clone, Copy, Debug, Default)]
struct Market {
    pause: clock::Millis,
    until: clock::Millis,
}

impl Market {
    fn failed(&mut self, now: clock::Millis) {
        if now < self.until {
            return;
        }
        let next = clock::Millis(self.pause.0 * 2);
        self.pause = next.clamp(SHORTAGE, MAX_SHORTAGE);
        self.until = now + self.pause;
    }

    /// Whether the last start failed: one upstream is tried at a time, and counts for nothing
    /// until it runs.
    fn is_doubtful(&self) -> bool {
        self.pause > clock::Millis::ZERO
    }
}

#[derive(Clone, Copy, Debug)]
struct Pending {
    start: bool,
    at: clock::Millis,
}

#[derive(Clone, Copy, Debug, Default)]
struct Means {
    short: f64,
    long: f64,
}

impl Means {
    /// Up within a few samples, so that noise alone starts nothing; down slowly, so that what the
    /// next burst needs still runs.
    fn add(&mut self, x: f64) {
        self.short += (x - self.short) / SHORT;
        let fall = (self.short - self.long) / LONG;
        self.long = self.short.max(self.long + fall);
    }
}

/// The scaling state of one service in one data centre.
#[derive(Debug, Default)]
pub struct Scaler {
    firm: Means,
    loose: Means,
    pending: collections::HashMap<name::Upstream, Pending>,
    firm_market: Market,
    cheap_market: Market,
}

impl Scaler {
    /// Takes a sample of the demand, once a second.
    pub fn sample(&mut self, demand: Demand) {
        self.firm.add(demand.non_evictable);
        self.loose.add(demand.evictable);
    }

    fn market(&self, cheap: bool) -> &Market {
        if cheap {
            &self.cheap_market
        } else {
            &self.firm_market
        }
    }

    /// The orders that bring the running upstreams to the demand.
    pub fn orders(&mut self, sites: &[UpstreamState], now: clock::Millis) -> Vec<Order> {
        self.settle(sites, now);
        let up = want(self.firm.short, self.loose.short);
        let keep = want(self.firm.long, self.loose.long);
        let target = self.plan(sites, up);
        let kept = self.plan(sites, keep);
        let mut out = Vec::new();
        for s in sites {
            if !s.managed || self.pending.contains_key(&s.name) {
                continue;
            }
            let wanted = target.contains(&s.name);
            let start = wanted && !s.running && self.may_start(s, sites, now);
            let stop = !wanted && !kept.contains(&s.name) && s.running;
            if start {
                out.push(Order::Start(s.name.clone()));
            } else if stop {
                out.push(Order::Stop(s.name.clone()));
            } else {
                continue;
            }
            self.pending
                .insert(s.name.clone(), Pending { start, at: now });
        }
        out
    }

    fn may_start(&self, s: &UpstreamState, sites: &[UpstreamState], now: clock::Millis) -> bool {
        let market = self.market(s.preemptible);
        if !market.is_doubtful() {
            return true;
        }
        let tried = |o: &UpstreamState| {
            o.preemptible == s.preemptible && self.pending.get(&o.name).is_some_and(|p| p.start)
        };
        now >= market.until && !sites.iter().any(tried)
    }

    /// Drops orders that took effect, and learns from starts that did not.
    fn settle(&mut self, sites: &[UpstreamState], now: clock::Millis) {
        for s in sites {
            let Some(pending) = self.pending.get(&s.name).copied() else {
                continue;
            };
            let done = s.running == pending.start;
            if !done && now.since(pending.at) < ORDER_LIFE {
                continue;
            }
            self.pending.remove(&s.name);
            if !pending.start {
                continue;
            }
            let market = if s.preemptible {
                &mut self.cheap_market
            } else {
                &mut self.firm_market
            };
            if done {
                *market = Market::default();
            } else {
                market.failed(now);
            }
        }
    }

    /// The least costly set of upstreams that covers the demand: running ones before others of
    /// the same price, so that nothing is swapped for its equal.
    fn plan(
        &self,
        sites: &[UpstreamState],
        demand: Demand,
    ) -> collections::HashSet<name::Upstream> {
        let mut out = collections::HashSet::new();
        let mut firm = demand.non_evictable;
        let mut loose = demand.evictable;
        let mut order: Vec<&UpstreamState> = sites.iter().collect();
        order.sort_by_key(|s| (s.managed, unit_price(s), !s.running, s.name.clone()));
        for s in order.iter().filter(|s| !s.preemptible) {
            if firm <= 0.0 && s.managed {
                break;
            }
            firm -= self.covers(s);
            out.insert(s.name.clone());
        }
        loose += firm.min(0.0);
        order.sort_by_key(|s| (!s.preemptible, unit_price(s), !s.running, s.name.clone()));
        for s in order {
            if loose <= 0.0 {
                break;
            }
            if out.contains(&s.name) {
                continue;
            }
            loose -= self.covers(s);
            out.insert(s.name.clone());
        }
        out
    }

    /// Slots that an upstream can be counted on for.
    fn covers(&self, s: &UpstreamState) -> f64 {
        if !s.running && self.market(s.preemptible).is_doubtful() {
            return 0.0;
        }
        f64::from(s.slots)
    }
}

fn want(firm: f64, loose: f64) -> Demand {
    Demand {
        non_evictable: firm / AIM,
        evictable: loose / AIM,
    }
}

/// Price for a slot, in thousandths.
fn unit_price(s: &UpstreamState) -> u64 {
    u64::from(s.price) * 1000 / u64::from(s.slots.max(1))
}
