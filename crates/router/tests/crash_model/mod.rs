//! Model of hosts before engines that prompts may crash, without a network, in steps of 10 ms.

use std::collections;

use base::clock;
use rand::{Rng as _, SeedableRng as _, rngs};
use router::{crash_log, quarantine, quarantine_leader};

const STEP_MS: u64 = 10;
/// Time for which a crashed engine is away.
const RESTART_MS: u64 = 3_000;
/// Time between reports of a host, and from a crash to a report.
const REPORT_MS: u64 = 1_000;
const CRASH_REPORT_MS: u64 = 150;
/// Time from the loss of a leader until the next one takes reports: its lease, and the wait for its
/// calls in flight.
const LEADER_GAP_MS: u64 = 2_700;
/// Shared first part of the sound prompts that resemble the deadly ones, and number of the second
/// parts among which prompts choose.
pub(crate) const FIRST: u64 = 1;
const SECOND_PARTS: u64 = 300;

/// Where deadly parts stand in their prompts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Place {
    /// Last of the shared parts, behind a part that sound prompts begin with too.
    Last,
    /// First, with a part behind it that is different in each prompt.
    FirstBeforeUnique,
    /// First, with parts behind it that sound prompts have behind other first parts.
    FirstBeforeCommon,
    /// First, with one of so many parts behind it that no other prompt has.
    FirstBefore(u64),
}

/// What is played.
#[derive(Clone)]
pub(crate) struct Load {
    pub(crate) hosts: usize,
    pub(crate) engines: usize,
    /// Requests per second.
    pub(crate) rate: f64,
    /// Parts that crash engines, each with its share of the requests.
    pub(crate) deadly: Vec<(u64, f64)>,
    pub(crate) place: Place,
    /// Further parts that all prompts share, behind the first two.
    pub(crate) more_parts: u64,
    /// Whether engines end before the head of the response, instead of after it.
    pub(crate) is_early: bool,
    /// Time between requests with the first deadly part that come beside the shares.
    pub(crate) interval_ms: Option<u64>,
    /// Engines that one request is sent to.
    pub(crate) attempts: u32,
    /// From when until when they do.
    pub(crate) deadly_ms: std::ops::Range<u64>,
    /// Mean time between crashes of one engine for reasons of its own.
    pub(crate) own_crash_ms: Option<u64>,
    /// Time between disturbances in which half of the engines crash.
    pub(crate) mass_crash_ms: Option<u64>,
    /// When the leader is lost. The next one knows nothing.
    pub(crate) leader_change_ms: Option<u64>,
    pub(crate) length_ms: u64,
}

impl Load {
    /// The users' day on their smallest sites: 5 of 100 requests of one kind.
    pub(crate) fn small() -> Self {
        Self {
            hosts: 6,
            engines: 12,
            rate: 60.0,
            deadly: vec![(666, 0.02)],
            place: Place::Last,
            more_parts: 0,
            is_early: false,
            interval_ms: None,
            attempts: 2,
            deadly_ms: 4_000..26_000,
            own_crash_ms: None,
            mass_crash_ms: None,
            leader_change_ms: None,
            length_ms: 40_000,
        }
    }

    /// The same at the size of their largest site.
    pub(crate) fn large() -> Self {
        Self {
            hosts: 95,
            engines: 84,
            rate: 340.0,
            ..Self::small()
        }
    }
}

/// What was seen.
#[derive(Debug, Default)]
pub(crate) struct Outcome {
    /// Times of the crashes that each deadly part caused.
    pub(crate) crashes: collections::BTreeMap<u64, Vec<u64>>,
    /// Times at which prompts with each deadly part were sent to engines, repeats included.
    pub(crate) arrivals: collections::BTreeMap<u64, Vec<u64>>,
    /// Sound requests that were withheld, and how many there were.
    pub(crate) withheld_sound: usize,
    pub(crate) sound: usize,
    /// Time of the latest request with a part that was deadly before and was withheld.
    pub(crate) last_withheld_ms: u64,
}

impl Outcome {
    /// Time of the fifth crash that `part` caused.
    pub(crate) fn fifth_crash(&self, part: u64) -> Option<u64> {
        self.crashes.get(&part)?.get(4).copied()
    }

    /// Arrivals of prompts with a deadly part later than `bound_ms` after its fifth crash; the most
    /// of any part.
    pub(crate) fn late_arrivals(&self, bound_ms: u64) -> usize {
        let late = self.arrivals.iter().filter_map(|(part, arrivals)| {
            let bound = self.fifth_crash(*part)? + bound_ms;
            Some(arrivals.iter().filter(|at| **at > bound).count())
        });
        late.max().unwrap_or(0)
    }
}

struct Run {
    host: usize,
    request: u64,
    parts: crash_log::SharedParts,
    /// Deadly part of the prompt.
    deadly: Option<u64>,
    /// Whether that part crashes engines now.
    is_deadly: bool,
    is_trial: bool,
    attempts: u32,
    begins_ms: u64,
    ends_ms: u64,
}

#[derive(Default)]
struct Engine {
    starts: u64,
    up_ms: u64,
    runs: Vec<Run>,
}

#[derive(Default)]
struct Host {
    log: crash_log::CrashLog,
    quarantine: quarantine::Quarantine,
    told: u64,
    knows_leader: bool,
    /// Whether the latest report was an extra one, to answer new questions.
    has_answered: bool,
    report_ms: u64,
}

struct Model<'a> {
    load: &'a Load,
    rng: rngs::SmallRng,
    now_ms: u64,
    hosts: Vec<Host>,
    engines: Vec<Engine>,
    leader: quarantine_leader::QuarantineLeader,
    outcome: Outcome,
}

/// Plays `load` with a seed.
pub(crate) fn play(load: &Load, seed: u64) -> Outcome {
    let mut model = Model {
        load,
        rng: rngs::SmallRng::seed_from_u64(seed),
        now_ms: 0,
        hosts: Vec::new(),
        engines: Vec::new(),
        leader: quarantine_leader::QuarantineLeader::default(),
        outcome: Outcome::default(),
    };
    model.hosts.resize_with(load.hosts, Host::default);
    model.engines.resize_with(load.engines, Engine::default);
    for host in &mut model.hosts {
        host.report_ms = model.rng.random_range(0..REPORT_MS);
    }
    while model.now_ms < load.length_ms {
        model.step();
        model.now_ms += STEP_MS;
    }
    model.outcome
}

impl Model<'_> {
    fn now(&self) -> clock::Millis {
        clock::Millis(1_000_000 + self.now_ms)
    }

    fn happens(&mut self, per_second: f64) -> bool {
        self.rng.random::<f64>() < per_second * STEP_MS as f64 / 1_000.0
    }

    fn step(&mut self) {
        let mut expected = self.load.rate;
        while expected > 0.0 {
            // At most one request a step for each 50 a second.
            if self.happens(expected.min(50.0)) {
                self.arrive();
            }
            expected -= 50.0;
        }
        if let Some((part, _)) = self.load.deadly.first()
            && self
                .load
                .interval_ms
                .is_some_and(|ms| self.now_ms.is_multiple_of(ms))
        {
            self.arrive_with(Some(*part));
        }
        let is_moment =
            |every: Option<u64>| every.is_some_and(|ms| self.now_ms % ms == ms - STEP_MS);
        let mass_crash = is_moment(self.load.mass_crash_ms);
        for n in 0..self.engines.len() {
            let own = self
                .load
                .own_crash_ms
                .is_some_and(|ms| self.happens(1_000.0 / ms as f64));
            if own || mass_crash && n % 2 == 0 {
                self.crash(n);
            }
            self.run_engine(n);
        }
        if self.load.leader_change_ms == Some(self.now_ms) {
            self.leader = quarantine_leader::QuarantineLeader::default();
            for host in &mut self.hosts {
                (host.knows_leader, host.told) = (false, 0);
            }
        }
        let lost_ms = self.load.leader_change_ms;
        if lost_ms.is_some_and(|ms| (ms..ms + LEADER_GAP_MS).contains(&self.now_ms)) {
            return;
        }
        for n in 0..self.hosts.len() {
            if self.now_ms >= self.hosts[n].report_ms {
                self.report(n);
            }
        }
    }

    fn arrive(&mut self) {
        let draw: f64 = self.rng.random();
        let mut deadly = None;
        let mut sum = 0.0;
        for (part, share) in &self.load.deadly {
            sum += share;
            if deadly.is_none() && draw < sum {
                deadly = Some(*part);
            }
        }
        self.arrive_with(deadly);
    }

    fn arrive_with(&mut self, deadly: Option<u64>) {
        let is_time = self.load.deadly_ms.contains(&self.now_ms);
        // One in a hundred sound prompts begins like the deadly ones; the others begin in five ways.
        let first = if deadly.is_some() || self.rng.random::<f64>() < 0.01 {
            FIRST
        } else {
            10 + self.rng.random_range(0..5)
        };
        // Of the second parts, the first ones are frequent.
        let second = (self.rng.random::<f64>().powi(3) * SECOND_PARTS as f64) as u64;
        let common = self.load.place == Place::FirstBeforeCommon;
        let second = if common { 1_000 } else { 1_000 * first } + second;
        let parts = match (deadly, self.load.place) {
            (None, _) => [first, second],
            (Some(part), Place::Last) => [first, part],
            (Some(part), Place::FirstBeforeUnique) => [part, self.rng.random()],
            (Some(part), Place::FirstBeforeCommon) => [part, second],
            (Some(part), Place::FirstBefore(n)) => [part, 500 + self.rng.random_range(0..n)],
        };
        let more = (0..self.load.more_parts).map(|n| 1_000_000 + n);
        let run = Run {
            host: self.rng.random_range(0..self.hosts.len()),
            request: self.rng.random(),
            parts: parts.into_iter().chain(more).collect(),
            deadly,
            is_deadly: deadly.is_some() && is_time,
            is_trial: false,
            attempts: 0,
            begins_ms: 0,
            ends_ms: 0,
        };
        self.outcome.sound += usize::from(deadly.is_none());
        self.send(run);
    }

    fn send(&mut self, mut run: Run) {
        let now = self.now();
        if run.attempts >= self.load.attempts || run.is_trial {
            return;
        }
        let quarantine = &mut self.hosts[run.host].quarantine;
        if quarantine.is_trial_due(&run.parts, 1, now) {
            self.report(run.host);
        }
        match self.hosts[run.host].quarantine.admit(&run.parts, 1, now) {
            quarantine::Admission::Open => {}
            quarantine::Admission::Trial => run.is_trial = true,
            quarantine::Admission::Withheld(_) => {
                if run.deadly.is_some() {
                    self.outcome.last_withheld_ms = self.now_ms;
                } else {
                    self.outcome.withheld_sound += 1;
                }
                return;
            }
        }
        let up: Vec<usize> = (0..self.engines.len())
            .filter(|n| self.engines[*n].up_ms <= self.now_ms)
            .collect();
        if up.is_empty() {
            return;
        }
        let engine = up[self.rng.random_range(0..up.len())];
        run.attempts += 1;
        run.begins_ms = self.now_ms + self.rng.random_range(60..700);
        run.ends_ms = run.begins_ms + self.rng.random_range(200..2_000);
        if let Some(part) = run.deadly.filter(|_| run.is_deadly) {
            let arrivals = self.outcome.arrivals.entry(part).or_default();
            arrivals.push(self.now_ms);
        }
        self.engines[engine].runs.push(run);
    }

    fn run_engine(&mut self, n: usize) {
        let (now_ms, now) = (self.now_ms, self.now());
        let begun = |run: &Run| run.begins_ms <= now_ms;
        let cause = self.engines[n]
            .runs
            .iter()
            .find(|r| r.is_deadly && begun(r));
        if let Some(part) = cause.and_then(|r| r.deadly) {
            let crashes = self.outcome.crashes.entry(part).or_default();
            crashes.push(now_ms);
            return self.crash(n);
        }
        let survival_ms = crash_log::SURVIVAL_TIME.0;
        for run in &self.engines[n].runs {
            if now_ms == run.ends_ms.min(run.begins_ms + survival_ms) / STEP_MS * STEP_MS {
                let log = &mut self.hosts[run.host].log;
                log.record_answer(run.parts.iter().copied(), now);
            }
        }
        self.engines[n].runs.retain(|r| r.ends_ms > now_ms);
    }

    fn crash(&mut self, n: usize) {
        let (now_ms, now) = (self.now_ms, self.now());
        let engine = &mut self.engines[n];
        let upstream = n as u64 * 1_000 + engine.starts;
        engine.starts += 1;
        engine.up_ms = now_ms + RESTART_MS;
        for run in std::mem::take(&mut self.engines[n].runs) {
            let progress = if run.begins_ms > now_ms {
                crash_log::Progress::Early
            } else if run.is_deadly && !self.load.is_early {
                crash_log::Progress::HeadOnly
            } else if now_ms < run.begins_ms + crash_log::SURVIVAL_TIME.0 {
                crash_log::Progress::Early
            } else {
                continue;
            };
            let host = &mut self.hosts[run.host];
            let crash = crash_log::Crash {
                number: 0,
                age: clock::Millis::ZERO,
                parts: run.parts.clone(),
                request: run.request,
                team: 1,
                upstream,
                progress,
            };
            host.log.record_crash(crash, now);
            host.report_ms = host.report_ms.min(now_ms + CRASH_REPORT_MS);
            self.send(run);
        }
    }

    fn report(&mut self, n: usize) {
        let now = self.now();
        let is_only_host = self.hosts.len() == 1;
        let host = &mut self.hosts[n];
        host.report_ms = self.now_ms + REPORT_MS;
        let mut findings = host.quarantine.findings(!host.knows_leader, now);
        let questions = host.quarantine.questions();
        (findings.crashes, findings.answers) = host.log.findings(host.told, questions, now);
        host.told = findings.crashes.last().map_or(host.told, |c| c.number);
        host.knows_leader = true;
        let wanted = findings.wanted.clone();
        let process = n as u64;
        self.leader.record(process, findings, is_only_host, now);
        let ruling = self.leader.ruling(process, &wanted, true, now);
        host.quarantine.apply(ruling, now, now);
        if host.quarantine.has_new_questions() && !std::mem::replace(&mut host.has_answered, true) {
            host.report_ms = self.now_ms + CRASH_REPORT_MS;
        } else {
            host.has_answered = false;
        }
    }
}
