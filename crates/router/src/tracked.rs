//! An upstream and what this host has observed about it.

use base::{clock, hash};

use crate::{announcements, failures, model, reported_load, slowdown, stream_class};

/// An upstream and what this host has observed about it.
#[derive(Debug)]
pub struct TrackedUpstream {
    /// Latest published entry of the upstream.
    pub upstream: model::Upstream,
    /// Requests from this host that the upstream has not finished.
    pub in_flight: u32,
    /// Prompt tokens sent by this host that the upstream has not processed yet.
    pub unread_tokens: u64,
    /// Load that the upstream reported.
    pub reported_load: reported_load::ReportedLoad,
    /// Failed requests of this host.
    pub failures: failures::Failures,
    /// How much slower than expected the upstream responds.
    pub slowdown: slowdown::Slowdown,
    /// Mark set by [`crate::fleet::Fleet::mark_missing`]; 0 while the entry is present.
    pub missing_mark: u64,
    /// Class of streams that the upstream is reserved for.
    pub stream_class: stream_class::StreamClass,
    /// Time of the latest response bytes received from the upstream.
    pub last_data: clock::Millis,
}

impl TrackedUpstream {
    /// Creates the state of an upstream that has just been listed.
    pub fn new(upstream: model::Upstream) -> Self {
        Self {
            upstream,
            in_flight: 0,
            unread_tokens: 0,
            reported_load: reported_load::ReportedLoad::default(),
            failures: failures::Failures::default(),
            slowdown: slowdown::Slowdown::default(),
            missing_mark: 0,
            stream_class: stream_class::StreamClass::Other,
            last_data: clock::Millis::ZERO,
        }
    }

    /// Running and waiting requests, as far as this host knows.
    pub fn active_requests(&self, now: clock::Millis) -> f64 {
        let reported_requests = self.reported_load.active_requests(now);
        f64::from(reported_requests.max(self.in_flight))
    }

    /// Hash of the upstream's name.
    pub fn name_hash(&self) -> u64 {
        hash::stable_hash(self.upstream.name.as_str().as_bytes())
    }

    /// Identifies the process of the upstream: a restarted one has an empty prefix cache and has said
    /// nothing of itself yet.
    pub fn process(&self) -> announcements::Process {
        announcements::Process {
            id: self.name_hash() ^ self.upstream.started_at,
            has_start: self.upstream.started_at != 0,
        }
    }
}
