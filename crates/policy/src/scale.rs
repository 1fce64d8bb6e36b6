//! How many upstreams of a service should run in a data centre.
//!
//! Starts follow the load of a short window, stops that of a long one, so that a short lull stops
//! nothing that the next burst needs. Cheap upstreams come first for work that may be evicted;
//! work that may not is covered by the others.

use std::collections;

use base::{clock, name};

/// One upstream that starts and stops on order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Site {
    /// Its name.
    pub name: name::Upstream,
    /// Requests it runs at once.
    pub slots: u32,
    /// Its cost while running.
    pub price: u32,
    /// Whether it can be evicted.
    pub cheap: bool,
    /// Whether it starts and stops on order.
    pub ordered: bool,
    /// Whether it runs.
    pub running: bool,
}

/// Demand of a service: slots in use and wanted.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Slots wanted by work that may not be evicted.
    pub firm: f64,
    /// Slots wanted by work that may.
    pub loose: f64,
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
const AIM: f64 = 0.8;
/// Weight of a new sample in the short mean, as one part in this many.
const SHORT: f64 = 3.0;
/// Weight of a new sample in the long mean, as one part in this many.
const LONG: f64 = 30.0;
/// An order that had no effect is repeated or given up after this.
const ORDER_LIFE: clock::Millis = clock::Millis(20_000);
/// An upstream that could not be started is left alone for this long.
const SHORTAGE: clock::Millis = clock::Millis(60_000);

#[derive(Clone, Copy, Debug, Default)]
struct Means {
    short: f64,
    long: f64,
}

impl Means {
    fn add(&mut self, x: f64) {
        // Up at once, down slowly: the long mean is what stops wait for.
        self.short = if x > self.short {
            x
        } else {
            self.short + (x - self.short) / SHORT
        };
        self.long = if x > self.long {
            x
        } else {
            self.long + (x - self.long) / LONG
        };
    }
}

/// The scaling state of one service in one data centre.
#[derive(Debug, Default)]
pub struct Scaler {
    firm: Means,
    loose: Means,
    pending: collections::HashMap<name::Upstream, clock::Millis>,
    short: collections::HashMap<name::Upstream, clock::Millis>,
}

impl Scaler {
    /// Takes a sample of the demand, once a second.
    pub fn sample(&mut self, demand: Demand) {
        self.firm.add(demand.firm);
        self.loose.add(demand.loose);
    }

    /// The orders that bring the running upstreams to the demand.
    pub fn orders(&mut self, sites: &[Site], now: clock::Millis) -> Vec<Order> {
        self.settle(sites, now);
        let up = want(self.firm.short, self.loose.short);
        let keep = want(self.firm.long, self.loose.long);
        let mut out = Vec::new();
        let target = self.plan(sites, up, now);
        let kept = self.plan(sites, keep, now);
        for s in sites {
            if !s.ordered || self.pending.contains_key(&s.name) {
                continue;
            }
            let start = target.contains(&s.name) && !s.running;
            let stop = !kept.contains(&s.name) && !target.contains(&s.name) && s.running;
            if start {
                out.push(Order::Start(s.name.clone()));
            } else if stop {
                out.push(Order::Stop(s.name.clone()));
            } else {
                continue;
            }
            self.pending.insert(s.name.clone(), now);
        }
        out
    }

    /// Drops orders that took effect, and remembers starts that did not.
    fn settle(&mut self, sites: &[Site], now: clock::Millis) {
        for s in sites {
            let Some(at) = self.pending.get(&s.name) else {
                continue;
            };
            if now.since(*at) < ORDER_LIFE {
                continue;
            }
            self.pending.remove(&s.name);
            if !s.running {
                self.short.insert(s.name.clone(), now);
            }
        }
        self.short.retain(|_, at| now.since(*at) < SHORTAGE);
    }

    /// Notes that the list shows an ordered upstream as wished.
    pub fn confirm(&mut self, name: &name::Upstream) {
        self.pending.remove(name);
    }

    /// The least costly set of upstreams that covers the demand: running ones before others of
    /// the same price, so that nothing is swapped for its equal.
    fn plan(
        &self,
        sites: &[Site],
        demand: Demand,
        now: clock::Millis,
    ) -> collections::HashSet<name::Upstream> {
        let mut out = collections::HashSet::new();
        let mut firm = demand.firm;
        let mut loose = demand.loose;
        let mut order: Vec<&Site> = sites.iter().collect();
        order.sort_by_key(|s| (s.ordered, unit_price(s), !s.running, s.name.clone()));
        for s in order.iter().filter(|s| !s.cheap) {
            if firm <= 0.0 && s.ordered {
                break;
            }
            if self.is_short(s, now) {
                continue;
            }
            firm -= f64::from(s.slots);
            out.insert(s.name.clone());
        }
        loose += firm.min(0.0);
        order.sort_by_key(|s| (!s.cheap, unit_price(s), !s.running, s.name.clone()));
        for s in order {
            if loose <= 0.0 {
                break;
            }
            if out.contains(&s.name) || self.is_short(s, now) {
                continue;
            }
            loose -= f64::from(s.slots);
            out.insert(s.name.clone());
        }
        out
    }

    fn is_short(&self, s: &Site, now: clock::Millis) -> bool {
        let recent = self
            .short
            .get(&s.name)
            .is_some_and(|at| now.since(*at) < SHORTAGE);
        recent && !s.running
    }
}

fn want(firm: f64, loose: f64) -> Demand {
    Demand {
        firm: firm / AIM,
        loose: loose / AIM,
    }
}

/// Price for a slot, in thousandths.
fn unit_price(s: &Site) -> u64 {
    u64::from(s.price) * 1000 / u64::from(s.slots.max(1))
}
