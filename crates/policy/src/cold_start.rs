//! Cold upstreams: until when an upstream is cold, which host may send to it, and how much.
//!
//! An upstream that has just started, or that returns to traffic, bears few requests per second. The
//! limit holds for the sum over all hosts, so while an upstream is cold one host alone sends to it: its
//! owner. Hosts determine the owner from the list of registered hosts without messages.

use std::collections;

use base::{clock, hash, name};

/// Time within which an owner sends at most its allowance: a second, and the extra round trip between
/// regions (40 ms) by which a request on a new connection arrives later than the one that follows it on
/// an open connection.
pub const WINDOW: clock::Millis = clock::Millis(1_050);
/// Time for which a host must have been the owner by its own lists before it sends. Hosts that start
/// together read incomplete lists for two to three seconds, by which several of them are the owner.
pub const SETTLE_TIME: clock::Millis = clock::Millis(3_000);
/// Time within which hosts usually learn that an upstream has turned cold in service. Those that have not
/// still send at their usual rate, and the owner sends nothing: with half its allowance, an engine with 8
/// requests per second got up to 22 in a second (bound 19) when two data centres turned cold at once.
pub const NEWS_TIME: clock::Millis = clock::Millis(1_500);
/// Longest remaining warm-up time that is believed. A greater figure would take an upstream out of use
/// for as long as a faulty entry says.
pub const MAX_LEFT: clock::Millis = clock::Millis::secs(60);

/// Where the news that an upstream is cold comes from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// The upstream's entry in the store, which may arrive seconds after it was written.
    Entry,
    /// The first entry of a process, which no host has sent to yet.
    FirstEntry,
    /// A response of the upstream to a request of this host.
    Response {
        /// When the request was sent.
        sent_at: clock::Millis,
    },
    /// The end of the drain of the upstream's data centre.
    DrainEnd,
}

impl Source {
    /// Stable text of the source in log lines.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::FirstEntry => "first_entry",
            Self::Response { .. } => "response",
            Self::DrainEnd => "drain_end",
        }
    }
}

/// Time for which an upstream is cold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Period {
    /// From when on all hosts are expected to know of it, so that only the owner sends.
    pub known_from: clock::Millis,
    /// When the latest news of it was read.
    pub read_at: clock::Millis,
    /// When it ends.
    pub until: clock::Millis,
    /// Where the news comes from.
    pub source: Source,
}

/// Determines the period that holds after the news, read at `now`, that the upstream stays cold for
/// `left` (0: it is warm). `None` if the upstream is warm.
///
/// News replaces what was known only if it is certain to be newer; otherwise it can only prolong the
/// period. An entry says nothing about a period known from a response or from the end of a drain, because
/// it may have been written before; a response is newer if its request was sent in this period.
pub fn next_period(
    current: Option<Period>,
    left: clock::Millis,
    source: Source,
    now: clock::Millis,
) -> Option<Period> {
    let current = current.filter(|p| now < p.until);
    let until = now + left.min(MAX_LEFT);
    let known_from = match source {
        Source::FirstEntry | Source::DrainEnd => now,
        Source::Entry | Source::Response { .. } => {
            current.map_or(now + NEWS_TIME, |p| p.known_from)
        }
    };
    let news = (until > now).then_some(Period {
        known_from,
        read_at: now,
        until,
        source,
    });
    let Some(known) = current else {
        return news;
    };
    let replaces = match source {
        Source::Entry | Source::FirstEntry => {
            matches!(known.source, Source::Entry | Source::FirstEntry)
        }
        Source::Response { sent_at } => sent_at >= known.read_at,
        Source::DrainEnd => false,
    };
    if replaces {
        return news;
    }
    let Some(news) = news else {
        return Some(known);
    };
    // An entry that prolongs another period must not make it one that the next entry ends.
    let source = if source == Source::Entry {
        known.source
    } else {
        source
    };
    Some(Period {
        until: known.until.max(news.until),
        source,
        ..news
    })
}

/// Requests that the owner of a cold upstream may send within [`WINDOW`]: no more than `requests_per_s`,
/// and half of what the upstream bears (`requests_per_s` x `factor` + `extra`), because two hosts that
/// know different lists may both take themselves for the owner. 0 if a figure is negative or no number.
pub fn allowance(requests_per_s: f64, factor: f64, extra: f64) -> u32 {
    let bound = requests_per_s.mul_add(factor, extra);
    if bound.is_nan() {
        return 0;
    }
    requests_per_s.min(bound / 2.0).floor() as u32
}

/// A registered host.
#[derive(Clone, Debug, Eq, PartialEq)]
struct Candidate {
    name_hash: u64,
    host: name::Host,
    dc: name::Dc,
}

/// What a new reading of the list of hosts means for the owners known so far.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reading {
    /// The list is the same, so all owners stay.
    Same,
    /// The list differs.
    Changed,
    /// The list before was too old or missing: other hosts may have been owners meanwhile.
    Resumed,
}

/// Registered hosts as last read by this host.
#[derive(Clone, Debug, Default)]
pub struct HostList {
    hosts: Vec<Candidate>,
    /// When it was first read in this form, without interruption.
    since: clock::Millis,
    /// Until when it holds; `None` if no list was read.
    valid_until: Option<clock::Millis>,
}

impl HostList {
    /// Replaces the list by `hosts`, in the order of their names, which holds until `valid_until`.
    pub fn update<'a>(
        &mut self,
        hosts: impl Iterator<Item = (&'a name::Host, &'a name::Dc)>,
        valid_until: clock::Millis,
        now: clock::Millis,
    ) -> Reading {
        let was_valid = self.is_valid(now);
        self.valid_until = Some(valid_until);
        let candidates = hosts.map(|(host, dc)| Candidate {
            name_hash: hash::stable_hash(host.as_str().as_bytes()),
            host: host.clone(),
            dc: dc.clone(),
        });
        let candidates: Vec<Candidate> = candidates.collect();
        if was_valid && candidates == self.hosts {
            return Reading::Same;
        }
        self.hosts = candidates;
        self.since = now;
        if was_valid {
            Reading::Changed
        } else {
            Reading::Resumed
        }
    }

    /// Whether the list was read recently enough to determine owners.
    pub fn is_valid(&self, now: clock::Millis) -> bool {
        self.valid_until.is_some_and(|until| now < until)
    }

    /// The owner of an upstream in the data centre `dc`: the host with the highest rendezvous hash among
    /// those of `dc`, or among all hosts if none is there. `None` without hosts.
    pub fn owner(&self, upstream: &name::Upstream, dc: &name::Dc) -> Option<&name::Host> {
        let key = hash::stable_hash(upstream.as_str().as_bytes());
        let rank = |c: &&Candidate| {
            let weight = hash::stable_hash(&(key ^ c.name_hash).to_le_bytes());
            (c.dc == *dc, weight)
        };
        self.hosts.iter().max_by_key(rank).map(|c| &c.host)
    }
}

/// Since when this host has been the owner of one upstream by its own lists.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Ownership(Option<clock::Millis>);

impl Ownership {
    /// Updates it after `reading` of `list`, or with [`Reading::Changed`] for an upstream that is new or
    /// has another data centre.
    pub fn update(
        &mut self,
        reading: Reading,
        list: &HostList,
        own: &name::Host,
        upstream: (&name::Upstream, &name::Dc),
    ) {
        if reading == Reading::Same {
            return;
        }
        let is_owner = list.owner(upstream.0, upstream.1) == Some(own);
        let since = self.0.filter(|_| reading == Reading::Changed);
        self.0 = is_owner.then(|| since.unwrap_or(list.since));
    }

    /// Whether this host may send to the upstream while it is cold.
    pub fn holds(self, list: &HostList, now: clock::Millis) -> bool {
        let is_settled = self.0.is_some_and(|at| now.since(at) >= SETTLE_TIME);
        is_settled && list.is_valid(now)
    }
}

/// Requests that this host has sent to one upstream within [`WINDOW`].
#[derive(Clone, Debug, Default)]
pub struct SendWindow(collections::VecDeque<clock::Millis>);

impl SendWindow {
    /// Records a request that is sent at `now`.
    pub fn record(&mut self, now: clock::Millis) {
        while self.0.front().is_some_and(|at| now.since(*at) >= WINDOW) {
            self.0.pop_front();
        }
        self.0.push_back(now);
    }

    /// Takes back a request that was sent at `sent_at` and did not reach the upstream.
    pub fn take_back(&mut self, sent_at: clock::Millis) {
        if let Some(i) = self.0.iter().rposition(|at| *at == sent_at) {
            self.0.remove(i);
        }
    }

    /// Time until the next request may be sent; zero if it may be sent now, `None` if `allowance` is 0.
    pub fn wait(&self, allowance: u32, now: clock::Millis) -> Option<clock::Millis> {
        if allowance == 0 {
            return None;
        }
        let Some(blocking) = self.0.len().checked_sub(allowance as usize) else {
            return Some(clock::Millis::ZERO);
        };
        let free_at = self.0.get(blocking).map_or(now, |at| *at + WINDOW);
        Some(free_at.since(now))
    }

    /// Whether no request was sent within [`WINDOW`].
    pub fn is_idle(&self, now: clock::Millis) -> bool {
        self.0.back().is_none_or(|at| now.since(*at) >= WINDOW)
    }
}
