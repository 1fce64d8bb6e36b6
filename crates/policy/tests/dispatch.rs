//! Property tests of the dispatcher: priority of tiers, minimum shares, fairness between teams and
//! refusals, for random arrivals.

use std::collections;

use base::{clock, name};
use policy::{dispatch, pool, request};
use proptest::prelude::*;

const SLOTS_PER_UPSTREAM: u32 = 4;
/// Classes of the tests: name, tier, target time to the first token in milliseconds, `max_wait` in
/// milliseconds, and minimum share in thousandths.
const CLASSES: [(&str, u8, u64, u64, u16); 4] = [
    ("urgent", 0, 600, 5_000, 0),
    ("chat", 1, 2_000, 4_000, 50),
    ("sheet", 2, 10_000, 6_000, 50),
    ("batch", 3, 60_000, 8_000, 50),
];

fn class_settings(class: usize) -> request::ClassSettings {
    let (name, tier, ttft_target, max_wait, min_share) = CLASSES[class];
    request::ClassSettings {
        name: name.into(),
        tier,
        ttft_target: clock::Millis(ttft_target),
        max_wait: clock::Millis(max_wait),
        min_share,
        evictable: class >= 2,
    }
}

fn upstream_config(name: &str, slots: u32, preemptible: bool) -> pool::UpstreamConfig {
    pool::UpstreamConfig {
        name: name.into(),
        slots,
        price: 100,
        preemptible,
    }
}

#[derive(Clone, Debug)]
struct Arrival {
    delay_ms: u64,
    class: usize,
    team: usize,
    length_ms: u64,
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
        .prop_map(|(delay_ms, class, team, length_ms, resumable)| Arrival {
            delay_ms,
            class,
            team,
            length_ms,
            resumable,
        })
}

struct RunningRequest {
    class: usize,
    upstream: name::Upstream,
    started_at: u64,
    ends_at: u64,
    remaining_ms: u64,
    stopping: bool,
}

#[derive(Clone)]
struct PendingRequest {
    class: usize,
    remaining_ms: u64,
    slot_request: request::SlotRequest,
}

/// Simulation in virtual time that submits arrivals to a dispatcher and checks every decision.
struct Simulation {
    now: u64,
    dispatcher: dispatch::Dispatcher,
    preemptible_upstreams: collections::HashSet<name::Upstream>,
    upstream_count: u32,
    waiting: collections::BTreeMap<request::Ticket, PendingRequest>,
    running: collections::BTreeMap<request::Ticket, RunningRequest>,
    submitted: collections::HashMap<request::Ticket, PendingRequest>,
    served_ms: collections::HashMap<usize, u64>,
    last_grant: [u64; 4],
    decision_count: usize,
}

impl Simulation {
    fn new(configs: &[pool::UpstreamConfig]) -> Self {
        let mut dispatcher = dispatch::Dispatcher::default();
        dispatcher.configure(configs, clock::Millis(1_000), &mut Vec::new());
        let preemptible_upstreams = configs
            .iter()
            .filter(|c| c.preemptible)
            .map(|c| c.name.clone())
            .collect();
        Self {
            now: 1_000,
            dispatcher,
            preemptible_upstreams,
            upstream_count: configs.len() as u32,
            waiting: collections::BTreeMap::new(),
            running: collections::BTreeMap::new(),
            submitted: collections::HashMap::new(),
            served_ms: collections::HashMap::new(),
            last_grant: [1_000; 4],
            decision_count: 0,
        }
    }

    fn clock(&self) -> clock::Millis {
        clock::Millis(self.now)
    }

    fn fits(&self, request: &PendingRequest, upstream: &name::Upstream) -> bool {
        request.slot_request.resumable || !self.preemptible_upstreams.contains(upstream)
    }

    fn arrive(&mut self, a: &Arrival, ticket: u64) -> Result<(), TestCaseError> {
        let slot_request = request::SlotRequest {
            ticket: request::Ticket(ticket),
            team: ["t0", "t1", "t2", "t3"][a.team].into(),
            weight: 1,
            class: class_settings(a.class),
            waited: clock::Millis::ZERO,
            prompt_tokens: 10,
            max_tokens: 10_000,
            prefix_hash: 0,
            resumable: a.resumable,
            received_tokens: 0,
            excluded: Default::default(),
        };
        let request = PendingRequest {
            class: a.class,
            remaining_ms: a.length_ms,
            slot_request,
        };
        self.submit(request)
    }

    fn submit(&mut self, request: PendingRequest) -> Result<(), TestCaseError> {
        let mut out = Vec::new();
        let slot_request = request.slot_request.clone();
        self.submitted.insert(slot_request.ticket, request.clone());
        self.waiting.insert(slot_request.ticket, request);
        let before = self.dispatcher.counts();
        self.dispatcher.submit(slot_request, self.clock(), &mut out);
        self.check(&out, before)
    }

    fn check(
        &mut self,
        out: &[request::Decision],
        before: dispatch::DecisionCounts,
    ) -> Result<(), TestCaseError> {
        let by_min_share = self.dispatcher.counts().by_min_share - before.by_min_share;
        let mut overtaking_grants = 0;
        for decision in out {
            self.decision_count += 1;
            match decision {
                request::Decision::Grant(ticket, upstream) => {
                    let request = self.waiting.remove(ticket);
                    let Some(request) = request else {
                        return Err(TestCaseError::fail("granted a request that is not waiting"));
                    };
                    let tier = request.slot_request.class.tier;
                    let overtakes = self
                        .waiting
                        .values()
                        .any(|w| w.slot_request.class.tier < tier && self.fits(w, upstream));
                    overtaking_grants += u64::from(overtakes);
                    self.start(*ticket, request, upstream.clone())?;
                }
                request::Decision::Refuse(ticket, refusal) => {
                    let removed = self.waiting.remove(ticket);
                    prop_assert!(removed.is_some(), "refused a request that is not waiting");
                    prop_assert_eq!(refusal.execution, base::refusal::Execution::NotRun);
                }
                request::Decision::Preempt(ticket) => self.handle_preempt(*ticket)?,
            }
        }
        prop_assert!(
            overtaking_grants <= by_min_share,
            "a request overtook a higher tier without a minimum share"
        );
        Ok(())
    }

    fn start(
        &mut self,
        ticket: request::Ticket,
        request: PendingRequest,
        upstream: name::Upstream,
    ) -> Result<(), TestCaseError> {
        prop_assert!(
            self.fits(&request, &upstream),
            "granted a preemptible upstream to a request that is not resumable"
        );
        if self.preemptible_upstreams.contains(&upstream) && !request.slot_request.class.evictable {
            let on_demand = self
                .running
                .values()
                .filter(|r| !self.preemptible_upstreams.contains(&r.upstream));
            let free_slots = SLOTS_PER_UPSTREAM
                * (self.upstream_count - self.preemptible_upstreams.len() as u32)
                - on_demand.count() as u32;
            prop_assert_eq!(
                free_slots,
                0,
                "granted a preemptible upstream to a non-evictable class while another had a free slot"
            );
        }
        let used_slots = self
            .running
            .values()
            .filter(|r| r.upstream == upstream)
            .count() as u32;
        prop_assert!(
            used_slots < SLOTS_PER_UPSTREAM,
            "granted more than the slots of {}",
            upstream
        );
        self.last_grant[request.class] = self.now;
        let ends_at = self.now + request.remaining_ms;
        let run = RunningRequest {
            class: request.class,
            upstream,
            started_at: self.now,
            ends_at,
            remaining_ms: request.remaining_ms,
            stopping: false,
        };
        self.running.insert(ticket, run);
        Ok(())
    }

    fn handle_preempt(&mut self, ticket: request::Ticket) -> Result<(), TestCaseError> {
        let Some(run) = self.running.get_mut(&ticket) else {
            return Err(TestCaseError::fail(
                "preempted a request that is not running",
            ));
        };
        prop_assert!(!run.stopping, "preempted a request twice");
        run.stopping = true;
        run.ends_at = self.now + 5;
        let class = run.class;
        let higher_tier_waits = self
            .waiting
            .values()
            .any(|w| w.slot_request.class.tier < class_settings(class).tier);
        prop_assert!(
            higher_tier_waits,
            "preempted although no request of a higher tier waits"
        );
        let resumable = self
            .submitted
            .get(&ticket)
            .is_some_and(|r| r.slot_request.resumable);
        prop_assert!(resumable, "preempted a request that is not resumable");
        Ok(())
    }

    /// Advances the time to `until` in ticks, and ends the requests that are due.
    fn advance_to(&mut self, until: u64) -> Result<(), TestCaseError> {
        const TICK_MS: u64 = 10;
        while self.now < until {
            self.now = (self.now + TICK_MS).min(until);
            let ended: Vec<_> = self
                .running
                .iter()
                .filter(|(_, r)| r.ends_at <= self.now)
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
        let elapsed_ms = self.now - run.started_at;
        let stopped = run.stopping && elapsed_ms < run.remaining_ms;
        let outcome = if stopped {
            request::Outcome::Stopped
        } else {
            request::Outcome::Completed
        };
        let tokens = (elapsed_ms / 10) as u32;
        *self.served_ms.entry(run.class).or_default() += elapsed_ms;
        let stats = request::RunStats {
            outcome,
            tokens,
            ttft: clock::Millis(50),
            total: clock::Millis(elapsed_ms),
        };
        let before = self.dispatcher.counts();
        let mut out = Vec::new();
        self.dispatcher
            .finish(ticket, &stats, self.clock(), &mut out);
        self.check(&out, before)?;
        let mut resubmitted = None;
        if let (true, Some(submitted)) = (stopped, self.submitted.get(&ticket)) {
            let mut request = submitted.clone();
            request.remaining_ms = run.remaining_ms - elapsed_ms;
            request.slot_request.received_tokens += tokens.max(1);
            request.slot_request.ticket = request::Ticket(ticket.0 + 1_000_000);
            resubmitted = Some(request);
        }
        match resubmitted {
            Some(request) => self.submit(request),
            None => Ok(()),
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 60, ..ProptestConfig::default() })]

    #[test]
    fn lower_tier_overtakes_only_by_its_min_share(
        arrivals in proptest::collection::vec(arrival(), 1..150),
        preemptible in any::<bool>(),
    ) {
        let configs = [
            upstream_config("a", SLOTS_PER_UPSTREAM, false),
            upstream_config("b", SLOTS_PER_UPSTREAM, preemptible),
        ];
        let mut sim = Simulation::new(&configs);
        for (n, a) in arrivals.iter().enumerate() {
            let until = sim.now + a.delay_ms;
            sim.advance_to(until)?;
            sim.arrive(a, n as u64 + 1)?;
        }
        let until = sim.now + 200_000;
        sim.advance_to(until)?;
        prop_assert!(sim.waiting.is_empty() && sim.running.is_empty());
    }

    /// A class with a minimum share that always has waiting requests is granted a slot at least
    /// once per `max_wait` plus the duration of the longest request, five arrival gaps and one
    /// tick.
    #[test]
    fn class_with_min_share_does_not_starve(
        lengths in proptest::collection::vec(500u64..4_000, 10..40),
        gap_ms in 20u64..80,
    ) {
        let mut sim = Simulation::new(&[upstream_config("a", SLOTS_PER_UPSTREAM, false)]);
        let mut ticket = 0;
        let longest_ms = 4_000;
        for round in 0..600u64 {
            let until = sim.now + gap_ms;
            sim.advance_to(until)?;
            for (class, (name, _, _, max_wait, min_share)) in CLASSES.into_iter().enumerate() {
                // The two highest tiers submit far more requests than the slots can serve.
                if class >= 2 && round % 5 != 0 {
                    continue;
                }
                ticket += 1;
                let length_ms = lengths[(ticket as usize) % lengths.len()];
                let a = Arrival { delay_ms: 0, class, team: class, length_ms, resumable: false };
                sim.arrive(&a, ticket)?;
                if min_share > 0 {
                    let waited_ms = sim.now - sim.last_grant[class];
                    let limit_ms = max_wait + longest_ms + gap_ms * 5 + 10;
                    prop_assert!(
                        waited_ms <= limit_ms,
                        "{} waited {} ms without a grant",
                        name,
                        waited_ms
                    );
                }
            }
        }
    }
}

/// Two teams of equal weight that both submit more than the slots can serve get equal service,
/// whatever the length of their responses.
#[test]
fn teams_of_equal_weight_get_equal_service() {
    let mut sim = Simulation::new(&[upstream_config("a", SLOTS_PER_UPSTREAM, false)]);
    let mut service_ms = [0u64; 2];
    let mut owner = collections::HashMap::new();
    let mut ticket = 0;
    for round in 0..20_000u64 {
        let submit = |sim: &mut Simulation, team: usize, length_ms: u64, ticket: u64| {
            let a = Arrival {
                delay_ms: 0,
                class: 3,
                team,
                length_ms,
                resumable: false,
            };
            sim.arrive(&a, ticket).expect("arrival");
        };
        // Team 1 submits five times as many requests as team 0, with responses a quarter as long.
        if round % 50 == 0 {
            ticket += 1;
            owner.insert(request::Ticket(ticket), 0);
            submit(&mut sim, 0, 2_000, ticket);
        }
        if round % 10 == 0 {
            ticket += 1;
            owner.insert(request::Ticket(ticket), 1);
            submit(&mut sim, 1, 500, ticket);
        }
        let running: Vec<_> = sim
            .running
            .iter()
            .map(|(t, r)| (*t, r.remaining_ms))
            .collect();
        let until = sim.now + 10;
        sim.advance_to(until).expect("advance the time");
        for (t, length_ms) in running {
            if !sim.running.contains_key(&t) && round > 2_000 {
                service_ms[owner[&t]] += length_ms;
            }
        }
    }
    let ratio = service_ms[0] as f64 / service_ms[1] as f64;
    assert!(
        (0.95..1.05).contains(&ratio),
        "service {service_ms:?} ms, ratio {ratio}"
    );
}
