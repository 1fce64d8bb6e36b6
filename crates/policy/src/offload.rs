//! Decides what is sent to another data centre: the cost of an upstream there, and the share of the
//! flow that load may move.
//!
//! Home regions and drained data centres are applied before; this decision sees only data centres
//! that a request may use.

use base::{clock, name};
use smallvec::SmallVec;

use crate::dc_link;

/// Age at which load figures are ignored. They are collected once a second and reach hosts that
/// follow others within two.
pub const MAX_FIGURE_AGE: clock::Millis = clock::Millis(3_000);
/// Time between two steps of the shares.
pub const STEP_PERIOD: clock::Millis = clock::Millis(500);
/// Largest change of a service's total share in one step, up or down.
pub const MAX_STEP: f64 = 0.04;
/// Largest fall of the total in one step while the figures are current.
const STEP_DOWN: f64 = 0.01;
/// Largest fall below the total that the figures show. A further fall waits for figures that show the
/// effect of this one.
const MAX_UNSEEN_FALL: f64 = 0.04;
/// Time for which a data centre must be short before a share rises, so that a burst of two seconds
/// moves little.
const CONFIRM_PERIOD: clock::Millis = clock::Millis(1_000);
/// Gain from which on a share rises, in milliseconds. It keeps shares from following the noise of
/// the figures.
const MIN_GAIN_MS: f64 = 40.0;
/// Longest expected wait of a data centre that takes requests of others, in milliseconds.
const MAX_WAIT_THERE_MS: f64 = 100.0;
/// Part of a data centre's slots that may be taken before it takes no requests of others. The rest
/// is left to its own clients, whose load may rise between two figures.
const USABLE_SLOTS: f64 = 0.8;
/// Part of a data centre's slots from which on its shares are kept although nobody waits. Without it
/// shares rose and fell by 0.16 with figures 2 s old.
const NEARLY_FULL: f64 = 0.9;
/// Assumed run time of a request that occupies a slot, in milliseconds.
const TYPICAL_RUN_MS: f64 = 2_000.0;
/// Cost of leaving because of load for a request outside the share, in milliseconds. It exceeds
/// ordinary differences between queues, and is finite so that a request still leaves if its own data
/// centre fails it.
const WITHHELD_COST_MS: f64 = 1_000.0;
/// Share below which nothing is sent.
const MIN_SHARE: f64 = 0.005;

/// Load of a service in one data centre.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DcLoad {
    /// Upstreams that take requests.
    pub engines: u32,
    /// Running and waiting requests at all of them.
    pub running: u32,
    /// Prompt tokens that they have not read yet.
    pub unread_tokens: u64,
    /// Time of the figures by the host's clock.
    pub at: clock::Millis,
}

/// What a service's upstreams do in a time, and what its requests move.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Speed {
    /// Prompt tokens that an upstream reads in a millisecond; greater than 0.
    pub tokens_per_ms: f64,
    /// Delay by each request that an upstream has, in milliseconds.
    pub ms_per_request: f64,
    /// Requests that an upstream runs at a time; 0 if unknown.
    pub slots: u32,
    /// Typical bytes of a request and its response.
    pub bytes: u64,
}

impl DcLoad {
    /// Expected wait of a further request in milliseconds; infinite without upstreams.
    pub fn wait_ms(&self, speed: &Speed) -> f64 {
        if self.engines == 0 {
            return f64::INFINITY;
        }
        let engines = f64::from(self.engines);
        let requests = f64::from(self.running) / engines;
        let reading = self.unread_tokens as f64 / engines / speed.tokens_per_ms;
        let slots = f64::from(speed.slots);
        let for_slot = if speed.slots == 0 {
            0.0
        } else {
            (requests - slots).max(0.0) * TYPICAL_RUN_MS / slots
        };
        reading + requests * speed.ms_per_request + for_slot
    }

    /// Requests of others that there is room for after the data centre's own need; infinite if its
    /// slots are unknown and the wait is short.
    fn room(&self, speed: &Speed) -> f64 {
        if self.engines == 0 || self.wait_ms(speed) > MAX_WAIT_THERE_MS {
            return 0.0;
        }
        if speed.slots == 0 {
            return f64::INFINITY;
        }
        let slots = f64::from(self.engines) * f64::from(speed.slots);
        (slots * USABLE_SLOTS - f64::from(self.running)).max(0.0)
    }

    /// Whether so few slots are free that a share which falls would make requests wait.
    fn is_nearly_full(&self, speed: &Speed) -> bool {
        let slots = f64::from(self.engines) * f64::from(speed.slots);
        speed.slots > 0 && f64::from(self.running) > slots * NEARLY_FULL
    }

    fn is_current(&self, now: clock::Millis) -> bool {
        now.since(self.at) <= MAX_FIGURE_AGE
    }
}

/// Milliseconds that a request gains by leaving; negative if it loses.
fn gain_ms(wait_here_ms: f64, wait_there_ms: f64, cost_ms: f64) -> f64 {
    wait_here_ms - wait_there_ms - cost_ms
}

/// A data centre that requests may leave for.
#[derive(Clone, Copy, Debug)]
pub struct Destination<'a> {
    /// Name of the data centre.
    pub dc: &'a name::Dc,
    /// Way to it.
    pub path: dc_link::Path,
    /// Load of the service there; `None` if unknown.
    pub load: Option<DcLoad>,
}

/// Whether load may move a request to a data centre.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Permission {
    /// There are no current figures for both data centres, so that only distance counts.
    Unlimited,
    /// The request is in the share. Holds the wait that it avoids, in milliseconds.
    Granted(f64),
    /// The request is outside the share. Holds the wait that it would avoid, in milliseconds.
    Withheld(f64),
}

/// Cost in milliseconds that is added for an upstream at the end of `path`. `bytes` counts both
/// directions; `saving_ms` is the reading time saved by the prompt part that is cached there.
pub fn cost_ms(path: &dc_link::Path, bytes: u64, saving_ms: f64, permission: Permission) -> f64 {
    if path.distance == dc_link::Distance::SameDc {
        return 0.0;
    }
    let cost = path.cost_ms(bytes);
    match permission {
        // The cached part pays for the way, so that load is not what moves the request.
        Permission::Withheld(_) if saving_ms > cost => cost,
        Permission::Withheld(avoided_ms) => cost + WITHHELD_COST_MS + avoided_ms,
        Permission::Granted(avoided_ms) => cost - avoided_ms.min(WITHHELD_COST_MS),
        Permission::Unlimited => cost,
    }
}

#[derive(Clone, Debug)]
struct Flow {
    dc: name::Dc,
    share: f64,
    /// When leaving began to gain without interruption; `None` while it does not.
    gains_since: Option<clock::Millis>,
    /// Wait that leaving avoids, in milliseconds; `None` without current figures.
    avoided_ms: Option<f64>,
}

/// A share that has changed.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// Destination of the share.
    pub dc: name::Dc,
    /// Share before, 0 to 1.
    pub old: f64,
    /// Share now, 0 to 1.
    pub new: f64,
}

/// Shares of one service's flow that may leave a data centre, by destination. All hosts of the data
/// centre compute nearly the same shares from the same figures.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    /// Sorted by data centre.
    flows: SmallVec<[Flow; 4]>,
    stepped_at: clock::Millis,
    /// Total share after each of the latest steps, the oldest first. Figures show the effect of the
    /// share at their time, not of the steps since.
    history: SmallVec<[(clock::Millis, f64); HISTORY_LENGTH]>,
}

/// Time after which a change of a share shows in the running requests.
const RESPONSE_LAG: clock::Millis = clock::Millis(1_500);
/// Steps whose total share is kept; they cover [`MAX_FIGURE_AGE`] and [`RESPONSE_LAG`].
const HISTORY_LENGTH: usize = 10;

impl Shares {
    /// Moves the shares by one step if [`STEP_PERIOD`] has passed. `here` is the load of the host's own
    /// data centre. Returns the shares that changed.
    pub fn update(
        &mut self,
        here: Option<DcLoad>,
        destinations: &[Destination<'_>],
        speed: &Speed,
        now: clock::Millis,
    ) -> SmallVec<[Change; 4]> {
        let mut changes = SmallVec::new();
        let elapsed = now.since(self.stepped_at);
        if elapsed < STEP_PERIOD {
            return changes;
        }
        let periods = (elapsed.0 / STEP_PERIOD.0) as f64;
        self.stepped_at = now;
        let before: SmallVec<[(name::Dc, f64); 4]> =
            self.flows.iter().map(|f| (f.dc.clone(), f.share)).collect();
        // Without an upstream here there is nothing to weigh: everything leaves by cost.
        let here = here.filter(|l| l.engines > 0 && l.is_current(now));
        self.lower(here, destinations, speed, periods, now);
        self.raise(here, destinations, speed, now);
        for flow in &self.flows {
            let old = before.iter().find(|(dc, _)| *dc == flow.dc);
            let old = old.map_or(0.0, |(_, share)| *share);
            if old != flow.share {
                let (dc, new) = (flow.dc.clone(), flow.share);
                changes.push(Change { dc, old, new });
            }
        }
        self.flows
            .retain(|f| f.share > 0.0 || f.gains_since.is_some() || f.avoided_ms.is_some());
        if self.history.len() == HISTORY_LENGTH {
            self.history.remove(0);
        }
        self.history.push((now, self.total()));
        changes
    }

    /// Records what leaving gains at each destination, and lowers the shares of those where it gains
    /// nothing.
    fn lower(
        &mut self,
        here: Option<DcLoad>,
        destinations: &[Destination<'_>],
        speed: &Speed,
        periods: f64,
        now: clock::Millis,
    ) {
        for destination in destinations {
            let found = self
                .flows
                .binary_search_by(|f| f.dc.as_str().cmp(destination.dc.as_str()));
            if let Err(i) = found {
                let flow = Flow {
                    dc: destination.dc.clone(),
                    share: 0.0,
                    gains_since: None,
                    avoided_ms: None,
                };
                self.flows.insert(i, flow);
            }
        }
        // The total falls by one step, however many destinations it is spread over.
        let mut down_blind = MAX_STEP * periods;
        let seen = here.map_or(0.0, |h| self.total_shown(h.at));
        let mut down = (self.total() - seen + MAX_UNSEEN_FALL).clamp(0.0, STEP_DOWN * periods);
        for flow in &mut self.flows {
            let destination = destinations.iter().find(|d| *d.dc == flow.dc);
            let there = destination.and_then(|d| d.load.filter(|l| l.is_current(now)));
            let (Some(destination), Some(here), Some(there)) = (destination, here, there) else {
                flow.gains_since = None;
                flow.avoided_ms = None;
                flow.reduce(&mut down_blind);
                continue;
            };
            let (wait_here, wait_there) = (here.wait_ms(speed), there.wait_ms(speed));
            flow.avoided_ms = Some(if wait_there.is_infinite() {
                0.0
            } else {
                (wait_here - wait_there).max(0.0)
            });
            if destination.path.is_congested() {
                flow.gains_since = None;
                flow.share = drop_small(flow.share * 0.5_f64.powf(periods));
                continue;
            }
            let gain = gain_ms(wait_here, wait_there, destination.path.cost_ms(speed.bytes));
            let is_needless = gain <= 0.0 && !here.is_nearly_full(speed);
            if is_needless || there.room(speed) <= 0.0 {
                flow.gains_since = None;
                flow.reduce(&mut down);
            } else if gain < MIN_GAIN_MS {
                flow.gains_since = None;
            } else {
                flow.gains_since = flow.gains_since.or(Some(now));
            }
        }
    }

    /// Raises the shares of the destinations where leaving has gained for long enough, where it gains
    /// most first, up to what evens out the waits by the figures.
    fn raise(
        &mut self,
        here: Option<DcLoad>,
        destinations: &[Destination<'_>],
        speed: &Speed,
        now: clock::Millis,
    ) {
        let Some(here) = here else {
            return;
        };
        let wait_here = here.wait_ms(speed);
        // Each short data centre may take only its part of the room.
        let short = destinations
            .iter()
            .filter_map(|d| d.load)
            .filter(|l| l.is_current(now) && l.wait_ms(speed) > MAX_WAIT_THERE_MS)
            .count();
        let mut candidates: SmallVec<[(f64, usize, DcLoad); 4]> = SmallVec::new();
        for (i, flow) in self.flows.iter().enumerate() {
            let is_confirmed = flow
                .gains_since
                .is_some_and(|since| self.total() > 0.0 || now.since(since) >= CONFIRM_PERIOD);
            let destination = destinations.iter().find(|d| *d.dc == flow.dc);
            let (true, Some(destination)) = (is_confirmed, destination) else {
                continue;
            };
            let Some(there) = destination.load else {
                continue;
            };
            let cost = destination.path.cost_ms(speed.bytes);
            candidates.push((gain_ms(wait_here, there.wait_ms(speed), cost), i, there));
        }
        candidates.sort_by(|a, b| b.0.total_cmp(&a.0));
        let mut up = MAX_STEP;
        for (_, i, there) in candidates {
            let then = self.total_shown(here.at.min(there.at));
            let stays = 1.0 - then;
            let engines = f64::from(here.engines) + f64::from(there.engines);
            let even =
                (wait_here - there.wait_ms(speed)) / wait_here * f64::from(there.engines) / engines;
            let room = there.room(speed) / (short + 1) as f64;
            let by_room = room / f64::from(here.running.max(1));
            let target = then + stays * even.min(by_room);
            let step = (target - self.total()).clamp(0.0, up);
            self.flows[i].share += step;
            up -= step;
        }
    }

    /// Total share of the flow that may leave, 0 to 1.
    pub fn total(&self) -> f64 {
        self.flows.iter().map(|f| f.share).sum()
    }

    /// Total share that figures of the time `at` show; 0 before the first step.
    fn total_shown(&self, at: clock::Millis) -> f64 {
        let at = at.since(RESPONSE_LAG);
        let past = self.history.iter().rev().find(|(t, _)| *t <= at);
        past.or(self.history.first()).map_or(0.0, |(_, s)| *s)
    }

    /// Whether load may move the request with the stable hash `id_hash` to `dc`. A request is in the
    /// share of one destination at most.
    pub fn permission(&self, id_hash: u64, dc: &name::Dc) -> Permission {
        let draw = id_hash as f64 / u64::MAX as f64;
        let mut start = 0.0;
        for flow in &self.flows {
            if flow.dc != *dc {
                start += flow.share;
                continue;
            }
            let Some(avoided_ms) = flow.avoided_ms else {
                break;
            };
            if draw >= start && draw < start + flow.share {
                return Permission::Granted(avoided_ms);
            }
            return Permission::Withheld(avoided_ms);
        }
        Permission::Unlimited
    }
}

impl Flow {
    fn reduce(&mut self, down: &mut f64) {
        let step = self.share.min(*down);
        *down -= step;
        self.share = drop_small(self.share - step);
    }
}

fn drop_small(share: f64) -> f64 {
    if share < MIN_SHARE { 0.0 } else { share }
}

/// Load of a service in another data centre, as its dispatcher reported it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Neighbour {
    /// Free slots of the service in the other data centre.
    pub free_slots: u32,
    /// Number of requests that wait for a slot in the other data centre.
    pub waiting: u32,
    /// One-way network delay to the other data centre.
    pub one_way_delay: clock::Millis,
    /// Whether traffic to the other data centre is billed by volume.
    pub metered: bool,
    /// Time at which the report of the other data centre was received.
    pub reported_at: clock::Millis,
}

impl Neighbour {
    /// Whether a request leaves for this data centre, where a slot is requested for each request.
    /// `wait` is the wait expected here, `slack` the time left to start the request within its
    /// target. A metered link costs the whole slack, so that it is used only if the request would
    /// miss its target here.
    pub fn is_better(&self, wait: clock::Millis, slack: clock::Millis, now: clock::Millis) -> bool {
        let round_trip = clock::Millis(self.one_way_delay.0.saturating_mul(2));
        let is_current = now.since(self.reported_at) <= MAX_FIGURE_AGE;
        if !is_current || self.free_slots <= self.waiting || round_trip > slack {
            return false;
        }
        let cost = if self.metered { slack } else { round_trip };
        gain_ms(wait.0 as f64, 0.0, cost.0 as f64) > 0.0
    }
}
