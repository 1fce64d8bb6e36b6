//! Refusals: why a request was refused, and whether an upstream may have executed it.

use serde::{Deserialize, Serialize};

use crate::clock;

/// Status of a response that says nothing of whether the request ran.
const BAD_GATEWAY: u16 = 502;

/// Whether this HTTP status tells the client that the request has not run and never will.
pub const fn promises_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

/// Whether an upstream may have executed the request.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Execution {
    /// The request was not executed: nothing was sent to an upstream, or the upstream rejected it
    /// before executing it.
    NotRun,
    /// At least one byte of the request may have reached an upstream, so it may have been executed.
    Unknown,
}

impl Execution {
    /// Returns the value of the `run` field in responses to clients; it never changes.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
        }
    }
}

macro_rules! reasons {
    ($($(#[$doc:meta])* $name:ident = $text:literal, $status:literal;)*) => {
        /// Reason of a refusal, reported to clients and used as a metric label.
        #[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
        pub enum Reason {
            $($(#[$doc])* $name,)*
        }

        impl Reason {
            /// All reasons, for registering one counter for each.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// Returns the text used in responses to clients and as the metric label; it never
            /// changes.
            pub const fn as_str(self) -> &'static str {
                match self {
                    $(Self::$name => $text,)*
                }
            }

            /// HTTP status for a request that was not executed.
            const fn status(self) -> u16 {
                match self {
                    $(Self::$name => $status,)*
                }
            }
        }
    };
}

reasons! {
    /// The request has no API key, or its key is unknown or withdrawn.
    BadKey = "bad_key", 401;
    /// The team is not allowed to use the request class or the service.
    Forbidden = "forbidden", 403;
    /// The path or the service does not exist.
    NotFound = "not_found", 404;
    /// No service serves the requested model.
    UnknownModel = "unknown_model", 404;
    /// The request class does not exist.
    UnknownClass = "unknown_class", 400;
    /// The request body is not the JSON that the path requires.
    BadRequest = "bad_request", 400;
    /// The request body exceeds the size limit.
    TooLarge = "too_large", 413;
    /// The client sent its request body too slowly or stopped before its end.
    SlowCaller = "slow_caller", 408;
    /// The host already serves as many concurrent requests, or holds as many of their bytes, as it
    /// can.
    HostFull = "host_full", 503;
    /// The latency target of the request class can no longer be met.
    TargetMissed = "target_missed", 503;
    /// The request was dropped to make room for requests of a higher tier.
    Shed = "shed", 503;
    /// The service has no usable upstream.
    NoUpstream = "no_upstream", 503;
    /// No upstream in the home regions of the request takes it.
    HomeUnavailable = "home_unavailable", 503;
    /// The store can't be reached, so a non-idempotent request can't be claimed.
    StoreDown = "store_down", 503;
    /// The host has not received its configuration yet.
    NotReady = "not_ready", 503;
    /// The host is shutting down.
    Stopping = "stopping", 503;
    /// The host has had no contact with the store or its peers for too long to trust its API keys.
    StaleKeys = "stale_keys", 503;
    /// The upstream failed and the request could not be retried.
    UpstreamFailed = "upstream_failed", 502;
    /// The upstream did not respond within the timeout.
    UpstreamTimeout = "upstream_timeout", 504;
    /// The outcome of an earlier request with the same idempotency key is unknown.
    OutcomeUnknown = "outcome_unknown", 409;
    /// The idempotency key was already used for a different request.
    KeyReused = "key_reused", 422;
    /// A part of the prompt is withheld because it crashes upstreams.
    Withheld = "withheld", 503;
    /// The host ended before the upstream had responded.
    Interrupted = "interrupted", 502;
}

/// A refusal of a request, returned to the client.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Refusal {
    /// Reason for refusing the request.
    pub reason: Reason,
    /// Whether an upstream may have executed the request.
    #[serde(rename = "run")]
    pub execution: Execution,
    /// Delay after which the client may retry; `None` if waiting does not help.
    #[serde(rename = "retry")]
    pub retry_after: Option<clock::Millis>,
}

impl Refusal {
    /// Creates a refusal of a request that was not executed.
    pub const fn not_run(reason: Reason) -> Self {
        Self {
            reason,
            execution: Execution::NotRun,
            retry_after: None,
        }
    }

    /// Creates a refusal of a request that may have been executed.
    pub const fn unknown(reason: Reason) -> Self {
        Self {
            reason,
            execution: Execution::Unknown,
            retry_after: None,
        }
    }

    /// Returns the HTTP status code of the response. Of a request that may have been executed it never
    /// promises the opposite, whatever the reason for giving it up.
    pub const fn status(&self) -> u16 {
        let status = self.reason.status();
        match self.execution {
            Execution::Unknown if promises_not_run(status) => BAD_GATEWAY,
            _ => status,
        }
    }

    /// Returns the refusal for a request that an earlier attempt may have executed. It names no delay, as
    /// sending the request again may execute it twice.
    pub const fn of_possible_run(self) -> Self {
        Self::unknown(self.reason)
    }

    /// Sets the delay after which the client may retry.
    pub const fn with_retry_after(mut self, delay: clock::Millis) -> Self {
        self.retry_after = Some(delay);
        self
    }
}
