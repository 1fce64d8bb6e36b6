//! Property tests of the lease with lost responses, delayed writes, suspended holders and clocks
//! that run at different rates.

use base::{clock, name};
use policy::lease;
use proptest::prelude::*;

const TIMING: lease::Timing = lease::Timing {
    ttl: clock::Millis(9_000),
    margin: clock::Millis(900),
    order_timeout: clock::Millis(2_000),
};
const HOSTS: usize = 2;

#[derive(Clone, Debug)]
enum Op {
    /// Advances the time of all hosts by a number of milliseconds.
    Advance(u64),
    /// A host reads the record, sends its write and receives the response without any delay.
    Step(usize),
    /// A host reads the lease record.
    Read(usize),
    /// A host sends the claim or renewal that is possible now, if any.
    Send(usize),
    /// The store applies the oldest write of a host; the response may be lost.
    Deliver(usize, bool),
    /// A host sends an order if it considers itself the holder.
    Order(usize),
    /// The holder releases the lease.
    Release(usize),
    /// A host restarts and loses its state.
    Restart(usize),
}

fn op() -> impl Strategy<Value = Op> {
    let host = 0..HOSTS;
    prop_oneof![
        2 => (0u64..4_000).prop_map(Op::Advance),
        // Values close to the end of the TTL, the margin and the order timeout.
        4 => (0u64..5, 0u64..250).prop_map(|(n, ms)| Op::Advance([10, 1_000, 2_900, 8_750, 11_700][n as usize] + ms)),
        6 => host.clone().prop_map(Op::Step),
        1 => host.clone().prop_map(Op::Read),
        1 => host.clone().prop_map(Op::Send),
        2 => (host.clone(), any::<bool>()).prop_map(|(host, lost)| Op::Deliver(host, lost)),
        4 => host.clone().prop_map(Op::Order),
        1 => host.clone().prop_map(Op::Release),
        1 => host.prop_map(Op::Restart),
    ]
}

enum Role {
    Follower(lease::Follower),
    Holder(lease::Holder),
}

struct Host {
    role: Role,
    incarnation: u64,
    /// Clock rate error in thousandths.
    skew: i64,
    /// Clock offset in milliseconds.
    offset_ms: u64,
    pending: Vec<(lease::ConditionalWrite, clock::Millis)>,
}

impl Host {
    fn now(&self, now_ms: u64) -> clock::Millis {
        let drift = (now_ms as i64) * self.skew / 1_000;
        clock::Millis((now_ms as i64 + drift) as u64 + self.offset_ms)
    }
}

#[derive(Default)]
struct Store {
    record: Option<(lease::Record, u64)>,
    revision: u64,
}

impl Store {
    fn write(&mut self, write: &lease::ConditionalWrite) -> Option<u64> {
        if self.record.as_ref().map(|(_, r)| *r) != write.replaces {
            return None;
        }
        self.revision += 1;
        self.record = Some((write.record.clone(), self.revision));
        Some(self.revision)
    }
}

struct Simulation {
    now_ms: u64,
    store: Store,
    hosts: Vec<Host>,
    /// Epoch of each order, and the time in milliseconds until which it may take effect.
    orders: Vec<(u64, u64)>,
    last_incarnation: u64,
}

fn follower(host: usize, incarnation: u64) -> Role {
    let owner = lease::Owner {
        name: name::Host::from(["a", "b"][host]),
        incarnation,
    };
    Role::Follower(lease::Follower::new(owner, TIMING))
}

impl Simulation {
    fn new(skews: &[i64], offsets_ms: &[u64]) -> Self {
        let mut hosts = Vec::new();
        for n in 0..HOSTS {
            let role = follower(n, n as u64);
            let (skew, offset_ms) = (skews[n], offsets_ms[n]);
            hosts.push(Host {
                role,
                incarnation: n as u64,
                skew,
                offset_ms,
                pending: Vec::new(),
            });
        }
        let store = Store::default();
        Self {
            now_ms: 1_000_000,
            store,
            hosts,
            orders: Vec::new(),
            last_incarnation: 100,
        }
    }

    fn apply(&mut self, op: &Op) -> Result<(), TestCaseError> {
        match *op {
            Op::Advance(ms) => self.now_ms += ms,
            Op::Step(host) => {
                self.read(host);
                self.send(host);
                self.deliver(host, false);
            }
            Op::Read(host) => self.read(host),
            Op::Send(host) => self.send(host),
            Op::Deliver(host, lost) => self.deliver(host, lost),
            Op::Order(host) => return self.order(host),
            Op::Release(host) => self.release(host),
            Op::Restart(host) => {
                self.last_incarnation += 1;
                self.hosts[host].role = follower(host, self.last_incarnation);
                self.hosts[host].incarnation = self.last_incarnation;
            }
        }
        Ok(())
    }

    fn read(&mut self, host: usize) {
        let found = self.store.record.clone();
        let now = self.hosts[host].now(self.now_ms);
        if let Role::Follower(f) = &mut self.hosts[host].role {
            f.observe(found, now);
        }
    }

    fn send(&mut self, host: usize) {
        let now = self.hosts[host].now(self.now_ms);
        let write = match &self.hosts[host].role {
            Role::Follower(f) => f.claim(now),
            Role::Holder(holder) if holder.is_valid(now) => holder.renewal(now),
            Role::Holder(_) => None,
        };
        if let Some(write) = write {
            self.hosts[host].pending.push((write, now));
        }
    }

    fn deliver(&mut self, host: usize, lost: bool) {
        if self.hosts[host].pending.is_empty() {
            return;
        }
        let (write, sent) = self.hosts[host].pending.remove(0);
        let result = self.store.write(&write);
        if lost || write.record.incarnation != self.hosts[host].incarnation {
            return;
        }
        let state = &mut self.hosts[host];
        let (incarnation, written) = (state.incarnation, result);
        let role = std::mem::replace(&mut state.role, follower(host, incarnation));
        state.role = match (role, written) {
            (Role::Follower(f), Some(revision)) => {
                Role::Holder(f.into_holder(write, revision, sent))
            }
            (Role::Holder(mut holder), Some(revision)) if holder.epoch() == write.record.epoch => {
                holder.record_renewal(write, revision, sent);
                Role::Holder(holder)
            }
            (Role::Holder(holder), _) => Role::Follower(holder.into_follower()),
            (role, None) => role,
        };
    }

    fn order(&mut self, host: usize) -> Result<(), TestCaseError> {
        let now = self.hosts[host].now(self.now_ms);
        let Role::Holder(holder) = &self.hosts[host].role else {
            return Ok(());
        };
        if !holder.is_valid(now) {
            return Ok(());
        }
        for (epoch, end) in &self.orders {
            prop_assert!(
                *epoch <= holder.epoch(),
                "order of epoch {} at {} ms was sent after an order of epoch {epoch}",
                holder.epoch(),
                self.now_ms
            );
            prop_assert!(
                *epoch == holder.epoch() || *end <= self.now_ms,
                "order of epoch {} at {} ms was sent while an order of epoch {epoch} may take effect until {end} ms",
                holder.epoch(),
                self.now_ms
            );
        }
        self.orders
            .push((holder.epoch(), self.now_ms + TIMING.order_timeout.0));
        Ok(())
    }

    fn release(&mut self, host: usize) {
        let incarnation = self.hosts[host].incarnation;
        // The program sends no orders once it starts to release the lease, and waits for orders in
        // flight.
        let in_flight = self.orders.iter().any(|(_, end)| *end > self.now_ms);
        let state = &mut self.hosts[host];
        if in_flight || !matches!(state.role, Role::Holder(_)) {
            return;
        }
        let role = std::mem::replace(&mut state.role, follower(host, incarnation));
        if let Role::Holder(holder) = role {
            let (f, write) = holder.release();
            state.role = Role::Follower(f);
            self.store.write(&write);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 60_000, ..ProptestConfig::default() })]

    #[test]
    fn orders_of_two_holders_never_overlap(
        ops in proptest::collection::vec(op(), 1..40),
        skews in proptest::collection::vec(-20i64..=20, HOSTS),
        offsets_ms in proptest::collection::vec(0u64..1_000_000, HOSTS),
    ) {
        let mut sim = Simulation::new(&skews, &offsets_ms);
        for op in &ops {
            sim.apply(op)?;
        }
    }
}

/// Advances the time by `ms`, then `host` reads the record, sends its write and receives the
/// response.
fn advance_and_step(sim: &mut Simulation, host: usize, ms: u64) {
    sim.now_ms += ms;
    sim.read(host);
    sim.send(host);
    sim.deliver(host, false);
}

fn is_holder(sim: &Simulation, host: usize) -> bool {
    matches!(&sim.hosts[host].role, Role::Holder(holder) if holder.is_valid(sim.hosts[host].now(sim.now_ms)))
}

#[test]
fn failed_holder_is_replaced_after_takeover_delay() {
    let mut sim = Simulation::new(&[0; HOSTS], &[0; HOSTS]);
    advance_and_step(&mut sim, 0, 0);
    assert!(is_holder(&sim, 0));
    advance_and_step(&mut sim, 1, 10);
    advance_and_step(&mut sim, 1, TIMING.takeover_delay().0 - 20);
    assert!(!is_holder(&sim, 1));
    advance_and_step(&mut sim, 1, 20);
    assert!(is_holder(&sim, 1));
    assert!(!is_holder(&sim, 0));
}

#[test]
fn released_lease_is_claimed_at_once() {
    let mut sim = Simulation::new(&[0; HOSTS], &[0; HOSTS]);
    advance_and_step(&mut sim, 0, 0);
    sim.release(0);
    advance_and_step(&mut sim, 1, 1);
    assert!(is_holder(&sim, 1));
}

#[test]
fn renewing_holder_keeps_the_lease() {
    let mut sim = Simulation::new(&[0; HOSTS], &[0; HOSTS]);
    advance_and_step(&mut sim, 0, 0);
    for _ in 0..50 {
        advance_and_step(&mut sim, 0, TIMING.renewal_interval().0);
        advance_and_step(&mut sim, 1, 0);
        assert!(is_holder(&sim, 0) && !is_holder(&sim, 1));
    }
}

#[test]
fn margin_covers_clocks_with_different_rates() {
    let mut sim = Simulation::new(&[-20, 20], &[0, 5_000]);
    advance_and_step(&mut sim, 0, 0);
    advance_and_step(&mut sim, 1, 0);
    while is_holder(&sim, 0) {
        sim.apply(&Op::Order(0)).expect("order of the first holder");
        sim.now_ms += 10;
    }
    while !is_holder(&sim, 1) {
        advance_and_step(&mut sim, 1, 10);
    }
    sim.apply(&Op::Order(1))
        .expect("order of the second holder");
}
