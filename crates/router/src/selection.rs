//! What an upstream is selected by, and the result of a selection.

use base::{clock, name};
use policy::placement;

use crate::{announcements, location, ports, stream_class};

/// Properties of a request that determine which upstream is selected for it.
#[derive(Clone, Debug)]
pub struct Criteria<'a> {
    /// Service that the upstream must belong to.
    pub service: &'a name::Service,
    /// Parts of the prompt in order; empty for a request without a prompt.
    pub prompt_parts: &'a [ports::PromptPart],
    /// Length of the whole prompt in tokens.
    pub prompt_tokens: u32,
    /// Priority tier of the request; 0 is the most urgent.
    pub tier: u8,
    /// Class of the request; engines reserved for this class are preferred.
    pub stream_class: stream_class::StreamClass,
    /// Upstreams that must not be selected, because the request has already been sent to them.
    pub excluded: &'a [name::Upstream],
    /// Regions in which the request may be served; `None` without a limit. An empty list allows none.
    pub homes: Option<&'a [name::Region]>,
    /// Whether the request may be sent again after an attempt that may have run.
    pub is_retryable: bool,
    /// Identifier of the request, by which it belongs to the share that leaves for another data centre.
    pub id: &'a str,
}

impl Criteria<'_> {
    /// Returns the id of the last prompt part that other requests may share, and the number of
    /// tokens up to its end. The final part of a prompt is never shared.
    pub fn shared_prefix(&self) -> Option<(u64, u64)> {
        let (_, shared_parts) = self.prompt_parts.split_last()?;
        let last = shared_parts.last()?;
        Some((
            last.id,
            shared_parts.iter().map(|p| u64::from(p.tokens)).sum(),
        ))
    }
}

/// A selected upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Selection {
    /// Name of the selected upstream.
    pub name: name::Upstream,
    /// Process of the upstream that gets the request.
    pub process: announcements::Process,
    /// Address on which the selected upstream accepts connections.
    pub address: std::net::SocketAddr,
    /// Prompt tokens that the upstream is expected to process, excluding a cached prefix.
    pub unread_tokens: u64,
    /// Expected time to the first event if the engine had no other work.
    pub base_latency: clock::Millis,
    /// Expected time to the first event given the upstream's current slowdown.
    pub likely_latency: clock::Millis,
    /// Inputs of the selection, for log lines.
    pub details: Details,
}

/// Inputs of a selection, written to log lines.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Details {
    /// Number of upstreams that could have been selected.
    pub usable: u32,
    /// Number of ready upstreams that have said in a response that they leave.
    pub leaving: u32,
    /// Number of ready upstreams that have asked for a pause.
    pub paused: u32,
    /// Time since the latest of these announcements; `None` without any.
    pub said_age: Option<clock::Millis>,
    /// Number of ready upstreams in data centres that are being drained.
    pub drained: u32,
    /// Number of ready upstreams outside the home regions of the request.
    pub outside_homes: u32,
    /// Number of cold upstreams that this host must not send to now.
    pub cold_held: u32,
    /// How long the selected upstream stays cold; `None` if it is warm.
    pub cold_left: Option<clock::Millis>,
    /// Whether the selected upstream is expected to have the shared prefix cached.
    pub prefix_cached: bool,
    /// Requests that this host had in flight at the selected upstream.
    pub in_flight: u32,
    /// Running and waiting requests in the latest load report of the upstream; 0 without a report.
    pub reported_requests: u32,
    /// Age of the latest load report in milliseconds; 0 without a report.
    pub report_age_ms: u64,
    /// Estimated cost of the selected upstream, the lowest of all, in milliseconds.
    pub cost_ms: u64,
    /// Class of streams that the selected upstream is reserved for.
    pub upstream_class: stream_class::StreamClass,
    /// How far the selected upstream is.
    pub distance: location::Distance,
    /// Lowest estimated cost in this host's own data centre, in milliseconds; `None` if no upstream
    /// there was usable.
    pub cost_here_ms: Option<u64>,
    /// What load allowed the request; `None` if it stayed or there were no figures.
    pub leaves_by: Option<&'static str>,
    /// Age of the load figures of both data centres, the older one; `None` without current ones.
    pub figures_age: Option<clock::Millis>,
}

impl Details {
    /// Counts an upstream that is passed over for its data centre. Returns whether it is.
    pub fn record_excluded(&mut self, exclusion: Option<placement::Exclusion>) -> bool {
        match exclusion {
            None => return false,
            Some(placement::Exclusion::Drained) => self.drained += 1,
            Some(placement::Exclusion::OutsideHomes) => self.outside_homes += 1,
        }
        true
    }

    /// Counts an upstream that is passed over for what it said `age` ago.
    pub fn record_passed_over(
        &mut self,
        willingness: announcements::Willingness,
        age: clock::Millis,
    ) {
        match willingness {
            announcements::Willingness::Willing => return,
            announcements::Willingness::Paused(_) => self.paused += 1,
            announcements::Willingness::Leaving(_) => self.leaving += 1,
        }
        self.said_age = Some(self.said_age.map_or(age, |a| a.min(age)));
    }
}

/// Why no upstream can be selected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Shortage {
    /// There is no upstream that takes requests.
    None,
    /// There is none in the home regions that takes requests.
    Home,
    /// The room that upstreams have is left to more urgent requests.
    Full,
    /// All upstreams have asked for a pause; the earliest one ends after this time.
    Paused(clock::Millis),
    /// All upstreams that want requests are cold; this host may send to the first after this time.
    Cold(clock::Millis),
}
