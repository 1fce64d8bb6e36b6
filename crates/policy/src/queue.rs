//! Waiting requests of one service, ordered by tier and, within a tier, by weighted fair queuing
//! over teams.
//!
//! The virtual time of a team is the service charged to it divided by its weight; the waiting team
//! with the lowest virtual time is served next. A team that was idle starts at the minimum virtual
//! time of its tier, so that idle time gains it no advantage. A team that received more than its
//! share keeps its higher virtual time while it is idle.

use std::collections;

use base::{clock, name};

use crate::request;

/// Virtual time charged for one token of a team with weight 1.
const VIRTUAL_TIME_PER_TOKEN: u64 = 1 << 16;

/// Number of idle teams in a tier above which those without excess virtual time are removed.
const MAX_IDLE_TEAMS: usize = 1024;

/// A slot request in the queue, with the time at which it started to wait.
#[derive(Clone, Debug)]
pub struct QueuedRequest {
    /// Slot request that waits for a grant.
    pub request: request::SlotRequest,
    /// Time at which the request started to wait, before it reached this queue if it waited
    /// elsewhere.
    pub waiting_since: clock::Millis,
}

/// Divisor of a new sample in the moving mean of grant intervals: the newest interval has 1/4 of
/// the weight.
const MEAN_SAMPLES: f64 = 4.0;
/// Time without a grant after which the measured grant rate is ignored.
const GRANT_RATE_TTL: clock::Millis = clock::Millis(3_000);

/// Mean interval between grants while other requests wait.
#[derive(Clone, Copy, Debug, Default)]
struct GrantRate {
    interval_ms: f64,
    last_grant: clock::Millis,
    had_waiting: bool,
}

impl GrantRate {
    /// Records a grant; `has_waiting` is whether other requests still wait.
    fn record(&mut self, has_waiting: bool, now: clock::Millis) {
        if self.had_waiting {
            let interval_ms = now.since(self.last_grant).0 as f64;
            self.interval_ms = if self.interval_ms == 0.0 {
                interval_ms
            } else {
                self.interval_ms + (interval_ms - self.interval_ms) / MEAN_SAMPLES
            };
        }
        self.last_grant = now;
        self.had_waiting = has_waiting;
    }

    /// Records that no request waits any more although none was granted: the time until the next
    /// grant says nothing about how fast slots become free.
    fn interrupt(&mut self) {
        self.had_waiting = false;
    }

    /// Expected time for `count` grants, in milliseconds; 0 if the rate is unknown.
    fn expected_ms(&self, count: usize, now: clock::Millis) -> f64 {
        if now.since(self.last_grant) > GRANT_RATE_TTL {
            return 0.0;
        }
        self.interval_ms * count as f64
    }
}

#[derive(Debug, Default)]
struct TeamQueue {
    virtual_time: u64,
    weight: u64,
    waiting: collections::VecDeque<QueuedRequest>,
    grant_rate: GrantRate,
}

#[derive(Debug, Default)]
struct Tier {
    /// Queues of teams with waiting requests.
    active: collections::BTreeMap<name::Team, TeamQueue>,
    /// Queues of teams without waiting requests, kept for their virtual time.
    idle: collections::HashMap<name::Team, TeamQueue>,
    min_virtual_time: u64,
    len: usize,
    grant_rate: GrantRate,
}

impl Tier {
    /// Returns the queue of a team, active or idle.
    fn find(&mut self, team: &name::Team) -> Option<&mut TeamQueue> {
        match self.active.get_mut(team) {
            Some(queue) => Some(queue),
            None => self.idle.get_mut(team),
        }
    }

    /// Removes a request from the queue of its team; the queue becomes idle if it is then empty.
    fn remove(&mut self, team: &name::Team, ticket: request::Ticket) -> Option<QueuedRequest> {
        let queue = self.active.get_mut(team)?;
        let index = queue
            .waiting
            .iter()
            .position(|w| w.request.ticket == ticket)?;
        let removed = queue.waiting.remove(index);
        self.len -= 1;
        if queue.waiting.is_empty()
            && let Some((team, queue)) = self.active.remove_entry(team)
        {
            self.idle.insert(team, queue);
        }
        removed
    }
}

/// Queue of the waiting requests of one service.
#[derive(Debug, Default)]
pub struct Queue {
    tiers: collections::BTreeMap<u8, Tier>,
    locations: collections::HashMap<request::Ticket, (u8, name::Team)>,
}

impl Queue {
    /// Adds a request at the end of its team's queue, or at the front if it resumes a response.
    pub fn push(&mut self, request: request::SlotRequest, now: clock::Millis) {
        self.locations
            .insert(request.ticket, (request.class.tier, request.team.clone()));
        let tier = self.tiers.entry(request.class.tier).or_default();
        let min_virtual_time = tier.min_virtual_time;
        let idle = tier.idle.remove(&request.team).unwrap_or_default();
        let queue = tier.active.entry(request.team.clone()).or_insert(idle);
        if queue.waiting.is_empty() {
            queue.virtual_time = queue.virtual_time.max(min_virtual_time);
        }
        queue.weight = u64::from(request.weight.max(1));
        tier.len += 1;
        let waiting_since = clock::Millis(now.0.saturating_sub(request.waited.0));
        let entry = QueuedRequest {
            request,
            waiting_since,
        };
        // A resumed response goes first, because its client already received part of it.
        if entry.request.received_tokens > 0 {
            queue.waiting.push_front(entry);
        } else {
            queue.waiting.push_back(entry);
        }
    }

    /// Whether the request with this ticket is in the queue.
    pub fn contains(&self, ticket: request::Ticket) -> bool {
        self.locations.contains_key(&ticket)
    }

    /// Number of waiting requests in all tiers.
    pub fn len(&self) -> usize {
        self.tiers.values().map(|t| t.len).sum()
    }

    /// Whether no request is waiting in any tier.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Number of requests that wait in tiers of higher priority than `tier`.
    pub fn count_above(&self, tier: u8) -> usize {
        self.tiers.range(..tier).map(|(_, t)| t.len).sum()
    }

    /// Estimated number of waiting requests in `tier` that are served before a new request of
    /// `team`.
    pub fn count_ahead(&self, tier: u8, team: &name::Team, weight: u32) -> usize {
        let Some(tier) = self.tiers.get(&tier) else {
            return 0;
        };
        let own = tier.active.get(team).map_or(0, |q| q.waiting.len());
        let mut total = own;
        for (name, queue) in &tier.active {
            if name == team {
                continue;
            }
            let served_before = (own + 1) as u64 * queue.weight / u64::from(weight.max(1));
            total += queue.waiting.len().min(served_before as usize + 1);
        }
        total
    }

    /// Expected wait behind `ahead` requests of a tier, in milliseconds, from the grant rates of
    /// the tier and of the team. The result is 0 if no grant rate is known.
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
        let by_tier = tier.grant_rate.expected_ms(ahead + 1, now);
        let queue = tier.active.get(team).or_else(|| tier.idle.get(team));
        let Some(queue) = queue else { return by_tier };
        by_tier.max(queue.grant_rate.expected_ms(queue.waiting.len() + 1, now))
    }

    /// Ticket of the first request in queue order that `allow` accepts.
    pub fn next(&self, allow: impl Fn(&request::SlotRequest) -> bool) -> Option<request::Ticket> {
        for tier in self.tiers.values() {
            let mut best: Option<(u64, request::Ticket)> = None;
            for queue in tier.active.values() {
                let Some(w) = queue.waiting.iter().find(|w| allow(&w.request)) else {
                    continue;
                };
                if best.is_none_or(|(v, _)| queue.virtual_time < v) {
                    best = Some((queue.virtual_time, w.request.ticket));
                }
            }
            if let Some((_, ticket)) = best {
                return Some(ticket);
            }
        }
        None
    }

    /// All waiting requests, ordered by tier and team, not by queue order.
    pub fn iter(&self) -> impl Iterator<Item = &QueuedRequest> {
        let queues = self.tiers.values().flat_map(|t| t.active.values());
        queues.flat_map(|q| q.waiting.iter())
    }

    /// Removes a request; returns `None` if it is not in the queue.
    pub fn remove(&mut self, ticket: request::Ticket) -> Option<QueuedRequest> {
        let (tier, team) = self.locations.remove(&ticket)?;
        self.tiers.get_mut(&tier)?.remove(&team, ticket)
    }

    /// Removes a request that is not granted; returns `None` if it is not in the queue.
    pub fn cancel(&mut self, ticket: request::Ticket) -> Option<QueuedRequest> {
        let (tier, team) = self.locations.get(&ticket)?.clone();
        let removed = self.remove(ticket);
        let tier = self.tiers.get_mut(&tier)?;
        if tier.len == 0 {
            tier.grant_rate.interrupt();
        }
        if let Some(queue) = tier.find(&team)
            && queue.waiting.is_empty()
        {
            queue.grant_rate.interrupt();
        }
        removed
    }

    /// Forgets the grant rates, which a pause of the process has made meaningless.
    pub fn forget_grant_rates(&mut self) {
        for tier in self.tiers.values_mut() {
            tier.grant_rate = GrantRate::default();
            for queue in tier.active.values_mut().chain(tier.idle.values_mut()) {
                queue.grant_rate = GrantRate::default();
            }
        }
    }

    /// Records that a request of `team` was granted: raises the minimum virtual time of the tier,
    /// updates the grant rates and removes idle teams if there are too many.
    pub fn record_grant(&mut self, tier: u8, team: &name::Team, now: clock::Millis) {
        let Some(tier) = self.tiers.get_mut(&tier) else {
            return;
        };
        tier.grant_rate.record(tier.len > 0, now);
        let mut min_virtual_time = tier.min_virtual_time;
        if let Some(queue) = tier.find(team) {
            min_virtual_time = min_virtual_time.max(queue.virtual_time);
            queue.grant_rate.record(!queue.waiting.is_empty(), now);
        }
        tier.min_virtual_time = min_virtual_time;
        if tier.idle.len() > MAX_IDLE_TEAMS {
            tier.idle.retain(|_, q| q.virtual_time > min_virtual_time);
        }
    }

    /// Charges `tokens` of service to a team; a negative amount is a refund.
    pub fn charge(&mut self, tier: u8, team: &name::Team, weight: u32, tokens: i64) {
        let tier = self.tiers.entry(tier).or_default();
        if tier.find(team).is_none() {
            let queue = TeamQueue {
                virtual_time: tier.min_virtual_time,
                ..TeamQueue::default()
            };
            tier.idle.insert(team.clone(), queue);
        }
        let Some(queue) = tier.find(team) else { return };
        queue.weight = u64::from(weight.max(1));
        let amount = tokens.unsigned_abs() * VIRTUAL_TIME_PER_TOKEN / queue.weight;
        if tokens >= 0 {
            queue.virtual_time = queue.virtual_time.saturating_add(amount);
        } else {
            queue.virtual_time = queue.virtual_time.saturating_sub(amount);
        }
    }
}
