//! Prompt parts that are withheld from upstreams because they crash them, as this host knows them.
//!
//! The leader decides on the rules and lets one host at a time try a request again, see
//! [`crate::quarantine_leader`].

use base::clock;
use serde::{Deserialize, Serialize};

use crate::crash_log;

/// Time for which a rule holds that no leader has confirmed.
const UNCONFIRMED_TTL: clock::Millis = clock::Millis::secs(60);
/// Time from the report that it answers for which a permit holds.
pub const PERMIT_TTL: clock::Millis = clock::Millis::secs(3);
/// Least suggested delay before the client of a withheld request retries.
const MIN_RETRY_DELAY: clock::Millis = clock::Millis::secs(1);

/// A part whose prompts are withheld, as hosts tell each other.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Rule {
    /// Random number that identifies the rule.
    pub id: u64,
    /// Identifier of the part.
    pub part: u64,
    /// Hash of the name of the only team concerned; `None` for all teams.
    pub team: Option<u64>,
    /// Number of requests that were let through to see whether the part still crashes upstreams.
    pub trials: u32,
    /// Time until the next of them.
    pub trial_in: clock::Millis,
}

impl Rule {
    /// Whether the rule concerns a prompt of `team` with these shared parts.
    pub fn matches(&self, parts: &[u64], team: u64) -> bool {
        parts.contains(&self.part) && self.team.is_none_or(|t| t == team)
    }
}

/// What a host tells the leader.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Findings {
    /// Crashes that were not told before on this connection.
    pub crashes: Vec<crash_log::Crash>,
    /// Parts of the crashes, and parts that the leader asked about, that were answered.
    pub answers: Vec<(u64, crash_log::AnswerAges)>,
    /// Rules under which requests were withheld since the last report.
    pub withheld: Vec<u64>,
    /// Rules against which a request waits to be tried.
    pub wanted: Vec<u64>,
    /// Rules whose permit was used since the last report.
    pub tried: Vec<u64>,
    /// Rules that the host knows; told once on each connection.
    pub rules: Vec<Rule>,
}

/// What the leader answers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Ruling {
    /// Whether the answering host is the leader.
    pub is_leader: bool,
    /// All rules in force.
    pub rules: Vec<Rule>,
    /// Parts about which the leader needs to know whether they were answered.
    pub questions: Vec<u64>,
    /// Rule that one request may be tried against.
    pub permit: Option<u64>,
}

/// Whether a request may be sent to an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// No rule concerns the request.
    Open,
    /// The request is the one that a permit lets through, to one upstream.
    Trial,
    /// A part of the prompt is withheld; the next trial comes after this delay.
    Withheld(clock::Millis),
}

#[derive(Debug)]
struct HeldRule {
    rule: Rule,
    next_trial: clock::Millis,
    /// Whether a request was withheld since the last report.
    was_used: bool,
    /// Whether a request waits for a permit.
    is_wanted: bool,
}

/// Rules in force at this host.
#[derive(Debug, Default)]
pub struct Quarantine {
    rules: Vec<HeldRule>,
    /// When a host last told the rules.
    confirmed_at: clock::Millis,
    /// Rule that one request may be tried against, and until when.
    permit: Option<(u64, clock::Millis)>,
    /// Rules whose permit was used.
    tried: Vec<u64>,
    /// Number of elements of `tried` that the latest report contained.
    told_tried: usize,
    questions: Vec<u64>,
    has_new_questions: bool,
}

impl Quarantine {
    /// Decides on a request of `team` whose prompt has these shared parts. A permit is used up.
    pub fn admit(&mut self, parts: &[u64], team: u64, now: clock::Millis) -> Admission {
        if now.since(self.confirmed_at) >= UNCONFIRMED_TTL {
            self.rules.clear();
        }
        let mut matching = self
            .rules
            .iter_mut()
            .filter(|h| h.rule.matches(parts, team));
        let Some(held) = matching.next() else {
            return Admission::Open;
        };
        held.was_used = true;
        // A trial with two such parts would tell of neither.
        let is_other = matching.next().is_some();
        let permit = self
            .permit
            .take_if(|(id, _)| !is_other && *id == held.rule.id);
        if permit.is_some_and(|(_, until)| now < until) {
            self.tried.push(held.rule.id);
            return Admission::Trial;
        }
        Admission::Withheld(held.next_trial.since(now).max(MIN_RETRY_DELAY))
    }

    /// Identifies the rule that concerns a request of `team` with these shared parts.
    pub fn rule_for(&self, parts: &[u64], team: u64) -> Option<u64> {
        let held = self.rules.iter().find(|h| h.rule.matches(parts, team));
        held.map(|h| h.rule.id)
    }

    /// Whether a request of `team` with these shared parts is withheld although a trial is due, so
    /// that the leader may permit it.
    pub fn is_trial_due(&mut self, parts: &[u64], team: u64, now: clock::Millis) -> bool {
        let mut matching = self
            .rules
            .iter_mut()
            .filter(|h| h.rule.matches(parts, team));
        let held = matching.next().filter(|h| now >= h.next_trial);
        let (Some(held), None) = (held, matching.next()) else {
            return false;
        };
        held.is_wanted = true;
        true
    }

    /// Takes over what the leader answered to the report of `reported_at`.
    pub fn apply(&mut self, ruling: Ruling, reported_at: clock::Millis, now: clock::Millis) {
        let old = std::mem::take(&mut self.rules);
        for rule in ruling.rules {
            let known = old.iter().find(|h| h.rule.id == rule.id);
            if known.is_none() {
                tracing::info!(
                    event = "part_withheld",
                    part = format_args!("{:x}", rule.part),
                    all_teams = rule.team.is_none(),
                    trials = rule.trials,
                );
            }
            let next_trial = now + rule.trial_in;
            self.rules.push(HeldRule {
                rule,
                next_trial,
                was_used: known.is_some_and(|h| h.was_used),
                is_wanted: known.is_some_and(|h| h.is_wanted),
            });
        }
        for held in old {
            if !self.rules.iter().any(|h| h.rule.id == held.rule.id) {
                tracing::info!(
                    event = "part_free",
                    part = format_args!("{:x}", held.rule.part)
                );
            }
        }
        self.tried.drain(..self.told_tried.min(self.tried.len()));
        self.told_tried = 0;
        self.confirmed_at = now;
        let is_new = |part: &u64| !self.questions.contains(part);
        self.has_new_questions = ruling.questions.iter().any(is_new);
        self.questions = ruling.questions;
        if let Some(id) = ruling.permit {
            // Counted from the report, so that a delayed answer does not prolong the permit.
            self.permit = Some((id, reported_at + PERMIT_TTL));
        }
    }

    /// Returns what the leader needs to know of the rules, apart from the crash log.
    pub fn findings(&mut self, is_first: bool, now: clock::Millis) -> Findings {
        let mut findings = Findings {
            tried: self.tried.clone(),
            ..Findings::default()
        };
        self.told_tried = self.tried.len();
        for held in &mut self.rules {
            if std::mem::take(&mut held.was_used) {
                findings.withheld.push(held.rule.id);
            }
            if std::mem::take(&mut held.is_wanted) {
                findings.wanted.push(held.rule.id);
            }
            if is_first {
                findings.rules.push(Rule {
                    trial_in: held.next_trial.since(now),
                    ..held.rule.clone()
                });
            }
        }
        findings
    }

    /// Whether the leader's latest answer asked about parts that it had not asked about before.
    pub fn has_new_questions(&self) -> bool {
        self.has_new_questions
    }

    /// Parts that the leader asked about.
    pub fn questions(&self) -> &[u64] {
        &self.questions
    }
}
