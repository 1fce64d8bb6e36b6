//! Decides which part of prompts crashes upstreams, from crashes of all hosts.
//!
//! When an upstream crashes, the attempts of all requests at it break, so sound parts are seen beside
//! the cause. Over several crashes the cause is in each of them and in no answer, while a sound part
//! is answered now and then. Parts that are always in the same prompts as the cause share its
//! crashes; they differ in that they are also answered elsewhere.

use std::collections;

use base::clock;
use smallvec::SmallVec;

use crate::crash_log;

/// Crashes within this time count once for a part: one disturbance may break many connections. Those
/// between head and first event are so rarely without a cause that they count apart much sooner.
pub const MOMENT: clock::Millis = clock::Millis(250);
const HEAD_ONLY_MOMENT: clock::Millis = clock::Millis(50);
/// Points for a moment with an attempt that broke early, or between its head and its first event.
const EARLY_POINTS: i32 = 2;
const HEAD_ONLY_POINTS: i32 = 4;
/// Points deducted for each of the latest two answers.
const ANSWER_POINTS: i32 = 2;
/// Points for a request that crashes one upstream and at once another one, where its repeat falls into
/// the same moment. Requests beside the cause rarely do.
const REPEAT_POINTS: i32 = 2;
/// Points that blame a part, and those that do if a single host reports all of its crashes: the fault
/// may be that host's.
const BLAME_POINTS: i32 = 12;
const SINGLE_HOST_POINTS: i32 = 16;
/// Points from which the hosts are asked whether they know answers to a part.
pub const QUESTION_POINTS: i32 = 4;
/// Numbers of requests and upstreams that must be among the crashes of a part.
const MIN_REQUESTS: usize = 2;
const SINGLE_HOST_REQUESTS: usize = 3;
const MIN_UPSTREAMS: usize = 2;
/// Share of a part's crashes that another part with fewer answers must have to be the likelier cause.
const SAME_CRASHES_SHARE: f64 = 0.8;
/// The same for a part further back in the prompts.
const BRANCH_CRASHES_SHARE: f64 = 0.3;
/// Points that blame a part although parts further back may be the causes of its crashes.
const UNSPLIT_POINTS: i32 = 24;
/// Number of requests among the crashes of a part that is blamed because its prompts have nothing else
/// in common.
const LONE_REQUESTS: usize = 4;
/// Number of parts further back that would all have to be causes for the part not to be one. Each of its
/// latest answers, which came before the crashes, adds one.
const MANY_CAUSES: usize = 4;
/// Number of parts that are examined for being the only thing that requests have in common.
const MAX_LONE_CANDIDATES: usize = 64;
/// Share of a part's upstreams that crashed with another part, more often seen, to be beside it.
const BESIDE_SHARE: f64 = 0.8;

/// A crash, with the time by the clock of the host that decides.
#[derive(Clone, Debug)]
pub struct Record {
    /// When the connection broke.
    pub at: clock::Millis,
    /// Identifies the process that reported the crash.
    pub process: u64,
    /// The crash as reported; its age is not used.
    pub crash: crash_log::Crash,
}

/// Latest two times at which any host saw an answer to a part, latest first.
pub type Answers = collections::HashMap<u64, SmallVec<[clock::Millis; 2]>>;

/// What speaks for and against a part.
#[derive(Clone, Debug, Default)]
pub struct Case {
    /// Points from crashes since the latest answer, less those for answers.
    pub points: i32,
    /// Number of latest answers, 2 at most.
    pub answers: usize,
    /// Distinct requests among the crashes since the latest answer.
    pub requests: SmallVec<[u64; 8]>,
    /// Distinct upstreams among these crashes.
    pub upstreams: SmallVec<[u64; 8]>,
    /// Distinct processes that reported these crashes.
    pub processes: SmallVec<[u64; 8]>,
    /// Distinct teams of the requests.
    pub teams: SmallVec<[u64; 2]>,
    /// Number of crashes since the latest answer.
    pub crashes: usize,
    /// Position of the part in its prompts; the largest one seen.
    pub position: usize,
    /// Whether the part was the last shared one of a prompt.
    pub is_last: bool,
    /// Number of crashes before the latest answer.
    pub refuted: usize,
    /// Points for requests that crashed a second upstream at once. They count only where the part is the
    /// one thing that the requests have in common.
    pub repeat_points: i32,
    moment: Option<Moment>,
}

/// Crashes that count once.
#[derive(Clone, Copy, Debug)]
struct Moment {
    begin: clock::Millis,
    points: i32,
    /// Whether a request that crashed a second upstream was counted.
    has_repeat: bool,
}

impl Case {
    fn add(&mut self, record: &Record, position: usize) {
        let crash = &record.crash;
        let (points, window) = match crash.progress {
            crash_log::Progress::Early => (EARLY_POINTS, MOMENT),
            crash_log::Progress::HeadOnly => (HEAD_ONLY_POINTS, HEAD_ONLY_MOMENT),
        };
        let is_repeat =
            self.requests.contains(&crash.request) && !self.upstreams.contains(&crash.upstream);
        match &mut self.moment {
            // A stronger sign replaces the weaker one of its moment.
            Some(m) if m.points < points && record.at.since(m.begin) < MOMENT => {
                self.points += points - m.points;
                m.points = points;
            }
            Some(m) if record.at.since(m.begin) < window => {
                if is_repeat && !std::mem::replace(&mut m.has_repeat, true) {
                    self.repeat_points += REPEAT_POINTS;
                }
            }
            moment => {
                *moment = Some(Moment {
                    begin: record.at,
                    points,
                    has_repeat: false,
                });
                self.points += points;
            }
        }
        insert(&mut self.requests, crash.request);
        insert(&mut self.upstreams, crash.upstream);
        insert(&mut self.processes, record.process);
        insert(&mut self.teams, crash.team);
        self.crashes += 1;
        self.position = self.position.max(position);
        self.is_last |= position + 1 == crash.parts.len();
    }

    fn is_conclusive(&self, is_only_host: bool) -> bool {
        let requests = if self.is_seen_by_all(is_only_host) {
            MIN_REQUESTS
        } else {
            SINGLE_HOST_REQUESTS
        };
        self.has_points(self.points, is_only_host)
            && self.requests.len() >= requests
            && self.upstreams.len() >= MIN_UPSTREAMS
    }

    /// Whether `points` are enough for the hosts that reported them.
    fn has_points(&self, points: i32, is_only_host: bool) -> bool {
        let needed = if self.is_seen_by_all(is_only_host) {
            BLAME_POINTS
        } else {
            SINGLE_HOST_POINTS
        };
        points >= needed
    }

    /// Whether more than one host reported the crashes, or no other one could.
    fn is_seen_by_all(&self, is_only_host: bool) -> bool {
        self.processes.len() > 1 || is_only_host
    }
}

fn insert<const N: usize>(set: &mut SmallVec<[u64; N]>, value: u64) {
    if !set.contains(&value) {
        set.push(value);
    }
}

/// Returns the case of each part in `records`, which are ordered by time.
pub fn cases(records: &[&Record], answers: &Answers) -> collections::HashMap<u64, Case> {
    let mut cases: collections::HashMap<u64, Case> = collections::HashMap::new();
    for record in records {
        for (position, part) in record.crash.parts.iter().enumerate() {
            let latest_answer = answers.get(part).and_then(|times| times.first());
            if latest_answer.is_some_and(|answered| *answered >= record.at) {
                continue;
            }
            cases.entry(*part).or_default().add(record, position);
        }
    }
    for record in records {
        for part in &record.crash.parts {
            let Some(case) = cases.get_mut(part) else {
                continue;
            };
            let answered = answers.get(part).and_then(|times| times.first());
            case.refuted += usize::from(answered.is_some_and(|at| *at >= record.at));
        }
    }
    for (part, case) in &mut cases {
        case.answers = answers.get(part).map_or(0, |times| times.len());
        case.points -= ANSWER_POINTS * case.answers as i32;
    }
    cases
}

/// Returns the part to blame, if the evidence is conclusive for one. `is_only_host` is whether no
/// other host could have reported crashes.
pub fn find_cause(
    records: &[&Record],
    cases: &collections::HashMap<u64, Case>,
    is_only_host: bool,
) -> Option<u64> {
    if let Some(part) = find_only_common(records, cases, is_only_host) {
        return Some(part);
    }
    let (first, case) = cases
        .iter()
        .filter(|(_, case)| case.is_conclusive(is_only_host))
        .max_by_key(|(part, case)| (case.points, **part))?;
    match likelier_part(records, cases, (*first, case)) {
        Some((other, other_case)) if other_case.is_conclusive(is_only_host) => Some(other),
        Some(_) if case.answers > 0 => None,
        None if case.is_last => Some(*first),
        _ => (case.points >= UNSPLIT_POINTS).then_some(*first),
    }
}

/// Returns a part that explains the crashes of `first` better: one that has nearly all of them and
/// fewer answers, or one further back that has many of them. Prompts branch from their beginning,
/// so a part is seen beside each cause that comes after it.
fn likelier_part<'a>(
    records: &[&Record],
    cases: &'a collections::HashMap<u64, Case>,
    (first, case): (u64, &Case),
) -> Option<(u64, &'a Case)> {
    let mut shared: collections::HashMap<u64, usize> = collections::HashMap::new();
    let with_first = records.iter().filter(|r| r.crash.parts.contains(&first));
    for part in with_first.flat_map(|r| &r.crash.parts) {
        *shared.entry(*part).or_default() += 1;
    }
    let mut best: Option<(u64, &Case)> = None;
    for (part, count) in shared {
        let Some(other) = cases.get(&part).filter(|_| part != first) else {
            continue;
        };
        let share = count as f64 / case.crashes as f64;
        let is_same = share >= SAME_CRASHES_SHARE && other.answers < case.answers;
        let is_branch = share >= BRANCH_CRASHES_SHARE
            && other.position > case.position
            && other.answers <= case.answers
            && other.requests.len() >= MIN_REQUESTS;
        if !is_same && !is_branch {
            continue;
        }
        if best.is_none_or(|(p, b)| (other.points, part) > (b.points, p)) {
            best = Some((part, other));
        }
    }
    best
}

/// Returns a part that others follow and that is the only thing in common of several requests that
/// crashed upstreams: no few parts further back explain their crashes.
fn find_only_common(
    records: &[&Record],
    cases: &collections::HashMap<u64, Case>,
    is_only_host: bool,
) -> Option<u64> {
    // Each part has those behind it that are in the same crashes among its suspects, so only the last one
    // of them is left.
    let mut last_ones = collections::HashMap::new();
    for (part, case) in cases {
        let points = case.points + case.repeat_points;
        if case.is_last
            || case.refuted > 0
            || case.requests.len() < LONE_REQUESTS
            || !case.has_points(points, is_only_host)
        {
            continue;
        }
        let last = last_ones
            .entry((&case.requests[..], &case.upstreams[..]))
            .or_insert((*part, case));
        if (case.position, *part) > (last.1.position, last.0) {
            *last = (*part, case);
        }
    }
    let mut candidates: Vec<(u64, &Case)> = last_ones.into_values().collect();
    candidates
        .sort_unstable_by_key(|(part, case)| std::cmp::Reverse((case.upstreams.len(), *part)));
    let best = candidates
        .into_iter()
        .take(MAX_LONE_CANDIDATES)
        .find(|(part, case)| !is_beside(cases, case) && has_many_causes(records, cases, *part));
    best.map(|(part, _)| part)
}

/// Parts that may be the cause of a crash.
type Suspects = SmallVec<[u64; 4]>;

/// Whether too many parts further back would have to be causes to explain the crashes of `first`.
fn has_many_causes(
    records: &[&Record],
    cases: &collections::HashMap<u64, Case>,
    first: u64,
) -> bool {
    let needed = MANY_CAUSES + cases[&first].answers;
    let mut unexplained = suspects_behind(records, cases, first);
    for _ in 0..needed {
        let mut shares: collections::HashMap<u64, usize> = collections::HashMap::new();
        for suspect in unexplained.iter().flatten() {
            *shares.entry(*suspect).or_default() += 1;
        }
        match shares.into_iter().max_by_key(|(part, n)| (*n, *part)) {
            Some((part, _)) => unexplained.retain(|s| !s.contains(&part)),
            // Nothing behind `first` explains the remaining requests.
            None if unexplained.pop().is_none() => return false,
            None => {}
        }
    }
    true
}

/// Returns the suspects further back for each request that crashed with `first`. Parts that were
/// answered since are none. A request beside the cause breaks with the upstream, so those of other
/// prompts with `first` at the same upstream count too.
fn suspects_behind(
    records: &[&Record],
    cases: &collections::HashMap<u64, Case>,
    first: u64,
) -> Vec<Suspects> {
    let mut at_upstream: collections::HashMap<u64, Suspects> = collections::HashMap::new();
    let mut crashes: Vec<(u64, u64)> = Vec::new();
    for record in records {
        let crash = &record.crash;
        let Some(position) = crash.parts.iter().position(|p| *p == first) else {
            continue;
        };
        let is_open = |part: &u64| {
            let case = cases.get(part);
            case.is_some_and(|c| c.requests.contains(&crash.request))
        };
        if !is_open(&first) {
            continue;
        }
        let suspects = at_upstream.entry(crash.upstream).or_default();
        let behind = crash.parts[position + 1..].iter();
        suspects.extend(behind.filter(|p| is_open(p)).copied());
        crashes.push((crash.request, crash.upstream));
    }
    let mut by_request: collections::HashMap<u64, Suspects> = collections::HashMap::new();
    for suspects in at_upstream.values_mut() {
        suspects.sort_unstable();
        suspects.dedup();
    }
    for (request, upstream) in crashes {
        let suspects = by_request.entry(request).or_default();
        suspects.extend_from_slice(&at_upstream[&upstream]);
    }
    for suspects in by_request.values_mut() {
        suspects.sort_unstable();
        suspects.dedup();
    }
    by_request.into_values().collect()
}

/// Whether another part crashed nearly all upstreams that the part of `case` did, and more: the
/// requests of a part that is often asked for break beside the cause.
fn is_beside(cases: &collections::HashMap<u64, Case>, case: &Case) -> bool {
    let own: collections::HashSet<u64> = case.upstreams.iter().copied().collect();
    cases.values().any(|other| {
        if other.upstreams.len() <= own.len() {
            return false;
        }
        let shared = other.upstreams.iter().filter(|u| own.contains(u)).count();
        shared as f64 >= BESIDE_SHARE * own.len() as f64
    })
}
