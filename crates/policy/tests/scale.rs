//! Tests of the scaler: running upstreams follow the demand, on-demand upstreams cover
//! non-evictable demand and replace preemptible ones that can't be started.

use base::clock;
use policy::scale;

fn upstream(name: &str, preemptible: bool, managed: bool, running: bool) -> scale::UpstreamState {
    let price = if preemptible { 30 } else { 100 };
    scale::UpstreamState {
        name: name.into(),
        slots: 8,
        price,
        preemptible,
        managed,
        running,
    }
}

/// Simulated platform that carries out orders at once, except that it starts no preemptible
/// upstream while `preemptible_available` is false.
struct Simulation {
    scaler: scale::Scaler,
    upstreams: Vec<scale::UpstreamState>,
    preemptible_available: bool,
    now: u64,
    orders: Vec<scale::Order>,
}

impl Simulation {
    fn new(upstreams: Vec<scale::UpstreamState>) -> Self {
        let scaler = scale::Scaler::default();
        Self {
            scaler,
            upstreams,
            preemptible_available: true,
            now: 0,
            orders: Vec::new(),
        }
    }

    fn run(&mut self, seconds: u64, non_evictable: f64, evictable: f64) {
        for _ in 0..seconds {
            self.now += 1;
            self.scaler.sample(scale::Demand {
                non_evictable,
                evictable,
            });
            let orders = self
                .scaler
                .orders(&self.upstreams, clock::Millis::secs(self.now));
            for order in &orders {
                let (name, start) = match order {
                    scale::Order::Start(name) => (name, true),
                    scale::Order::Stop(name) => (name, false),
                };
                let upstream = self
                    .upstreams
                    .iter_mut()
                    .find(|u| &u.name == name)
                    .expect("order for a known upstream");
                assert!(upstream.managed, "order for {name}, which is not managed");
                if !start || !upstream.preemptible || self.preemptible_available {
                    upstream.running = start;
                }
            }
            self.orders.extend(orders);
        }
    }

    fn running(&self, preemptible: bool) -> usize {
        self.upstreams
            .iter()
            .filter(|u| u.running && u.preemptible == preemptible)
            .count()
    }
}

fn mixed_upstreams() -> Vec<scale::UpstreamState> {
    let mut out = vec![upstream("base", false, false, true)];
    for n in ["f1", "f2", "f3"] {
        out.push(upstream(n, false, true, false));
    }
    for n in ["c1", "c2", "c3"] {
        out.push(upstream(n, true, true, false));
    }
    out
}

#[test]
fn idle_upstreams_stop_except_unmanaged_ones() {
    let mut sim = Simulation::new(mixed_upstreams());
    sim.run(60, 20.0, 10.0);
    assert!(sim.running(false) >= 3);
    sim.run(200, 0.0, 0.0);
    assert_eq!((sim.running(false), sim.running(true)), (1, 0));
}

#[test]
fn non_evictable_demand_runs_on_on_demand_upstreams() {
    let mut sim = Simulation::new(mixed_upstreams());
    sim.run(60, 25.0, 0.0);
    assert_eq!(sim.running(true), 0);
    assert_eq!(sim.running(false), 4);
}

#[test]
fn evictable_demand_runs_on_preemptible_upstreams_first() {
    let mut sim = Simulation::new(mixed_upstreams());
    sim.run(60, 4.0, 17.0);
    assert_eq!((sim.running(false), sim.running(true)), (1, 2));
}

#[test]
fn on_demand_upstreams_replace_unavailable_preemptible_ones() {
    let mut sim = Simulation::new(mixed_upstreams());
    sim.preemptible_available = false;
    sim.run(300, 4.0, 17.0);
    assert_eq!((sim.running(false), sim.running(true)), (3, 0));
    let start_attempts = sim
        .orders
        .iter()
        .filter(|o| matches!(o, scale::Order::Start(n) if n.as_str().starts_with('c')));
    assert!(start_attempts.count() <= 6, "{:?}", sim.orders);
    sim.preemptible_available = true;
    sim.run(800, 4.0, 17.0);
    assert_eq!((sim.running(false), sim.running(true)), (1, 2));
}

#[test]
fn steady_demand_causes_no_orders() {
    let mut sim = Simulation::new(mixed_upstreams());
    sim.run(60, 12.0, 12.0);
    let before = sim.orders.len();
    sim.run(600, 12.0, 12.0);
    assert_eq!(sim.orders.len(), before);
}
