//! A request's claim to a slot, and what is decided on it.

use base::{clock, name, refusal};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

/// Names a request at its dispatcher: the host's number in the upper half, a counter in the lower.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Ticket(pub u64);

/// The terms of a request class.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ClassSettings {
    /// The class.
    #[serde(rename = "class")]
    pub name: name::Class,
    /// 0 is the highest tier.
    pub tier: u8,
    /// Target for the first token or the whole plain answer.
    #[serde(rename = "first")]
    pub ttft_target: clock::Millis,
    /// The longest time the class may wait without a grant before its floor opens.
    #[serde(rename = "bound")]
    pub max_wait: clock::Millis,
    /// Guaranteed share of the slots, in thousandths.
    #[serde(rename = "floor")]
    pub min_share: u16,
    /// Whether it may run on upstreams that can be evicted.
    pub evictable: bool,
}

/// A request's claim to a slot.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct SlotRequest {
    /// The request.
    pub ticket: Ticket,
    /// Who pays.
    pub team: name::Team,
    /// The team's share relative to others.
    pub weight: u32,
    /// The terms of its class.
    #[serde(rename = "terms")]
    pub class: ClassSettings,
    /// How long it has waited before it came to this dispatcher.
    pub waited: clock::Millis,
    /// Tokens of the prompt.
    #[serde(rename = "prompt")]
    pub prompt_tokens: u32,
    /// The longest answer the caller takes, in tokens.
    #[serde(rename = "limit")]
    pub max_tokens: u32,
    /// A hash of the prompt's beginning.
    #[serde(rename = "prefix")]
    pub prefix_hash: u64,
    /// Whether it can be stopped and continued elsewhere.
    pub resumable: bool,
    /// Tokens that the caller already has; more than zero for a continued answer.
    #[serde(rename = "held")]
    pub received_tokens: u32,
    /// Upstreams that failed this request.
    pub avoid: SmallVec<[name::Upstream; 2]>,
}

/// What is decided on a request.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Decision {
    /// It runs now on this upstream.
    Grant(Ticket, name::Upstream),
    /// It does not run.
    Refuse(Ticket, refusal::Refusal),
    /// It stops running and asks again with the tokens it holds.
    Preempt(Ticket),
}

impl Decision {
    /// The request decided on.
    pub fn ticket(&self) -> Ticket {
        match self {
            Self::Grant(t, _) | Self::Refuse(t, _) | Self::Preempt(t) => *t,
        }
    }
}

/// How a granted request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Outcome {
    /// The answer came whole.
    #[serde(rename = "Whole")]
    Completed,
    /// The upstream failed or gave no answer in time.
    Failed,
    /// The upstream refused before running.
    Refused,
    /// The caller went away, or the request was preempted.
    Stopped,
}

/// What a granted request used.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct RunStats {
    /// How it ended.
    pub outcome: Outcome,
    /// Tokens generated under this grant.
    pub tokens: u32,
    /// From the grant to the first token; zero if none came.
    #[serde(rename = "first")]
    pub ttft: clock::Millis,
    /// From the grant to the end.
    pub total: clock::Millis,
}
