//! Fake engines in virtual time, and the requests they run.

use std::collections::{BTreeMap, HashMap, VecDeque};

use policy::request;

use crate::load::{Load, Request, TICK};
use crate::ways::Way;

pub(crate) const REPORT_LAG: u64 = 500;
pub(crate) const STOP_LAG: u64 = 15;

pub(crate) struct Slot {
    pub(crate) id: u64,
    pub(crate) tier: u8,
    pub(crate) prefill: f64,
    pub(crate) progress: f64,
    pub(crate) stop_at: Option<u64>,
}

/// A fake engine: runs up to its slots, the rest wait inside by priority; reports lag.
pub(crate) struct Engine {
    pub(crate) running: Vec<Slot>,
    pub(crate) inside: BTreeMap<(u8, u64), Slot>,
    pub(crate) factor: f64,
    pub(crate) down: bool,
    pub(crate) leaving: bool,
    pub(crate) reports: VecDeque<(u64, usize)>,
}

impl Engine {
    pub(crate) fn load(&self) -> usize {
        self.running.len() + self.inside.len()
    }
}

pub(crate) enum Act {
    Send(u64, usize),
    Refuse(u64),
    Stop(u64),
}

pub(crate) struct World {
    pub(crate) now: u64,
    pub(crate) load: &'static Load,
    pub(crate) engines: Vec<Engine>,
    pub(crate) requests: HashMap<u64, Request>,
    pub(crate) wasted: u64,
    pub(crate) made: u64,
}

impl World {
    pub(crate) fn new(load: &'static Load) -> Self {
        let engine = |_| Engine {
            running: Vec::new(),
            inside: BTreeMap::new(),
            factor: 1.0,
            down: false,
            leaving: false,
            reports: VecDeque::new(),
        };
        let engines = (0..load.2).map(engine).collect();
        Self {
            now: 0,
            load,
            engines,
            requests: HashMap::new(),
            wasted: 0,
            made: 0,
        }
    }

    /// A straggler, a crash, and an eviction with three seconds' notice.
    pub(crate) fn faults(&mut self) {
        let t = self.now;
        self.engines[0].factor = if (30_000..50_000).contains(&t) {
            5.0
        } else {
            1.0
        };
        self.engines[1].down = (60_000..70_000).contains(&t);
        self.engines[2].leaving = (77_000..100_000).contains(&t);
        self.engines[2].down = (80_000..100_000).contains(&t);
    }

    pub(crate) fn apply(&mut self, acts: Vec<Act>) {
        let now = self.now;
        for act in acts {
            match act {
                Act::Send(id, e) => self.send(id, e),
                Act::Refuse(id) => {
                    self.requests
                        .entry(id)
                        .and_modify(|r| r.refused = Some(now));
                }
                Act::Stop(id) => {
                    let all = self.engines.iter_mut().flat_map(|e| &mut e.running);
                    for s in all.filter(|s| s.id == id) {
                        s.stop_at.get_or_insert(now + STOP_LAG);
                    }
                }
            }
        }
    }

    pub(crate) fn send(&mut self, id: u64, e: usize) {
        let Some(r) = self.requests.get_mut(&id) else {
            return;
        };
        r.sent += 1;
        r.made = 0;
        let tier = self.load.1[r.class].1;
        // A continued answer is prefilled again with what is held.
        let prefill = 40.0 + 0.2 * f64::from(50 + r.held);
        let slot = Slot {
            id,
            tier,
            prefill,
            progress: 0.0,
            stop_at: None,
        };
        self.engines[e]
            .inside
            .insert((tier, r.arrived * 1_000 + id % 1_000), slot);
    }

    /// Runs every engine for a tick; what ended, how and where.
    pub(crate) fn run(&mut self) -> Vec<(u64, usize, request::Outcome)> {
        let mut ended = Vec::new();
        let (now, slots) = (self.now, self.load.3 as usize);
        for (n, e) in self.engines.iter_mut().enumerate() {
            if e.down {
                let inside = std::mem::take(&mut e.inside).into_values();
                let lost = e.running.drain(..).chain(inside);
                ended.extend(lost.map(|s| (s.id, n, request::Outcome::Failed)));
            }
            while e.running.len() < slots
                && let Some((_, slot)) = e.inside.pop_first()
            {
                e.running.push(slot);
            }
            let crowd = 1.0 + 0.3 * e.running.len() as f64 / slots as f64;
            let speed = TICK as f64 / (e.factor * crowd / 1.15);
            e.running.retain_mut(|s| {
                let Some(r) = self.requests.get_mut(&s.id) else {
                    return false;
                };
                s.progress += speed;
                let due = ((s.progress - s.prefill) / self.load.4).max(0.0) as u32;
                let new = due.min(r.length - r.held).saturating_sub(r.made);
                r.made += new;
                self.made += u64::from(new);
                if r.made > 0 {
                    r.first.get_or_insert(now);
                }
                let outcome = match (r.made + r.held >= r.length, s.stop_at) {
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
            while e.reports.len() > 1 && e.reports[1].0 + REPORT_LAG <= now {
                e.reports.pop_front();
            }
        }
        ended
    }

    pub(crate) fn settle(
        &mut self,
        way: &mut dyn Way,
        id: u64,
        engine: usize,
        outcome: request::Outcome,
    ) {
        let mut acts = Vec::new();
        way.ended(&self.requests[&id].clone(), outcome, self, &mut acts);
        self.apply(std::mem::take(&mut acts));
        let Some(r) = self.requests.get_mut(&id) else {
            return;
        };
        if outcome == request::Outcome::Completed {
            r.whole = true;
        } else if self.load.6 {
            r.held += std::mem::take(&mut r.made);
            r.avoid = (outcome == request::Outcome::Failed).then_some(engine);
            self.wasted += u64::from(r.held) / 20;
            way.arrive(&r.clone(), self, &mut acts);
            self.apply(acts);
        } else {
            self.wasted += u64::from(r.made);
        }
    }
}
