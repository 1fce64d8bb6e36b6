//! Tiers, floors, fairness and refusals of the dispatcher over random arrivals.

use std::collections;

use base::{clock, name};
use policy::{dispatch, pool, request};
use proptest::prelude::*;

const SLOTS: u32 = 4;
const CLASSES: [(&str, u8, u64, u64, u16); 4] = [
    ("urgent", 0, 600, 5_000, 0),
    ("chat", 1, 2_000, 4_000, 50),
    ("sheet", 2, 10_000, 6_000, 50),
    ("batch", 3, 60_000, 8_000, 50),
];

fn terms(class: usize) -> request::ClassSettings {
    let (name, tier, first, bound, floor) = CLASSES[class];
    request::ClassSettings {
        name: name.into(),
        tier,
        ttft_target: clock::Millis(first),
        max_wait: clock::Millis(bound),
        min_share: floor,
        evictable: class >= 2,
    }
}

fn site(name: &str, slots: u32, cheap: bool) -> pool::UpstreamConfig {
    pool::UpstreamConfig {
        name: name.into(),
        slots,
        price: 100,
        preemptible: cheap,
    }
}

#[derive(Clone, Debug)]
struct Arrival {
    after: u64,
    class: usize,
    team: usize,
    length: u64,
    resumable: bool,
}

fn arrival() -> impl Strategy<Value = Arrival> {
    (
        0u64..400,
        0..CLASSES.len(),
        0usize..4,
        100u64..4_000,
        any::<bool>(),
    )
        .prop_map(|(after, class, team, length, resumable)| Arrival {
            after,
            class,
            team,
            length,
            resumable,
        })
}

struct Running {
    class: usize,
    upstream: name::Upstream,
    started: u64,
    end: u64,
    left: u64,
    stopping: bool,
}

#[derive(Clone)]
struct Request {
    class: usize,
    left: u64,
    ask: request::SlotRequest,
}

/// Plays arrivals against a dispatcher and checks every decision.
struct World {
    now: u64,
    dispatcher: dispatch::Dispatcher,
    cheap: collections::HashSet<name::Upstream>,
    sites: u32,
    waiting: collections::BTreeMap<request::Ticket, Request>,
    running: collections::BTreeMap<request::Ticket, Running>,
    asks: collections::HashMap<request::Ticket, Request>,
    served: collections::HashMap<usize, u64>,
    last_grant: [u64; 4],
    decided: usize,
}

impl World {
    fn new(sites: &[pool::UpstreamConfig]) -> Self {
        let mut dispatcher = dispatch::Dispatcher::default();
        dispatcher.configure(sites, clock::Millis(1_000), &mut Vec::new());
        let cheap = sites
            .iter()
            .filter(|s| s.preemptible)
            .map(|s| s.name.clone())
            .collect();
        Self {
            now: 1_000,
            dispatcher,
            cheap,
            sites: sites.len() as u32,
            waiting: collections::BTreeMap::new(),
            running: collections::BTreeMap::new(),
            asks: collections::HashMap::new(),
            served: collections::HashMap::new(),
            last_grant: [1_000; 4],
            decided: 0,
        }
    }

    fn clock(&self) -> clock::Millis {
        clock::Millis(self.now)
    }

    fn fits(&self, request: &Request, upstream: &name::Upstream) -> bool {
        request.ask.resumable || !self.cheap.contains(upstream)
    }

    fn ask(&mut self, a: &Arrival, ticket: u64) -> Result<(), TestCaseError> {
        let ask = request::SlotRequest {
            ticket: request::Ticket(ticket),
            team: ["t0", "t1", "t2", "t3"][a.team].into(),
            weight: 1,
            class: terms(a.class),
            waited: clock::Millis::ZERO,
            prompt_tokens: 10,
            max_tokens: 10_000,
            prefix_hash: 0,
            resumable: a.resumable,
            received_tokens: 0,
            excluded: Default::default(),
        };
        let request = Request {
            class: a.class,
            left: a.length,
            ask,
        };
        self.submit(request)
    }

    fn submit(&mut self, request: Request) -> Result<(), TestCaseError> {
        let mut out = Vec::new();
        let ask = request.ask.clone();
        self.asks.insert(ask.ticket, request.clone());
        self.waiting.insert(ask.ticket, request);
        let before = self.dispatcher.counts();
        self.dispatcher.submit(ask, self.clock(), &mut out);
        self.check(&out, before)
    }

    fn check(
        &mut self,
        out: &[request::Decision],
        before: dispatch::Counts,
    ) -> Result<(), TestCaseError> {
        let by_floor = self.dispatcher.counts().by_min_share - before.by_min_share;
        let mut passed = 0;
        for decision in out {
            self.decided += 1;
            match decision {
                request::Decision::Grant(ticket, upstream) => {
                    let request = self.waiting.remove(ticket);
                    let Some(request) = request else {
                        return Err(TestCaseError::fail("granted twice or unasked"));
                    };
                    let tier = request.ask.class.tier;
                    let passed_over = self
                        .waiting
                        .values()
                        .any(|w| w.ask.class.tier < tier && self.fits(w, upstream));
                    passed += u64::from(passed_over);
                    self.start(*ticket, request, upstream.clone())?;
                }
                request::Decision::Refuse(ticket, refusal) => {
                    let gone = self.waiting.remove(ticket);
                    prop_assert!(gone.is_some(), "refused after a grant");
                    prop_assert_eq!(refusal.run, base::refusal::Run::NotRun);
                }
                request::Decision::Preempt(ticket) => self.preempted(*ticket)?,
            }
        }
        prop_assert!(
            passed <= by_floor,
            "a lower tier passed a higher one without its floor"
        );
        Ok(())
    }

    fn start(
        &mut self,
        ticket: request::Ticket,
        request: Request,
        upstream: name::Upstream,
    ) -> Result<(), TestCaseError> {
        prop_assert!(
            self.fits(&request, &upstream),
            "work that can't be continued elsewhere on a cheap one"
        );
        if self.cheap.contains(&upstream) && !request.ask.class.evictable {
            let firm = self
                .running
                .values()
                .filter(|r| !self.cheap.contains(&r.upstream));
            let free = SLOTS * (self.sites - self.cheap.len() as u32) - firm.count() as u32;
            prop_assert_eq!(
                free,
                0,
                "a class that stands no eviction on a cheap one by choice"
            );
        }
        let busy = self
            .running
            .values()
            .filter(|r| r.upstream == upstream)
            .count() as u32;
        prop_assert!(busy < SLOTS, "more than the slots of {}", upstream);
        self.last_grant[request.class] = self.now;
        let end = self.now + request.left;
        let run = Running {
            class: request.class,
            upstream,
            started: self.now,
            end,
            left: request.left,
            stopping: false,
        };
        self.running.insert(ticket, run);
        Ok(())
    }

    fn preempted(&mut self, ticket: request::Ticket) -> Result<(), TestCaseError> {
        let Some(run) = self.running.get_mut(&ticket) else {
            return Err(TestCaseError::fail("preempted what does not run"));
        };
        prop_assert!(!run.stopping, "preempted twice");
        run.stopping = true;
        run.end = self.now + 5;
        let class = run.class;
        let higher = self
            .waiting
            .values()
            .any(|w| w.ask.class.tier < terms(class).tier);
        prop_assert!(higher, "preempted for no higher tier");
        let resumable = self.asks.get(&ticket).is_some_and(|r| r.ask.resumable);
        prop_assert!(resumable, "preempted what can't be resumed");
        Ok(())
    }

    /// Lets time pass to `until`, ending what ends.
    fn pass(&mut self, until: u64) -> Result<(), TestCaseError> {
        const TICK: u64 = 10;
        while self.now < until {
            self.now = (self.now + TICK).min(until);
            let ended: Vec<_> = self
                .running
                .iter()
                .filter(|(_, r)| r.end <= self.now)
                .map(|(t, _)| *t)
                .collect();
            for ticket in ended {
                self.end(ticket)?;
            }
            let before = self.dispatcher.counts();
            let mut out = Vec::new();
            self.dispatcher.tick(self.clock(), &mut out);
            self.check(&out, before)?;
            prop_assert_eq!(self.dispatcher.running(), self.running.len());
            prop_assert_eq!(self.dispatcher.waiting(), self.waiting.len());
        }
        Ok(())
    }

    fn end(&mut self, ticket: request::Ticket) -> Result<(), TestCaseError> {
        let Some(run) = self.running.remove(&ticket) else {
            return Ok(());
        };
        let done = self.now - run.started;
        let stopped = run.stopping && done < run.left;
        let outcome = if stopped {
            request::Outcome::Stopped
        } else {
            request::Outcome::Completed
        };
        let tokens = (done / 10) as u32;
        *self.served.entry(run.class).or_default() += done;
        let spent = request::RunStats {
            outcome,
            tokens,
            ttft: clock::Millis(50),
            total: clock::Millis(done),
        };
        let before = self.dispatcher.counts();
        let mut out = Vec::new();
        self.dispatcher
            .finish(ticket, &spent, self.clock(), &mut out);
        self.check(&out, before)?;
        let mut again = None;
        if let (true, Some(old)) = (stopped, self.asks.get(&ticket)) {
            let mut request = old.clone();
            request.left = run.left - done;
            request.ask.received_tokens += tokens.max(1);
            request.ask.ticket = request::Ticket(ticket.0 + 1_000_000);
            again = Some(request);
        }
        match again {
            Some(request) => self.submit(request),
            None => Ok(()),
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 60, ..ProptestConfig::default() })]

    #[test]
    fn no_lower_tier_passes_a_higher_one_but_by_its_floor(
        arrivals in proptest::collection::vec(arrival(), 1..150),
        cheap in any::<bool>(),
    ) {
        let sites = [site("a", SLOTS, false), site("b", SLOTS, cheap)];
        let mut world = World::new(&sites);
        for (n, a) in arrivals.iter().enumerate() {
            let until = world.now + a.after;
            world.pass(until)?;
            world.ask(a, n as u64 + 1)?;
        }
        let until = world.now + 200_000;
        world.pass(until)?;
        prop_assert!(world.waiting.is_empty() && world.running.is_empty());
    }

    /// Each class that keeps asking is granted something at least once in its bound, the time of
    /// the longest answer and one tick.
    #[test]
    fn no_class_with_a_floor_starves(
        lengths in proptest::collection::vec(500u64..4_000, 10..40),
        gap in 20u64..80,
    ) {
        let mut world = World::new(&[site("a", SLOTS, false)]);
        let mut ticket = 0;
        let longest = 4_000;
        for round in 0..600u64 {
            let until = world.now + gap;
            world.pass(until)?;
            for (class, (name, _, _, bound, floor)) in CLASSES.into_iter().enumerate() {
                // The highest tiers ask far more than there is room for.
                if class >= 2 && round % 5 != 0 {
                    continue;
                }
                ticket += 1;
                let length = lengths[(ticket as usize) % lengths.len()];
                let a = Arrival { after: 0, class, team: class, length, resumable: false };
                world.ask(&a, ticket)?;
                if floor > 0 {
                    let since = world.now - world.last_grant[class];
                    let limit = bound + longest + gap * 5 + 10;
                    prop_assert!(since <= limit, "{} waits {}", name, since);
                }
            }
        }
    }
}

/// Two teams that both ask for more than there is get equal service, whatever their lengths.
#[test]
fn teams_of_equal_weight_get_equal_service() {
    let mut world = World::new(&[site("a", SLOTS, false)]);
    let mut tokens = [0u64; 2];
    let mut owner = collections::HashMap::new();
    let mut ticket = 0;
    for round in 0..20_000u64 {
        let ask = |world: &mut World, team: usize, length: u64, ticket: u64| {
            let a = Arrival {
                after: 0,
                class: 3,
                team,
                length,
                resumable: false,
            };
            world.ask(&a, ticket).expect("ask");
        };
        // Team 1 asks five times as often, with answers a quarter as long.
        if round % 50 == 0 {
            ticket += 1;
            owner.insert(request::Ticket(ticket), 0);
            ask(&mut world, 0, 2_000, ticket);
        }
        if round % 10 == 0 {
            ticket += 1;
            owner.insert(request::Ticket(ticket), 1);
            ask(&mut world, 1, 500, ticket);
        }
        let before: Vec<_> = world.running.iter().map(|(t, r)| (*t, r.left)).collect();
        let until = world.now + 10;
        world.pass(until).expect("pass");
        for (t, length) in before {
            if !world.running.contains_key(&t) && round > 2_000 {
                tokens[owner[&t]] += length;
            }
        }
    }
    let ratio = tokens[0] as f64 / tokens[1] as f64;
    assert!(
        (0.95..1.05).contains(&ratio),
        "service {tokens:?}, ratio {ratio}"
    );
}
