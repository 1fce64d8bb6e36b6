//! Decides, from what all hosts report, which prompt parts are withheld from upstreams, and when one
//! request with such a part is tried again.
//!
//! Every host can do this for those that report to it; only the leader grants trials, so there is
//! one at a time. Hosts repeat the rules that they know to a new leader.

use std::collections;

use base::clock;

use crate::{blame, crash_log, quarantine};

/// Time from a new rule until the first trial.
const TRIAL_DELAY: clock::Millis = clock::Millis::secs(20);
/// Factor by which the time until the next trial grows with each one, and its upper bound.
const TRIAL_DELAY_FACTOR: u64 = 3;
const MAX_TRIAL_DELAY: clock::Millis = clock::Millis::secs(600);
/// Time after a permit was granted within which the host reports that it was used.
const PERMIT_REPLY_TIME: clock::Millis = clock::Millis::secs(5);
/// Time without a withheld request after which a rule ends.
const IDLE_TTL: clock::Millis = clock::Millis::secs(900);
/// Time for which a rule that ended is not taken over from a host that has not heard of it.
const ENDED_MEMORY: clock::Millis = clock::Millis::secs(900);
/// Time without a report after which a host's answers are not waited for.
const REPORTER_TTL: clock::Millis = clock::Millis(2_500);
/// Longest time that a decision waits for the answers of hosts.
const ANSWER_TIMEOUT: clock::Millis = clock::Millis(2_200);
/// Points from which the answers of half of the hosts are enough.
const MANY_CRASHES_POINTS: i32 = 24;
/// Time between decisions, and number of parts among the crashes that adds a millisecond to it: a
/// decision takes time for each.
const DECISION_INTERVAL: clock::Millis = clock::Millis(100);
const PARTS_PER_MS: usize = 128;
/// Times of answers that differ by less are one answer, told again: messages take time.
const SAME_ANSWER_TIME: clock::Millis = clock::Millis(100);
/// Bounds on what is kept and told, whatever hosts report.
const MAX_RECORDS: usize = 2_048;
const MAX_RECORDS_PER_PROCESS: usize = 256;
const MAX_CRASH_PARTS: usize = 32_768;
const MAX_RULES: usize = 32;
const MAX_QUESTIONS: usize = 64;
const MAX_ANSWERED_PARTS: usize = 32_768;

/// A process that reports.
#[derive(Debug, Default)]
struct Reporter {
    last_report: clock::Millis,
    last_ruling: clock::Millis,
    /// Questions up to this time have been answered.
    answered_until: clock::Millis,
    /// Number of its latest crash.
    last_number: u64,
}

#[derive(Debug)]
struct RuleState {
    rule: quarantine::Rule,
    next_trial: clock::Millis,
    /// When a host last reported a request that the rule withheld.
    last_withheld: clock::Millis,
    made_at: clock::Millis,
    /// Time of the latest crash that the rule explains.
    last_crash: clock::Millis,
    /// When a permit was granted that was not reported as used yet.
    permit_at: Option<clock::Millis>,
}

/// State of the decisions.
#[derive(Debug, Default)]
pub struct QuarantineLeader {
    reporters: collections::HashMap<u64, Reporter>,
    records: Vec<blame::Record>,
    answers: blame::Answers,
    /// Parts that hosts are asked about, since when.
    questions: collections::HashMap<u64, clock::Millis>,
    rules: Vec<RuleState>,
    /// Rules that ended, and when.
    ended: Vec<(u64, clock::Millis)>,
    next_decision: clock::Millis,
}

impl QuarantineLeader {
    /// Takes in the report of a process. `is_only_host` is whether no other host could report.
    pub fn record(
        &mut self,
        process: u64,
        findings: quarantine::Findings,
        is_only_host: bool,
        now: clock::Millis,
    ) {
        let reporter = self.reporters.entry(process).or_default();
        reporter.last_report = now;
        reporter.answered_until = reporter.last_ruling;
        let last_number = reporter.last_number;
        for crash in findings.crashes.into_iter().take(MAX_RECORDS_PER_PROCESS) {
            if crash.number <= last_number || crash.parts.len() > crash_log::MAX_PARTS {
                continue;
            }
            reporter.last_number = crash.number;
            let at = clock::Millis(now.since(crash.age).0);
            self.records.push(blame::Record { at, process, crash });
        }
        // Some answers are to questions of an earlier leader, and some to none.
        for (part, ages) in findings.answers.into_iter().take(MAX_ANSWERED_PARTS) {
            if self.answers.len() >= MAX_ANSWERED_PARTS && !self.answers.contains_key(&part) {
                continue;
            }
            let times = self.answers.entry(part).or_default();
            for age in ages {
                insert_answer(times, clock::Millis(now.since(age).0));
            }
        }
        self.adopt_rules(findings.rules, now);
        for state in &mut self.rules {
            if findings.withheld.contains(&state.rule.id) {
                state.last_withheld = now;
            }
            if findings.tried.contains(&state.rule.id) {
                state.permit_at = None;
                state.rule.trials = state.rule.trials.saturating_add(1);
                state.next_trial = now + trial_delay(state.rule.trials);
            }
        }
        if now >= self.next_decision {
            self.decide(is_only_host, now);
            let pause = clock::Millis((self.part_count() / PARTS_PER_MS) as u64);
            self.next_decision = now + DECISION_INTERVAL + pause;
        }
    }

    fn adopt_rules(&mut self, rules: Vec<quarantine::Rule>, now: clock::Millis) {
        for rule in rules {
            let has_ended = self.ended.iter().any(|(id, _)| *id == rule.id);
            let is_known = self.rules.iter().any(|s| s.rule.part == rule.part);
            if has_ended || is_known || self.rules.len() >= MAX_RULES {
                continue;
            }
            self.rules.push(RuleState {
                next_trial: now + rule.trial_in.min(trial_delay(rule.trials)),
                last_withheld: now,
                made_at: now,
                last_crash: now,
                permit_at: None,
                rule,
            });
        }
    }

    fn decide(&mut self, is_only_host: bool, now: clock::Millis) {
        self.forget_expired(now);
        self.end_refuted_rules(now);
        self.widen_rules();
        loop {
            let explained: collections::HashMap<u64, clock::Millis> = self
                .records
                .iter()
                .filter(|r| r.crash.upstream != 0 && self.is_explained(r))
                .map(|r| (r.crash.upstream, r.at))
                .collect();
            // Requests beside a known cause break with it.
            let is_beside = |r: &blame::Record| {
                let cause = explained.get(&r.crash.upstream);
                cause.is_some_and(|at| r.at.since(*at).max(at.since(r.at)) < blame::MOMENT)
            };
            let unexplained: Vec<&blame::Record> = self
                .records
                .iter()
                .filter(|r| !self.is_explained(r) && !is_beside(r))
                .collect();
            let cases = blame::cases(&unexplained, &self.answers);
            self.questions
                .retain(|part, _| cases.contains_key(part) || has_rule(&self.rules, *part));
            let mut open: Vec<(u64, i32)> = cases.iter().map(|(p, c)| (*p, c.points)).collect();
            open.retain(|(_, points)| *points >= blame::QUESTION_POINTS);
            open.sort_unstable_by_key(|(part, points)| (std::cmp::Reverse(*points), *part));
            for (part, _) in open.iter().take(MAX_QUESTIONS) {
                self.questions.entry(*part).or_insert(now);
            }
            let Some(part) = blame::find_cause(&unexplained, &cases, is_only_host) else {
                return;
            };
            self.questions.entry(part).or_insert(now);
            let case = &cases[&part];
            if !self.have_hosts_replied(part, case, now) || self.rules.len() >= MAX_RULES {
                return;
            }
            self.add_rule(part, case, now);
        }
    }

    /// Extends rules on one team to all when another team's prompt with the part crashes an upstream.
    fn widen_rules(&mut self) {
        for state in &mut self.rules {
            let Some(team) = state.rule.team else {
                continue;
            };
            let is_widened = self.records.iter().any(|r| {
                r.at > state.made_at
                    && r.crash.team != team
                    && r.crash.progress == crash_log::Progress::HeadOnly
                    && r.crash.parts.contains(&state.rule.part)
            });
            if is_widened {
                state.rule.team = None;
            }
        }
    }

    /// Whether a rule explains the crash, so that it speaks against no other part.
    fn is_explained(&self, record: &blame::Record) -> bool {
        let crash = &record.crash;
        self.rules
            .iter()
            .any(|s| s.rule.matches(&crash.parts, crash.team))
    }

    fn add_rule(&mut self, part: u64, case: &blame::Case, now: clock::Millis) {
        // One team's requests may crash upstreams for a reason of their own, and must not withhold
        // a part from other teams.
        let team = match case.teams[..] {
            [team] => Some(team),
            _ => None,
        };
        tracing::warn!(
            event = "part_blamed",
            part = format_args!("{part:x}"),
            all_teams = team.is_none(),
            points = case.points,
            answers = case.answers,
            crashes = case.crashes,
            requests = case.requests.len(),
            upstreams = case.upstreams.len(),
            hosts = case.processes.len(),
        );
        self.rules.retain(|s| s.rule.part != part);
        self.rules.push(RuleState {
            rule: quarantine::Rule {
                id: rand::random(),
                part,
                team,
                trials: 0,
                trial_in: clock::Millis::ZERO,
            },
            next_trial: now + TRIAL_DELAY,
            last_withheld: now,
            made_at: now,
            last_crash: now,
            permit_at: None,
        });
    }

    /// Ends rules whose part was answered after the crashes that blamed it, and rules that withhold
    /// nothing any more.
    fn end_refuted_rules(&mut self, now: clock::Millis) {
        for record in &self.records {
            let crash = &record.crash;
            for state in &mut self.rules {
                if state.rule.matches(&crash.parts, crash.team) {
                    state.last_crash = state.last_crash.max(record.at);
                }
            }
        }
        let answers = &self.answers;
        let ended = &mut self.ended;
        self.rules.retain(|state| {
            let answered = answers.get(&state.rule.part).and_then(|t| t.first());
            let is_answered = answered.is_some_and(|at| *at > state.last_crash);
            let is_idle = now.since(state.last_withheld) >= IDLE_TTL;
            if is_answered || is_idle {
                tracing::warn!(
                    event = "part_released",
                    part = format_args!("{:x}", state.rule.part),
                    trials = state.rule.trials,
                    is_answered,
                );
                ended.push((state.rule.id, now));
            }
            !is_answered && !is_idle
        });
    }

    /// Number of parts of all crashes.
    fn part_count(&self) -> usize {
        self.records.iter().map(|r| r.crash.parts.len()).sum()
    }

    fn forget_expired(&mut self, now: clock::Millis) {
        self.records.sort_by_key(|r| r.at);
        self.records.retain(|r| now.since(r.at) < crash_log::MEMORY);
        let mut part_count = self.part_count();
        while self.records.len() > MAX_RECORDS || part_count > MAX_CRASH_PARTS {
            let progresses = self.records.iter().map(|r| r.crash.progress);
            let removed = self.records.remove(crash_log::least_telling(progresses));
            part_count -= removed.crash.parts.len();
        }
        self.answers.retain(|_, times| {
            times.retain(|at| now.since(*at) < crash_log::MEMORY);
            !times.is_empty()
        });
        self.reporters
            .retain(|_, r| now.since(r.last_report) < crash_log::MEMORY);
        self.ended.retain(|(_, at)| now.since(*at) < ENDED_MEMORY);
    }

    /// Whether the hosts have told what answers to the part they know, as far as is needed.
    fn have_hosts_replied(&self, part: u64, case: &blame::Case, now: clock::Millis) -> bool {
        let Some(asked_at) = self.questions.get(&part) else {
            return false;
        };
        if now.since(*asked_at) >= ANSWER_TIMEOUT {
            return true;
        }
        let reporters = self.reporters.values();
        let live = reporters.filter(|r| now.since(r.last_report) < REPORTER_TTL);
        let (answered, waiting): (Vec<_>, Vec<_>) =
            live.partition(|r| r.answered_until > *asked_at);
        if case.points >= MANY_CRASHES_POINTS {
            answered.len() >= waiting.len()
        } else {
            waiting.is_empty()
        }
    }

    /// Returns the answer to a report of `process`, at which requests wait to be tried against the
    /// rules `wanted`. Trials are granted if `is_leader`.
    pub fn ruling(
        &mut self,
        process: u64,
        wanted: &[u64],
        is_leader: bool,
        now: clock::Millis,
    ) -> quarantine::Ruling {
        self.reporters.entry(process).or_default().last_ruling = now;
        let mut permit = None;
        let mut rules = Vec::with_capacity(self.rules.len());
        for state in &mut self.rules {
            let is_free = state
                .permit_at
                .is_none_or(|at| now.since(at) >= PERMIT_REPLY_TIME);
            let is_due = now >= state.next_trial && is_free;
            if is_leader && permit.is_none() && is_due && wanted.contains(&state.rule.id) {
                permit = Some(state.rule.id);
                state.permit_at = Some(now);
                tracing::info!(
                    event = "trial_granted",
                    part = format_args!("{:x}", state.rule.part),
                    trials = state.rule.trials,
                );
            }
            // While a permit is out, nobody else needs to ask for one.
            let permit_end = state.permit_at.map(|at| at + PERMIT_REPLY_TIME);
            let next_trial = state.next_trial.max(permit_end.unwrap_or_default());
            rules.push(quarantine::Rule {
                trial_in: next_trial.since(now),
                ..state.rule.clone()
            });
        }
        let mut questions: Vec<u64> = self.questions.keys().copied().collect();
        questions.extend(self.rules.iter().map(|s| s.rule.part));
        questions.sort_unstable();
        questions.dedup();
        quarantine::Ruling {
            is_leader,
            rules,
            questions,
            permit,
        }
    }
}

fn has_rule(rules: &[RuleState], part: u64) -> bool {
    rules.iter().any(|s| s.rule.part == part)
}

fn insert_answer(times: &mut smallvec::SmallVec<[clock::Millis; 2]>, at: clock::Millis) {
    if times
        .iter()
        .any(|t| t.since(at).max(at.since(*t)) < SAME_ANSWER_TIME)
    {
        return;
    }
    times.push(at);
    times.sort_unstable_by(|a, b| b.cmp(a));
    times.truncate(2);
}

fn trial_delay(trials: u32) -> clock::Millis {
    let factor = TRIAL_DELAY_FACTOR.saturating_pow(trials);
    clock::Millis(TRIAL_DELAY.0.saturating_mul(factor)).min(MAX_TRIAL_DELAY)
}
