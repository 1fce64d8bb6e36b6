//! Scaling: what runs follows the demand, firm work is covered by firm upstreams, shortages are
//! worked around.

use base::clock;
use policy::scale;

fn site(name: &str, cheap: bool, ordered: bool, running: bool) -> scale::UpstreamState {
    let price = if cheap { 30 } else { 100 };
    scale::UpstreamState {
        name: name.into(),
        slots: 8,
        price,
        preemptible: cheap,
        managed: ordered,
        running,
    }
}

/// A platform that carries orders out at once, or not at all for cheap upstreams.
struct World {
    scaler: scale::Scaler,
    sites: Vec<scale::UpstreamState>,
    cheap_to_be_had: bool,
    now: u64,
    orders: Vec<scale::Order>,
}

impl World {
    fn new(sites: Vec<scale::UpstreamState>) -> Self {
        let scaler = scale::Scaler::default();
        Self {
            scaler,
            sites,
            cheap_to_be_had: true,
            now: 0,
            orders: Vec::new(),
        }
    }

    fn run(&mut self, seconds: u64, firm: f64, loose: f64) {
        for _ in 0..seconds {
            self.now += 1;
            self.scaler.sample(scale::Demand {
                non_evictable: firm,
                evictable: loose,
            });
            let orders = self
                .scaler
                .orders(&self.sites, clock::Millis::secs(self.now));
            for order in &orders {
                let (name, start) = match order {
                    scale::Order::Start(name) => (name, true),
                    scale::Order::Stop(name) => (name, false),
                };
                let site = self
                    .sites
                    .iter_mut()
                    .find(|s| &s.name == name)
                    .expect("known");
                assert!(site.managed, "{name} is not ordered");
                if !start || !site.preemptible || self.cheap_to_be_had {
                    site.running = start;
                }
            }
            self.orders.extend(orders);
        }
    }

    fn running(&self, cheap: bool) -> usize {
        self.sites
            .iter()
            .filter(|s| s.running && s.preemptible == cheap)
            .count()
    }
}

fn mixed() -> Vec<scale::UpstreamState> {
    let mut out = vec![site("base", false, false, true)];
    for n in ["f1", "f2", "f3"] {
        out.push(site(n, false, true, false));
    }
    for n in ["c1", "c2", "c3"] {
        out.push(site(n, true, true, false));
    }
    out
}

#[test]
fn idle_upstreams_stop_and_those_that_always_run_are_left_alone() {
    let mut world = World::new(mixed());
    world.run(60, 20.0, 10.0);
    assert!(world.running(false) >= 3);
    world.run(200, 0.0, 0.0);
    assert_eq!((world.running(false), world.running(true)), (1, 0));
}

#[test]
fn work_that_must_not_be_evicted_is_covered_by_firm_upstreams() {
    let mut world = World::new(mixed());
    world.run(60, 25.0, 0.0);
    assert_eq!(world.running(true), 0);
    assert_eq!(world.running(false), 4);
}

#[test]
fn work_that_may_be_evicted_goes_to_cheap_ones_first() {
    let mut world = World::new(mixed());
    world.run(60, 4.0, 17.0);
    assert_eq!((world.running(false), world.running(true)), (1, 2));
}

#[test]
fn when_no_cheap_one_is_to_be_had_firm_ones_run_and_cheap_ones_are_tried_seldom() {
    let mut world = World::new(mixed());
    world.cheap_to_be_had = false;
    world.run(300, 4.0, 17.0);
    assert_eq!((world.running(false), world.running(true)), (3, 0));
    let tries = world
        .orders
        .iter()
        .filter(|o| matches!(o, scale::Order::Start(n) if n.as_str().starts_with('c')));
    assert!(tries.count() <= 6, "{:?}", world.orders);
    world.cheap_to_be_had = true;
    world.run(800, 4.0, 17.0);
    assert_eq!((world.running(false), world.running(true)), (1, 2));
}

#[test]
fn a_steady_load_gives_no_orders() {
    let mut world = World::new(mixed());
    world.run(60, 12.0, 12.0);
    let before = world.orders.len();
    world.run(600, 12.0, 12.0);
    assert_eq!(world.orders.len(), before);
}
