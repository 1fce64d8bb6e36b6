//! Slot requests, and the decisions that a dispatcher makes on them.

use base::{clock, name, refusal};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

/// Identifies a request at its dispatcher: the host's number in the upper 32 bits, a counter in
/// the lower 32 bits.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Ticket(pub u64);

/// Scheduling settings of a request class.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ClassSettings {
    /// Name of the class as configured.
    #[serde(rename = "class")]
    pub name: name::Class,
    /// Priority tier of the class; 0 is the highest.
    pub tier: u8,
    /// Target time from arrival to the first token, or to the complete response if it is not
    /// streamed.
    #[serde(rename = "first")]
    pub ttft_target: clock::Millis,
    /// Longest time that the class may wait without a grant before its minimum share takes
    /// precedence over higher tiers.
    #[serde(rename = "bound")]
    pub max_wait: clock::Millis,
    /// Guaranteed share of the slots, in thousandths; 0 for none.
    #[serde(rename = "floor")]
    pub min_share: u16,
    /// Whether requests of the class may run on preemptible upstreams.
    pub evictable: bool,
}

/// A request for a slot on an upstream.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct SlotRequest {
    /// Identifier of the request at its dispatcher.
    pub ticket: Ticket,
    /// Team that is charged for the request.
    pub team: name::Team,
    /// Weight of the team in fair queuing, relative to other teams.
    pub weight: u32,
    /// Scheduling settings of the request's class.
    #[serde(rename = "terms")]
    pub class: ClassSettings,
    /// Time that the request waited before it reached this dispatcher.
    pub waited: clock::Millis,
    /// Length of the prompt in tokens.
    #[serde(rename = "prompt")]
    pub prompt_tokens: u32,
    /// Maximum length of the response that the client accepts, in tokens.
    #[serde(rename = "limit")]
    pub max_tokens: u32,
    /// Hash of the start of the prompt, for prefix caching; 0 for none.
    #[serde(rename = "prefix")]
    pub prefix_hash: u64,
    /// Whether the request can be stopped and resumed on another upstream.
    pub resumable: bool,
    /// Tokens that the client has already received; more than zero for a resumed response.
    #[serde(rename = "held")]
    pub received_tokens: u32,
    /// Upstreams that failed this request and are not chosen for it again.
    #[serde(rename = "avoid")]
    pub excluded: SmallVec<[name::Upstream; 2]>,
}

/// A dispatcher's decision on a request.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Decision {
    /// Runs the request now on the given upstream.
    Grant(Ticket, name::Upstream),
    /// Rejects the request without running it.
    Refuse(Ticket, refusal::Refusal),
    /// Stops a running request; its host submits it again with the tokens received so far.
    Preempt(Ticket),
}

impl Decision {
    /// Ticket of the request that the decision applies to.
    pub fn ticket(&self) -> Ticket {
        match self {
            Self::Grant(t, _) | Self::Refuse(t, _) | Self::Preempt(t) => *t,
        }
    }
}

/// How a granted request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Outcome {
    /// The response was received completely.
    #[serde(rename = "Whole")]
    Completed,
    /// The upstream failed or did not respond in time.
    Failed,
    /// The upstream rejected the request before running it.
    Refused,
    /// The client disconnected, or the request was preempted.
    Stopped,
}

/// Outcome, token count and times of a granted request.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct RunStats {
    /// How the granted request ended.
    pub outcome: Outcome,
    /// Tokens generated under this grant.
    pub tokens: u32,
    /// Time from the grant to the first token; zero if none was received.
    #[serde(rename = "first")]
    pub ttft: clock::Millis,
    /// Time from the grant to the end of the request.
    pub total: clock::Millis,
}
