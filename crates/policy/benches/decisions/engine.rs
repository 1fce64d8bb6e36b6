//! Simulated engines in virtual time, and the requests that they run.

use std::collections::{BTreeMap, HashMap, VecDeque};

use policy::request;

use crate::load::{Request, TICK_MS, Workload};
use crate::ways::Strategy;

/// Age of the load report that strategies see.
pub(crate) const REPORT_DELAY_MS: u64 = 500;
/// Time from a stop command until the request frees its slot.
pub(crate) const STOP_DELAY_MS: u64 = 15;

/// A request on an engine, with the progress and prefill time in milliseconds at normal speed.
pub(crate) struct Slot {
    pub(crate) id: u64,
    pub(crate) tier: u8,
    pub(crate) prefill_ms: f64,
    pub(crate) progress_ms: f64,
    pub(crate) stop_at: Option<u64>,
}

/// A simulated engine that runs as many requests as it has slots, queues the others by priority,
/// and reports its load with a delay.
pub(crate) struct Engine {
    pub(crate) running: Vec<Slot>,
    pub(crate) queued: BTreeMap<(u8, u64), Slot>,
    pub(crate) slowdown: f64,
    pub(crate) down: bool,
    pub(crate) draining: bool,
    pub(crate) reports: VecDeque<(u64, usize)>,
}

impl Engine {
    pub(crate) fn load(&self) -> usize {
        self.running.len() + self.queued.len()
    }
}

/// A command of a strategy: sends a request to an engine, refuses it or stops it.
pub(crate) enum Action {
    Send(u64, usize),
    Refuse(u64),
    Stop(u64),
}

/// State of a run: time in milliseconds, engines, requests, and tokens generated and wasted.
pub(crate) struct Simulation {
    pub(crate) now: u64,
    pub(crate) workload: &'static Workload,
    pub(crate) engines: Vec<Engine>,
    pub(crate) requests: HashMap<u64, Request>,
    pub(crate) wasted_tokens: u64,
    pub(crate) generated_tokens: u64,
}

impl Simulation {
    pub(crate) fn new(workload: &'static Workload) -> Self {
        let engine = |_| Engine {
            running: Vec::new(),
            queued: BTreeMap::new(),
            slowdown: 1.0,
            down: false,
            draining: false,
            reports: VecDeque::new(),
        };
        let engines = (0..workload.2).map(engine).collect();
        Self {
            now: 0,
            workload,
            engines,
            requests: HashMap::new(),
            wasted_tokens: 0,
            generated_tokens: 0,
        }
    }

    /// Injects the faults of the current time: a straggler, a crash, and an eviction with three
    /// seconds' notice.
    pub(crate) fn inject_faults(&mut self) {
        let t = self.now;
        self.engines[0].slowdown = if (30_000..50_000).contains(&t) {
            5.0
        } else {
            1.0
        };
        self.engines[1].down = (60_000..70_000).contains(&t);
        self.engines[2].draining = (77_000..100_000).contains(&t);
        self.engines[2].down = (80_000..100_000).contains(&t);
    }

    pub(crate) fn apply(&mut self, actions: Vec<Action>) {
        let now = self.now;
        for action in actions {
            match action {
                Action::Send(id, e) => self.send(id, e),
                Action::Refuse(id) => {
                    self.requests
                        .entry(id)
                        .and_modify(|r| r.refused_at = Some(now));
                }
                Action::Stop(id) => {
                    let running = self.engines.iter_mut().flat_map(|e| &mut e.running);
                    for s in running.filter(|s| s.id == id) {
                        s.stop_at.get_or_insert(now + STOP_DELAY_MS);
                    }
                }
            }
        }
    }

    pub(crate) fn send(&mut self, id: u64, e: usize) {
        let Some(r) = self.requests.get_mut(&id) else {
            return;
        };
        r.sends += 1;
        r.generated_tokens = 0;
        let tier = self.workload.1[r.class].1;
        // A resumed response prefills the prompt and the tokens received so far.
        let prefill_ms = 40.0 + 0.2 * f64::from(50 + r.received_tokens);
        let slot = Slot {
            id,
            tier,
            prefill_ms,
            progress_ms: 0.0,
            stop_at: None,
        };
        self.engines[e]
            .queued
            .insert((tier, r.arrived_at * 1_000 + id % 1_000), slot);
    }

    /// Runs every engine for one tick. Returns the requests that ended with their engine and
    /// outcome.
    pub(crate) fn run(&mut self) -> Vec<(u64, usize, request::Outcome)> {
        let mut ended = Vec::new();
        let (now, slots) = (self.now, self.workload.3 as usize);
        for (n, e) in self.engines.iter_mut().enumerate() {
            if e.down {
                let queued = std::mem::take(&mut e.queued).into_values();
                let lost = e.running.drain(..).chain(queued);
                ended.extend(lost.map(|s| (s.id, n, request::Outcome::Failed)));
            }
            while e.running.len() < slots
                && let Some((_, slot)) = e.queued.pop_first()
            {
                e.running.push(slot);
            }
            let contention = 1.0 + 0.3 * e.running.len() as f64 / slots as f64;
            let tick_progress_ms = TICK_MS as f64 / (e.slowdown * contention / 1.15);
            e.running.retain_mut(|s| {
                let Some(r) = self.requests.get_mut(&s.id) else {
                    return false;
                };
                s.progress_ms += tick_progress_ms;
                let total_tokens =
                    ((s.progress_ms - s.prefill_ms) / self.workload.4).max(0.0) as u32;
                let new_tokens = total_tokens
                    .min(r.length_tokens - r.received_tokens)
                    .saturating_sub(r.generated_tokens);
                r.generated_tokens += new_tokens;
                self.generated_tokens += u64::from(new_tokens);
                if r.generated_tokens > 0 {
                    r.first_token_at.get_or_insert(now);
                }
                let outcome = match (
                    r.generated_tokens + r.received_tokens >= r.length_tokens,
                    s.stop_at,
                ) {
                    (true, _) => request::Outcome::Completed,
                    (false, Some(at)) if at <= now => request::Outcome::Stopped,
                    _ => return true,
                };
                ended.push((s.id, n, outcome));
                false
            });
            if now.is_multiple_of(100) {
                e.reports.push_back((now, e.load()));
            }
            while e.reports.len() > 1 && e.reports[1].0 + REPORT_DELAY_MS <= now {
                e.reports.pop_front();
            }
        }
        ended
    }

    pub(crate) fn handle_end(
        &mut self,
        strategy: &mut dyn Strategy,
        id: u64,
        engine: usize,
        outcome: request::Outcome,
    ) {
        let mut actions = Vec::new();
        strategy.on_end(&self.requests[&id].clone(), outcome, self, &mut actions);
        self.apply(std::mem::take(&mut actions));
        let Some(r) = self.requests.get_mut(&id) else {
            return;
        };
        if outcome == request::Outcome::Completed {
            r.completed = true;
        } else if self.workload.6 {
            r.received_tokens += std::mem::take(&mut r.generated_tokens);
            r.excluded = (outcome == request::Outcome::Failed).then_some(engine);
            self.wasted_tokens += u64::from(r.received_tokens) / 20;
            strategy.submit(&r.clone(), self, &mut actions);
            self.apply(actions);
        } else {
            self.wasted_tokens += u64::from(r.generated_tokens);
        }
    }
}
