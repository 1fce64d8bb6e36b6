//! Attempts of this host after which an upstream may have crashed, and prompt parts that upstreams
//! answered.
//!
//! The leader decides from the logs of all hosts whether a part of prompts crashes upstreams.

use std::collections;

use base::clock;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

/// Time for which crashes and answers are remembered.
pub const MEMORY: clock::Millis = clock::Millis::secs(120);
/// Time after its first event after which a stream shows that its prompt does not crash upstreams.
pub const SURVIVAL_TIME: clock::Millis = clock::Millis(500);
/// Number of crashes that are remembered.
const MAX_CRASHES: usize = 256;
/// Number of parts of one crash that are remembered; more do not fit into a request head.
pub const MAX_PARTS: usize = 4_096;
/// Number of parts of all crashes that are remembered.
const MAX_CRASH_PARTS: usize = 32_768;
/// Number of parts above which the older answers are forgotten.
const MAX_ANSWERED_PARTS: usize = 32_768;

/// Identifiers of the prompt parts that other requests may share.
pub type SharedParts = SmallVec<[u64; 4]>;
/// Ages of the latest answers, in ascending order.
pub type AnswerAges = SmallVec<[clock::Millis; 2]>;

/// How far an attempt had come when its connection broke.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Progress {
    /// There was no response yet, or the answer had just begun.
    Early,
    /// The upstream had sent the head of its response and no event. Prompts that crash upstreams end
    /// like this; others rarely do.
    HeadOnly,
}

/// An attempt whose connection broke early in its response, or before it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Crash {
    /// Position in the log of the process, from 1.
    pub number: u64,
    /// Time since the connection broke, when the crash is told.
    pub age: clock::Millis,
    /// Shared parts of the prompt, in their order.
    pub parts: SharedParts,
    /// Hash of the request's id.
    pub request: u64,
    /// Hash of the team's name; 0 without a team.
    pub team: u64,
    /// Hash that identifies the upstream and its start.
    pub upstream: u64,
    /// How far the attempt had come.
    pub progress: Progress,
}

/// Log of one process of a host.
#[derive(Debug, Default)]
pub struct CrashLog {
    /// Time of each crash; the ages are not set.
    crashes: collections::VecDeque<(clock::Millis, Crash)>,
    last_number: u64,
    /// For each part, the latest times at which an answer to it went well, latest first.
    answered: collections::HashMap<u64, SmallVec<[clock::Millis; 2]>>,
}

impl CrashLog {
    /// Adds a crash; its number and age are set here.
    pub fn record_crash(&mut self, mut crash: Crash, now: clock::Millis) {
        self.last_number += 1;
        crash.number = self.last_number;
        crash.parts.truncate(MAX_PARTS);
        self.crashes.push_back((now, crash));
        let mut part_count: usize = self.crashes.iter().map(|(_, c)| c.parts.len()).sum();
        while self.crashes.len() > MAX_CRASHES || part_count > MAX_CRASH_PARTS {
            let progresses = self.crashes.iter().map(|(_, c)| c.progress);
            let removed = self.crashes.remove(least_telling(progresses));
            part_count -= removed.map_or(0, |(_, c)| c.parts.len());
        }
    }

    /// Records that an upstream answered a prompt with these parts and did not crash.
    pub fn record_answer(&mut self, parts: impl Iterator<Item = u64>, now: clock::Millis) {
        let mut max_age = MEMORY;
        while self.answered.len() > MAX_ANSWERED_PARTS {
            self.answered
                .retain(|_, times| times.iter().any(|at| now.since(*at) < max_age));
            max_age = clock::Millis(max_age.0 / 2);
        }
        for part in parts {
            let times = self.answered.entry(part).or_default();
            times.truncate(1);
            times.insert(0, now);
        }
    }

    /// What the leader needs to know: the crashes after the one with this number, and the latest answers
    /// to their parts and to those of `questions`.
    pub fn findings(
        &self,
        number: u64,
        questions: &[u64],
        now: clock::Millis,
    ) -> (Vec<Crash>, Vec<(u64, AnswerAges)>) {
        let crashes = self.crashes_after(number, now);
        let mut parts = questions.to_vec();
        parts.extend(crashes.iter().flat_map(|c| &c.parts));
        parts.sort_unstable();
        parts.dedup();
        let answers = self.answers(&parts, now);
        (crashes, answers)
    }

    /// Crashes after the one with this number that are still remembered.
    fn crashes_after(&self, number: u64, now: clock::Millis) -> Vec<Crash> {
        let recent = self
            .crashes
            .iter()
            .filter(|(at, crash)| crash.number > number && now.since(*at) < MEMORY);
        let told = recent.map(|(at, crash)| Crash {
            age: now.since(*at),
            ..crash.clone()
        });
        told.collect()
    }

    /// Ages of the latest answers to those of `parts` that were answered lately.
    fn answers(&self, parts: &[u64], now: clock::Millis) -> Vec<(u64, AnswerAges)> {
        let mut answers = Vec::new();
        for part in parts {
            let Some(times) = self.answered.get(part) else {
                continue;
            };
            let ages = times.iter().map(|at| now.since(*at));
            let ages: AnswerAges = ages.filter(|age| *age < MEMORY).collect();
            if !ages.is_empty() {
                answers.push((*part, ages));
            }
        }
        answers
    }
}

/// Index of the crash to forget first, given their progresses from the oldest to the newest: the oldest
/// one that says little, or the oldest one.
pub fn least_telling(mut progresses: impl Iterator<Item = Progress>) -> usize {
    progresses.position(|p| p == Progress::Early).unwrap_or(0)
}
