//! Load that an upstream reports with its responses, and which requests it still has room for.
//!
//! A plain upstream runs requests in the order of their arrival and rejects those beyond its queue,
//! whatever their tier. So hosts leave the rest of the queue to more urgent requests: the longer
//! the queue, the more urgent a request must be to be sent.

use base::clock;

use crate::{model, ports};

/// Age at which a report is ignored.
const REPORT_TTL: clock::Millis = clock::Millis(1_500);
/// Time for which the first report of a long queue holds back requests.
const MIN_HOLD_PERIOD: clock::Millis = clock::Millis(250);
/// Longest such time. It doubles with each further report of a long queue: a host that holds
/// requests back sends one now and then, and these must not fill the queue, however many hosts
/// there are.
const MAX_HOLD_PERIOD: clock::Millis = clock::Millis(2_000);
/// Waiting requests for each slot at which requests of the least urgent tier are held back. Each
/// more urgent tier may see as many more; the most urgent one is never held back.
const WAITING_PER_SLOT_AND_TIER: f64 = 0.4;

/// Age at which a reported slowdown of the machine is ignored, and time in which its effect halves, in
/// milliseconds. Machines are slow for some hundred milliseconds at a time.
const SLOWDOWN_TTL: clock::Millis = clock::Millis(600);
const SLOWDOWN_HALF_LIFE_MS: f64 = 200.0;
/// Range of a reported slowdown, relative to the usual time.
const SLOWDOWN_RANGE: (f64, f64) = (0.5, 10.0);

/// Latest load report of an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReportedLoad {
    report: Option<Report>,
    /// Time for which the next report of a long queue holds back requests.
    hold_period: clock::Millis,
    /// Latest reported slowdown of the machine, and when it was reported.
    slowdown: Option<(f64, clock::Millis)>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Report {
    running: u32,
    waiting: u32,
    slots: u32,
    at: clock::Millis,
}

impl ReportedLoad {
    /// Records a report. One without slots says nothing and is ignored.
    pub fn record(&mut self, load: ports::LoadReport, now: clock::Millis) {
        let ports::LoadReport {
            running,
            waiting,
            slots,
            slowdown_percent,
        } = load;
        if let Some(percent) = slowdown_percent {
            let slowdown = (f64::from(percent) / 100.0).clamp(SLOWDOWN_RANGE.0, SLOWDOWN_RANGE.1);
            self.slowdown = Some((slowdown, now));
        }
        if slots == 0 {
            return;
        }
        let report = Report {
            running,
            waiting,
            slots,
            at: now,
        };
        let is_repeated = self
            .report
            .is_some_and(|last| now.since(last.at) < self.hold_period);
        if waiting < queue_limit(slots, LEAST_URGENT_TIER) {
            self.hold_period = clock::Millis::ZERO;
        } else if !is_repeated {
            let doubled = self.hold_period + self.hold_period;
            self.hold_period = doubled.max(MIN_HOLD_PERIOD).min(MAX_HOLD_PERIOD);
        }
        self.report = Some(report);
    }

    /// How much longer work takes on the upstream's machine now, as a factor; 1 without a recent report
    /// of it. The older the report, the closer the factor is to 1.
    pub fn machine_slowdown(&self, now: clock::Millis) -> f64 {
        let Some((slowdown, at)) = self.slowdown else {
            return 1.0;
        };
        let age = now.since(at);
        if age >= SLOWDOWN_TTL {
            return 1.0;
        }
        1.0 + (slowdown - 1.0) * (-(age.0 as f64) / SLOWDOWN_HALF_LIFE_MS).exp2()
    }

    /// Running and waiting requests; 0 without a recent report.
    pub fn active_requests(&self, now: clock::Millis) -> u32 {
        let recent = self.report.filter(|r| now.since(r.at) < REPORT_TTL);
        recent.map_or(0, |r| r.running.saturating_add(r.waiting))
    }

    /// Running and waiting requests of the latest report and its age in milliseconds; zeros without
    /// a report.
    pub fn latest(&self, now: clock::Millis) -> (u32, u64) {
        self.report.map_or((0, 0), |r| {
            (r.running.saturating_add(r.waiting), now.since(r.at).0)
        })
    }

    /// Whether a request of `tier` may be sent: the queue that was reported is not so long that the
    /// rest of it is left to more urgent requests, or the report has been out for long enough.
    pub fn has_room(&self, tier: u8, now: clock::Millis) -> bool {
        let Some(report) = self.report else {
            return true;
        };
        tier == 0
            || now.since(report.at) >= self.hold_period
            || report.waiting < queue_limit(report.slots, tier)
    }
}

const LEAST_URGENT_TIER: u8 = model::TIER_COUNT as u8 - 1;

/// Waiting requests from which on requests of `tier` are held back.
fn queue_limit(slots: u32, tier: u8) -> u32 {
    let steps = f64::from(model::TIER_COUNT as u8 - tier.min(LEAST_URGENT_TIER));
    (f64::from(slots) * steps * WAITING_PER_SLOT_AND_TIER).ceil() as u32
}
