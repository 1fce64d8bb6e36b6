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
const MOMENT: clock::Millis = clock::Millis(250);
const HEAD_ONLY_MOMENT: clock::Millis = clock::Millis(50);
/// Points for a moment with an attempt that broke early, or between its head and its first event.
const EARLY_POINTS: i32 = 2;
const HEAD_ONLY_POINTS: i32 = 4;
/// Points deducted for each of the latest two answers.
const ANSWER_POINTS: i32 = 2;
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
    /// When the latest moment began, and the points counted for it.
    moment: Option<(clock::Millis, i32)>,
}

impl Case {
    fn add(&mut self, record: &Record, position: usize) {
        let crash = &record.crash;
        let (points, window) = match crash.progress {
            crash_log::Progress::Early => (EARLY_POINTS, MOMENT),
            crash_log::Progress::HeadOnly => (HEAD_ONLY_POINTS, HEAD_ONLY_MOMENT),
        };
        match &mut self.moment {
            // A stronger sign replaces the weaker one of its moment.
            Some((begin, counted)) if *counted < points && record.at.since(*begin) < MOMENT => {
                self.points += points - *counted;
                *counted = points;
            }
            Some((begin, _)) if record.at.since(*begin) < window => {}
            moment => {
                *moment = Some((record.at, points));
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
        let (points, requests) = if self.processes.len() > 1 || is_only_host {
            (BLAME_POINTS, MIN_REQUESTS)
        } else {
            (SINGLE_HOST_POINTS, SINGLE_HOST_REQUESTS)
        };
        self.points >= points
            && self.requests.len() >= requests
            && self.upstreams.len() >= MIN_UPSTREAMS
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
