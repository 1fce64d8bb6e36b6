//! Why a request was refused, and whether any of it may have run.

use serde::{Deserialize, Serialize};

use crate::clock;

/// Whether the upstream may have run the request.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Run {
    /// No byte of it went to an upstream, or the upstream refused it before running it.
    NotRun,
    /// A byte of it may have reached an upstream.
    Unknown,
}

impl Run {
    /// The stable text given to callers.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
        }
    }
}

macro_rules! reasons {
    ($($(#[$doc:meta])* $name:ident = $text:literal, $status:literal;)*) => {
        /// A stable reason, told to callers and counted.
        #[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
        pub enum Reason {
            $($(#[$doc])* $name,)*
        }

        impl Reason {
            /// Every reason, for registering counters.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// The stable text given to callers and used as the counter's label.
            pub const fn as_str(self) -> &'static str {
                match self {
                    $(Self::$name => $text,)*
                }
            }

            /// The HTTP status.
            pub const fn status(self) -> u16 {
                match self {
                    $(Self::$name => $status,)*
                }
            }
        }
    };
}

reasons! {
    /// No key, or one that is unknown or withdrawn.
    BadKey = "bad_key", 401;
    /// The team may not use the class or the service.
    Forbidden = "forbidden", 403;
    /// No such path or service.
    NotFound = "not_found", 404;
    /// No such model.
    UnknownModel = "unknown_model", 404;
    /// No such class.
    UnknownClass = "unknown_class", 400;
    /// The body is not the JSON that the path takes.
    BadRequest = "bad_request", 400;
    /// The body passes the limit.
    TooLarge = "too_large", 413;
    /// The caller sent its body too slowly or stopped halfway.
    SlowCaller = "slow_caller", 408;
    /// The host serves as many requests as it may.
    HostFull = "host_full", 503;
    /// The class's target can't be met any more.
    TargetMissed = "target_missed", 503;
    /// Work of a higher tier needs the room.
    Shed = "shed", 503;
    /// No upstream of the service is usable.
    NoUpstream = "no_upstream", 503;
    /// The store that keeps claims of calls not to be repeated can't be reached.
    StoreDown = "store_down", 503;
    /// The configuration has not arrived at this host yet.
    NotReady = "not_ready", 503;
    /// The host is stopping.
    Stopping = "stopping", 503;
    /// The host has heard neither store nor peers for too long to trust its keys.
    StaleKeys = "stale_keys", 503;
    /// The upstream failed and the call could not be repeated.
    UpstreamFailed = "upstream_failed", 502;
    /// The upstream gave no answer in time.
    UpstreamTimeout = "upstream_timeout", 504;
    /// An earlier call with this idempotency key has an unknown outcome.
    OutcomeUnknown = "outcome_unknown", 409;
    /// The idempotency key was used with another request.
    KeyReused = "key_reused", 422;
}

/// An honest refusal.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// Whether it may have run.
    pub run: Run,
    /// When to come back, where waiting helps.
    pub retry: Option<clock::Millis>,
}

impl Refusal {
    /// A refusal of a request that did not run.
    pub const fn not_run(reason: Reason) -> Self {
        Self {
            reason,
            run: Run::NotRun,
            retry: None,
        }
    }

    /// A refusal of a request that may have run.
    pub const fn unknown(reason: Reason) -> Self {
        Self {
            reason,
            run: Run::Unknown,
            retry: None,
        }
    }

    /// The same refusal with a time to come back.
    pub const fn retry(mut self, after: clock::Millis) -> Self {
        self.retry = Some(after);
        self
    }
}
