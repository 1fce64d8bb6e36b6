//! QueuedRequest requests of one service: strict by tier, weighted fair over teams within a tier.
//!
//! A team's virtual time is the service charged to it divided by its weight; the waiting team
//! with the least goes next. A team that was idle starts at the tier's floor of virtual time, so
//! idling earns nothing; one that got more than its due keeps its debt.

use std::collections;

use base::{clock, name};

use crate::request;

/// Virtual time charged for one token at weight 1.
const UNIT: u64 = 1 << 16;

/// Idle teams are forgotten above this many in a tier, lowest debt first.
const IDLE_TEAMS: usize = 1024;

/// A waiting request.
#[derive(Clone, Debug)]
pub struct QueuedRequest {
    /// The request.
    pub request: request::SlotRequest,
    /// When it arrived, its earlier wait counted.
    pub since: clock::Millis,
}

/// Weight of the newest interval in the moving mean, as one part in this many.
const SMOOTHING: f64 = 4.0;
/// A pace not renewed for this long is forgotten.
const PACE_LIFE: clock::Millis = clock::Millis(3_000);

/// How often requests are granted while others wait behind them.
#[derive(Clone, Copy, Debug, Default)]
struct Pace {
    interval: f64,
    last: clock::Millis,
    waited: bool,
}

impl Pace {
    /// Notes a grant; `waits` tells whether others still wait.
    fn grant(&mut self, waits: bool, now: clock::Millis) {
        if self.waited {
            let interval = now.since(self.last).0 as f64;
            self.interval = if self.interval == 0.0 {
                interval
            } else {
                self.interval + (interval - self.interval) / SMOOTHING
            };
        }
        self.last = now;
        self.waited = waits;
    }

    /// The time for `count` grants, in milliseconds.
    fn time_for(&self, count: usize, now: clock::Millis) -> f64 {
        if now.since(self.last) > PACE_LIFE {
            return 0.0;
        }
        self.interval * count as f64
    }
}

#[derive(Debug, Default)]
struct Lane {
    vtime: u64,
    weight: u64,
    waiting: collections::VecDeque<QueuedRequest>,
    pace: Pace,
}

#[derive(Debug, Default)]
struct Tier {
    /// Teams with waiting requests.
    lanes: collections::BTreeMap<name::Team, Lane>,
    /// Teams without, while they have a debt.
    idle: collections::HashMap<name::Team, Lane>,
    base: u64,
    len: usize,
    pace: Pace,
}

impl Tier {
    /// A team's lane, waiting or idle.
    fn lane(&mut self, team: &name::Team) -> Option<&mut Lane> {
        match self.lanes.get_mut(team) {
            Some(lane) => Some(lane),
            None => self.idle.get_mut(team),
        }
    }

    /// Takes a request out of its lane, and the lane out of the waiting ones if it was the last.
    fn take(&mut self, team: &name::Team, ticket: request::Ticket) -> Option<QueuedRequest> {
        let lane = self.lanes.get_mut(team)?;
        let at = lane
            .waiting
            .iter()
            .position(|w| w.request.ticket == ticket)?;
        let taken = lane.waiting.remove(at);
        self.len -= 1;
        if lane.waiting.is_empty()
            && let Some((team, lane)) = self.lanes.remove_entry(team)
        {
            self.idle.insert(team, lane);
        }
        taken
    }
}

/// The waiting requests of one service.
#[derive(Debug, Default)]
pub struct Queue {
    tiers: collections::BTreeMap<u8, Tier>,
    places: collections::HashMap<request::Ticket, (u8, name::Team)>,
}

impl Queue {
    /// Adds a request behind its team's others.
    pub fn push(&mut self, ask: request::SlotRequest, now: clock::Millis) {
        self.places
            .insert(ask.ticket, (ask.class.tier, ask.team.clone()));
        let tier = self.tiers.entry(ask.class.tier).or_default();
        let base = tier.base;
        let idle = tier.idle.remove(&ask.team).unwrap_or_default();
        let lane = tier.lanes.entry(ask.team.clone()).or_insert(idle);
        if lane.waiting.is_empty() {
            lane.vtime = lane.vtime.max(base);
        }
        lane.weight = u64::from(ask.weight.max(1));
        tier.len += 1;
        let since = clock::Millis(now.0.saturating_sub(ask.waited.0));
        let entry = QueuedRequest {
            request: ask,
            since,
        };
        // A continued answer goes first: its caller already waits in the middle of it.
        if entry.request.received_tokens > 0 {
            lane.waiting.push_front(entry);
        } else {
            lane.waiting.push_back(entry);
        }
    }

    /// Whether a request waits.
    pub fn contains(&self, ticket: request::Ticket) -> bool {
        self.places.contains_key(&ticket)
    }

    /// How many requests wait.
    pub fn len(&self) -> usize {
        self.tiers.values().map(|t| t.len).sum()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// How many requests wait in tiers above `tier`.
    pub fn count_above(&self, tier: u8) -> usize {
        self.tiers.range(..tier).map(|(_, t)| t.len).sum()
    }

    /// How many requests wait in `tier` and would be served before another one of `team`.
    pub fn count_ahead(&self, tier: u8, team: &name::Team, weight: u32) -> usize {
        let Some(tier) = self.tiers.get(&tier) else {
            return 0;
        };
        let own = tier.lanes.get(team).map_or(0, |l| l.waiting.len());
        let mut total = own;
        for (name, lane) in &tier.lanes {
            if name == team {
                continue;
            }
            let due = (own + 1) as u64 * lane.weight / u64::from(weight.max(1));
            total += lane.waiting.len().min(due as usize + 1);
        }
        total
    }

    /// The wait expected behind `ahead` requests of a tier, by the pace of the tier and of the
    /// team, in milliseconds.
    pub fn expected_wait_ms(
        &self,
        tier: u8,
        team: &name::Team,
        ahead: usize,
        now: clock::Millis,
    ) -> f64 {
        let Some(tier) = self.tiers.get(&tier) else {
            return 0.0;
        };
        let by_tier = tier.pace.time_for(ahead + 1, now);
        let lane = tier.lanes.get(team).or_else(|| tier.idle.get(team));
        let Some(lane) = lane else { return by_tier };
        by_tier.max(lane.pace.time_for(lane.waiting.len() + 1, now))
    }

    /// The next request in order among those `allow` lets pass.
    pub fn next(&self, allow: impl Fn(&request::SlotRequest) -> bool) -> Option<request::Ticket> {
        for tier in self.tiers.values() {
            let mut best: Option<(u64, request::Ticket)> = None;
            for lane in tier.lanes.values() {
                let Some(w) = lane.waiting.iter().find(|w| allow(&w.request)) else {
                    continue;
                };
                if best.is_none_or(|(v, _)| lane.vtime < v) {
                    best = Some((lane.vtime, w.request.ticket));
                }
            }
            if let Some((_, ticket)) = best {
                return Some(ticket);
            }
        }
        None
    }

    /// The requests waiting, in no order.
    pub fn iter(&self) -> impl Iterator<Item = &QueuedRequest> {
        let lanes = self.tiers.values().flat_map(|t| t.lanes.values());
        lanes.flat_map(|l| l.waiting.iter())
    }

    /// Takes a request out.
    pub fn remove(&mut self, ticket: request::Ticket) -> Option<QueuedRequest> {
        let (tier, team) = self.places.remove(&ticket)?;
        self.tiers.get_mut(&tier)?.take(&team, ticket)
    }

    /// A team's request was granted: moves the tier's floor of virtual time, notes the pace and
    /// forgets idle teams.
    pub fn record_grant(&mut self, tier: u8, team: &name::Team, now: clock::Millis) {
        let Some(tier) = self.tiers.get_mut(&tier) else {
            return;
        };
        tier.pace.grant(tier.len > 0, now);
        let mut base = tier.base;
        if let Some(lane) = tier.lane(team) {
            base = base.max(lane.vtime);
            lane.pace.grant(!lane.waiting.is_empty(), now);
        }
        tier.base = base;
        if tier.idle.len() > IDLE_TEAMS {
            tier.idle.retain(|_, l| l.vtime > base);
        }
    }

    /// Charges `tokens` of service to a team; a negative charge gives back.
    pub fn charge(&mut self, tier: u8, team: &name::Team, weight: u32, tokens: i64) {
        let tier = self.tiers.entry(tier).or_default();
        if tier.lane(team).is_none() {
            let lane = Lane {
                vtime: tier.base,
                ..Lane::default()
            };
            tier.idle.insert(team.clone(), lane);
        }
        let Some(lane) = tier.lane(team) else { return };
        lane.weight = u64::from(weight.max(1));
        let amount = tokens.unsigned_abs() * UNIT / lane.weight;
        if tokens >= 0 {
            lane.vtime = lane.vtime.saturating_add(amount);
        } else {
            lane.vtime = lane.vtime.saturating_sub(amount);
        }
    }
}
