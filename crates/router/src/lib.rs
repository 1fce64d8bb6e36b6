//! Request path of one host, and the state that hosts share, run on a single thread.
//!
//! [`ports`] defines the interfaces to the platform; all other modules use only the types of
//! [`model`].

pub mod announcements;
pub mod attempt;
pub mod backoff;
pub mod blame;
pub mod bodies;
pub mod budget;
pub mod crash_log;
pub mod delta;
pub mod executions;
pub mod failures;
pub mod fleet;
pub mod follower;
pub mod framing;
pub mod freshness;
pub mod headers;
pub mod host;
pub mod http_client;
pub mod in_flight;
pub mod leader;
pub mod lifecycle;
pub mod link;
pub mod listeners;
pub mod location;
pub mod membership;
pub mod memory;
pub mod metrics;
pub mod model;
pub mod ports;
pub mod prefix_cache;
pub mod prompt_evidence;
pub mod quarantine;
pub mod quarantine_leader;
pub mod relay;
pub mod reported_load;
pub mod reports;
pub mod response;
pub mod retry;
pub mod scale;
pub mod selection;
pub mod serve;
pub mod shutdown;
pub mod slowdown;
pub mod sources;
pub mod sse;
pub mod store_cache;
pub mod store_watch;
pub mod stream;
pub mod stream_class;
pub mod supervisor;
pub mod tracked;
pub mod usage;
pub mod verdict;
pub mod windows;
