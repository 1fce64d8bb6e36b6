//! The lease under lost answers, late writes, frozen holders and clocks that differ.

use base::{clock, name};
use policy::lease;
use proptest::prelude::*;

const TIMES: lease::Timing = lease::Timing {
    ttl: clock::Millis(9_000),
    margin: clock::Millis(900),
    order_timeout: clock::Millis(2_000),
};
const HOSTS: usize = 2;

#[derive(Clone, Debug)]
enum Op {
    /// Time passes for all.
    Pass(u64),
    /// A host reads, sends and gets its answer, with no time between.
    Turn(usize),
    /// A host reads the record.
    Read(usize),
    /// A host sends the claim or renewal that it may send now.
    Send(usize),
    /// The store carries out a host's oldest write; the answer may be lost.
    Deliver(usize, bool),
    /// A host sends an order if it believes that it may.
    Order(usize),
    /// A holder gives the lease back.
    Release(usize),
    /// A host starts anew and knows nothing.
    Restart(usize),
}

fn op() -> impl Strategy<Value = Op> {
    let host = 0..HOSTS;
    prop_oneof![
        2 => (0u64..4_000).prop_map(Op::Pass),
        // Around the ends of the lease, the margin and the flight.
        4 => (0u64..5, 0u64..250).prop_map(|(n, ms)| Op::Pass([10, 1_000, 2_900, 8_750, 11_700][n as usize] + ms)),
        6 => host.clone().prop_map(Op::Turn),
        1 => host.clone().prop_map(Op::Read),
        1 => host.clone().prop_map(Op::Send),
        2 => (host.clone(), any::<bool>()).prop_map(|(h, lost)| Op::Deliver(h, lost)),
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
    /// Its clock runs this many thousandths fast or slow, from its own zero.
    skew: i64,
    offset: u64,
    pending: Vec<(lease::Write, clock::Millis)>,
}

impl Host {
    fn now(&self, t: u64) -> clock::Millis {
        let drift = (t as i64) * self.skew / 1_000;
        clock::Millis((t as i64 + drift) as u64 + self.offset)
    }
}

#[derive(Default)]
struct Store {
    record: Option<(lease::Record, u64)>,
    revision: u64,
}

impl Store {
    fn write(&mut self, write: &lease::Write) -> Option<u64> {
        if self.record.as_ref().map(|(_, r)| *r) != write.replaces {
            return None;
        }
        self.revision += 1;
        self.record = Some((write.record.clone(), self.revision));
        Some(self.revision)
    }
}

struct World {
    t: u64,
    store: Store,
    hosts: Vec<Host>,
    /// Epoch and end of effect of each order.
    orders: Vec<(u64, u64)>,
    starts: u64,
}

fn follower(host: usize, incarnation: u64) -> Role {
    let owner = lease::Owner {
        name: name::Host::from(["a", "b"][host]),
        incarnation,
    };
    Role::Follower(lease::Follower::new(owner, TIMES))
}

impl World {
    fn new(skews: &[i64], offsets: &[u64]) -> Self {
        let mut hosts = Vec::new();
        for n in 0..HOSTS {
            let role = follower(n, n as u64);
            let (skew, offset) = (skews[n], offsets[n]);
            hosts.push(Host {
                role,
                incarnation: n as u64,
                skew,
                offset,
                pending: Vec::new(),
            });
        }
        let store = Store::default();
        Self {
            t: 1_000_000,
            store,
            hosts,
            orders: Vec::new(),
            starts: 100,
        }
    }

    fn act(&mut self, op: &Op) -> Result<(), TestCaseError> {
        match *op {
            Op::Pass(ms) => self.t += ms,
            Op::Turn(h) => {
                self.read(h);
                self.send(h);
                self.deliver(h, false);
            }
            Op::Read(h) => self.read(h),
            Op::Send(h) => self.send(h),
            Op::Deliver(h, lost) => self.deliver(h, lost),
            Op::Order(h) => return self.order(h),
            Op::Release(h) => self.release(h),
            Op::Restart(h) => {
                self.starts += 1;
                self.hosts[h].role = follower(h, self.starts);
                self.hosts[h].incarnation = self.starts;
            }
        }
        Ok(())
    }

    fn read(&mut self, h: usize) {
        let found = self.store.record.clone();
        let now = self.hosts[h].now(self.t);
        if let Role::Follower(f) = &mut self.hosts[h].role {
            f.observe(found, now);
        }
    }

    fn send(&mut self, h: usize) {
        let now = self.hosts[h].now(self.t);
        let write = match &self.hosts[h].role {
            Role::Follower(f) => f.claim(now),
            Role::Holder(holder) if holder.is_valid(now) => holder.renewal(now),
            Role::Holder(_) => None,
        };
        if let Some(write) = write {
            self.hosts[h].pending.push((write, now));
        }
    }

    fn deliver(&mut self, h: usize, lost: bool) {
        if self.hosts[h].pending.is_empty() {
            return;
        }
        let (write, sent) = self.hosts[h].pending.remove(0);
        let done = self.store.write(&write);
        if lost || write.record.incarnation != self.hosts[h].incarnation {
            return;
        }
        let host = &mut self.hosts[h];
        let (starts, at) = (host.incarnation, done);
        let role = std::mem::replace(&mut host.role, follower(h, starts));
        host.role = match (role, at) {
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

    fn order(&mut self, h: usize) -> Result<(), TestCaseError> {
        let now = self.hosts[h].now(self.t);
        let Role::Holder(holder) = &self.hosts[h].role else {
            return Ok(());
        };
        if !holder.is_valid(now) {
            return Ok(());
        }
        for (epoch, end) in &self.orders {
            prop_assert!(
                *epoch <= holder.epoch(),
                "order of epoch {} at {} after one of epoch {epoch}",
                holder.epoch(),
                self.t
            );
            prop_assert!(
                *epoch == holder.epoch() || *end <= self.t,
                "epoch {} orders at {} while an order of epoch {epoch} lives until {end}",
                holder.epoch(),
                self.t
            );
        }
        self.orders
            .push((holder.epoch(), self.t + TIMES.order_timeout.0));
        Ok(())
    }

    fn release(&mut self, h: usize) {
        let incarnation = self.hosts[h].incarnation;
        // The program sends no order after it begins to release, and waits for those under way.
        let flying = self.orders.iter().any(|(_, end)| *end > self.t);
        let host = &mut self.hosts[h];
        if flying || !matches!(host.role, Role::Holder(_)) {
            return;
        }
        let role = std::mem::replace(&mut host.role, follower(h, incarnation));
        if let Role::Holder(holder) = role {
            let (f, write) = holder.release();
            host.role = Role::Follower(f);
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
        offsets in proptest::collection::vec(0u64..1_000_000, HOSTS),
    ) {
        let mut world = World::new(&skews, &offsets);
        for op in &ops {
            world.act(op)?;
        }
    }
}

/// Time passes, then the named host reads, sends and gets its answer.
fn turn(world: &mut World, host: usize, ms: u64) {
    world.t += ms;
    world.read(host);
    world.send(host);
    world.deliver(host, false);
}

fn holds(world: &World, host: usize) -> bool {
    matches!(&world.hosts[host].role, Role::Holder(h) if h.is_valid(world.hosts[host].now(world.t)))
}

#[test]
fn a_dead_holder_is_followed_after_the_wait_and_not_before() {
    let mut world = World::new(&[0; HOSTS], &[0; HOSTS]);
    turn(&mut world, 0, 0);
    assert!(holds(&world, 0));
    turn(&mut world, 1, 10);
    turn(&mut world, 1, TIMES.takeover_delay().0 - 20);
    assert!(!holds(&world, 1));
    turn(&mut world, 1, 20);
    assert!(holds(&world, 1));
    assert!(!holds(&world, 0));
}

#[test]
fn a_released_lease_is_taken_at_once() {
    let mut world = World::new(&[0; HOSTS], &[0; HOSTS]);
    turn(&mut world, 0, 0);
    world.release(0);
    turn(&mut world, 1, 1);
    assert!(holds(&world, 1));
}

#[test]
fn a_holder_that_renews_keeps_the_lease() {
    let mut world = World::new(&[0; HOSTS], &[0; HOSTS]);
    turn(&mut world, 0, 0);
    for _ in 0..50 {
        turn(&mut world, 0, TIMES.renewal_interval().0);
        turn(&mut world, 1, 0);
        assert!(holds(&world, 0) && !holds(&world, 1));
    }
}

#[test]
fn the_margin_covers_clocks_that_run_at_unlike_speeds() {
    let mut world = World::new(&[-20, 20], &[0, 5_000]);
    turn(&mut world, 0, 0);
    turn(&mut world, 1, 0);
    while holds(&world, 0) {
        world
            .act(&Op::Order(0))
            .expect("an order of the first holder");
        world.t += 10;
    }
    while !holds(&world, 1) {
        turn(&mut world, 1, 10);
    }
    world
        .act(&Op::Order(1))
        .expect("an order of the second holder");
}
