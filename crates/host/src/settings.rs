//! Settings of a host: read from a YAML file and checked; all errors are reported together.

use std::net;
use std::path;

use base::{clock, diagnostic, name};
use config::parse;
use serde::Deserialize;
use serde_saphyr::Spanned;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawSettings {
    host: Spanned<String>,
    dc: Spanned<String>,
    region: Spanned<String>,
    #[serde(default)]
    environment: Option<Spanned<String>>,
    listen: Spanned<String>,
    peer: Spanned<String>,
    store: Spanned<String>,
    platform: Spanned<String>,
    secret: Spanned<String>,
    #[serde(default)]
    peers: Vec<RawPeer>,
    #[serde(default)]
    limits: RawLimits,
    #[serde(default)]
    times: RawTimes,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawPeer {
    name: Spanned<String>,
    dc: Spanned<String>,
    address: Spanned<String>,
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct RawLimits {
    requests: Option<Spanned<u32>>,
    connections: Option<Spanned<u32>>,
    body_kb: Option<Spanned<u32>>,
    link_kb: Option<Spanned<u32>>,
    held_mb: Option<Spanned<u32>>,
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct RawTimes {
    linger_ms: Option<Spanned<u64>>,
    drain_ms: Option<Spanned<u64>>,
    stall_ms: Option<Spanned<u64>>,
    answer_ms: Option<Spanned<u64>>,
    lease_ms: Option<Spanned<u64>>,
    flush_ms: Option<Spanned<u64>>,
    window_ms: Option<Spanned<u64>>,
    trust_ms: Option<Spanned<u64>>,
}

/// Limits on the load that a host accepts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Maximum number of requests served concurrently.
    pub requests: usize,
    /// Maximum number of open connections of clients; `None` for what the process's descriptors allow.
    pub connections: Option<usize>,
    /// Maximum size of a request body.
    pub body_bytes: usize,
    /// Maximum number of bytes held for all requests and responses together.
    pub held_bytes: usize,
    /// Bytes per second that requests spilled to another data centre may use of a metered link.
    pub link_rate: u64,
}

/// Timeouts, intervals and other durations of a host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Durations {
    /// Time after a stop signal during which new requests are still served, until the load balancer
    /// has stopped sending them.
    pub linger_period: clock::Millis,
    /// Time that running requests have to end after `linger_period`.
    pub drain_timeout: clock::Millis,
    /// Maximum gap between two reads of an upstream's response; a longer gap is a failure.
    pub stall_timeout: clock::Millis,
    /// Maximum wait for the response of a plain service or for a first token.
    pub response_timeout: clock::Millis,
    /// Time after which a lease expires unless it is renewed.
    pub lease_ttl: clock::Millis,
    /// Interval between two writes of usage to the store.
    pub flush_interval: clock::Millis,
    /// Length of a usage window, for which usage is reported as a unit.
    pub usage_window: clock::Millis,
    /// Time for which known API keys are accepted without contact with the store or a peer.
    pub key_trust: clock::Millis,
}

/// Another host that the settings name, used until the platform's list of hosts has been read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Peer {
    /// Name of the peer.
    pub name: name::Host,
    /// Data centre of the peer.
    pub dc: name::Dc,
    /// Address on which the peer accepts connections of other hosts.
    pub address: net::SocketAddr,
}

/// Validated settings of a host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Name of this host, unique among all hosts.
    pub host: name::Host,
    /// Data centre of this host.
    pub dc: name::Dc,
    /// Region of this host's data centre.
    pub region: name::Region,
    /// Environment whose configuration the host applies; `production` if not set.
    pub environment: String,
    /// Address on which the host serves clients, health checks and metrics.
    pub listen: net::SocketAddr,
    /// Address on which the host accepts connections of other hosts.
    pub peer_listen: net::SocketAddr,
    /// Address of the key-value store.
    pub store_address: net::SocketAddr,
    /// Address of the platform API: list of hosts, orders to upstreams and usage reports.
    pub platform_address: net::SocketAddr,
    /// Secret shared by all hosts, at least 16 characters.
    pub secret: String,
    /// Peers to connect to before the platform's list of hosts has been read; may be empty.
    pub peers: Vec<Peer>,
    /// Limits on the load of this host.
    pub limits: Limits,
    /// Timeouts and intervals of this host.
    pub durations: Durations,
}

const DEFAULT_MAX_REQUESTS: u32 = 512;
const DEFAULT_MAX_BODY_KB: u32 = 2_048;
const DEFAULT_HELD_MB: u32 = 64;
const DEFAULT_LINK_RATE_KB_PER_S: u32 = 1_000;
const DEFAULT_LINGER_PERIOD_MS: u64 = 3_000;
const DEFAULT_DRAIN_TIMEOUT_MS: u64 = 60_000;
const DEFAULT_STALL_TIMEOUT_MS: u64 = 5_000;
const DEFAULT_RESPONSE_TIMEOUT_MS: u64 = 60_000;
const DEFAULT_LEASE_TTL_MS: u64 = 9_000;
const DEFAULT_FLUSH_INTERVAL_MS: u64 = 5_000;
const DEFAULT_USAGE_WINDOW_MS: u64 = 60_000;
const DEFAULT_KEY_TRUST_MS: u64 = 3_600_000;
const MIN_SECRET_CHARS: usize = 16;

/// Reads and validates a settings file.
///
/// # Errors
///
/// Returns all diagnostics, each with its location in the file.
pub fn read(file: &path::Path) -> Result<Settings, diagnostic::Diagnostics> {
    let text = diagnostic::read_file(file, "give the path of a settings file")?;
    parse(&file.display().to_string(), &text)
}

/// Parses and validates the YAML `text`. `file` is the name used in diagnostics.
///
/// # Errors
///
/// Returns all diagnostics, each with its location in the file.
pub fn parse(file: &str, text: &str) -> Result<Settings, diagnostic::Diagnostics> {
    let raw: RawSettings =
        serde_saphyr::from_str(text).map_err(|e| parse::syntax_error(file, &e))?;
    let mut validator = Validator {
        file,
        diagnostics: diagnostic::Diagnostics::default(),
    };
    let settings = validator.settings(&raw);
    validator.diagnostics.into_result(settings)
}

/// Collects the diagnostics of one settings file.
struct Validator<'a> {
    file: &'a str,
    diagnostics: diagnostic::Diagnostics,
}

impl Validator<'_> {
    fn report<T>(&mut self, spanned: &Spanned<T>, message: String, hint: &str) {
        self.diagnostics
            .add(parse::location_of(self.file, spanned), message, hint);
    }

    fn name<'a>(&mut self, label: &str, spanned: &'a Spanned<String>) -> &'a str {
        if !name::is_valid(&spanned.value) {
            let message = format!("{label} {:?} is not a valid name", spanned.value);
            self.report(
                spanned,
                message,
                "use 1 to 64 letters, digits, '-', '_' or '.'",
            );
        }
        &spanned.value
    }

    fn address(&mut self, label: &str, spanned: &Spanned<String>) -> net::SocketAddr {
        match spanned.value.parse() {
            Ok(address) => address,
            Err(_) => {
                let message = format!("{label} {:?} is not IP:PORT", spanned.value);
                self.report(spanned, message, "use an address such as 10.0.0.7:8080");
                net::SocketAddr::from(([0, 0, 0, 0], 0))
            }
        }
    }

    fn millis(
        &mut self,
        label: &str,
        spanned: &Option<Spanned<u64>>,
        default: u64,
    ) -> clock::Millis {
        let Some(spanned) = spanned else {
            return clock::Millis(default);
        };
        if spanned.value == 0 {
            self.report(
                spanned,
                format!("{label} is 0"),
                "use 1 or more milliseconds",
            );
        }
        clock::Millis(spanned.value)
    }

    fn count(&mut self, label: &str, spanned: &Option<Spanned<u32>>, default: u32) -> u32 {
        let Some(spanned) = spanned else {
            return default;
        };
        if spanned.value == 0 {
            self.report(spanned, format!("{label} is 0"), "use 1 or more");
        }
        spanned.value
    }

    fn settings(&mut self, raw: &RawSettings) -> Settings {
        if raw.secret.value.chars().count() < MIN_SECRET_CHARS {
            let message = "secret is shorter than 16 characters".to_owned();
            self.report(
                &raw.secret,
                message,
                "use 16 characters or more, the same on every host",
            );
        }
        let environment = match &raw.environment {
            Some(spanned) => self.name("environment", spanned).to_owned(),
            None => "production".to_owned(),
        };
        Settings {
            host: self.name("host", &raw.host).into(),
            dc: self.name("dc", &raw.dc).into(),
            region: self.name("region", &raw.region).into(),
            environment,
            listen: self.address("listen", &raw.listen),
            peer_listen: self.address("peer", &raw.peer),
            store_address: self.address("store", &raw.store),
            platform_address: self.address("platform", &raw.platform),
            secret: raw.secret.value.clone(),
            peers: raw.peers.iter().map(|p| self.peer(p)).collect(),
            limits: self.limits(&raw.limits),
            durations: self.durations(&raw.times),
        }
    }

    fn peer(&mut self, raw: &RawPeer) -> Peer {
        Peer {
            name: self.name("peer name", &raw.name).into(),
            dc: self.name("peer dc", &raw.dc).into(),
            address: self.address("peer address", &raw.address),
        }
    }

    fn limits(&mut self, raw: &RawLimits) -> Limits {
        Limits {
            requests: self.count("requests", &raw.requests, DEFAULT_MAX_REQUESTS) as usize,
            connections: raw
                .connections
                .is_some()
                .then(|| self.count("connections", &raw.connections, 1) as usize),
            body_bytes: self.count("body_kb", &raw.body_kb, DEFAULT_MAX_BODY_KB) as usize * 1024,
            held_bytes: self.count("held_mb", &raw.held_mb, DEFAULT_HELD_MB) as usize * 1024 * 1024,
            link_rate: u64::from(self.count("link_kb", &raw.link_kb, DEFAULT_LINK_RATE_KB_PER_S))
                * 1024,
        }
    }

    fn durations(&mut self, raw: &RawTimes) -> Durations {
        Durations {
            linger_period: self.millis("linger_ms", &raw.linger_ms, DEFAULT_LINGER_PERIOD_MS),
            drain_timeout: self.millis("drain_ms", &raw.drain_ms, DEFAULT_DRAIN_TIMEOUT_MS),
            stall_timeout: self.millis("stall_ms", &raw.stall_ms, DEFAULT_STALL_TIMEOUT_MS),
            response_timeout: self.millis("answer_ms", &raw.answer_ms, DEFAULT_RESPONSE_TIMEOUT_MS),
            lease_ttl: self.millis("lease_ms", &raw.lease_ms, DEFAULT_LEASE_TTL_MS),
            flush_interval: self.millis("flush_ms", &raw.flush_ms, DEFAULT_FLUSH_INTERVAL_MS),
            usage_window: self.millis("window_ms", &raw.window_ms, DEFAULT_USAGE_WINDOW_MS),
            key_trust: self.millis("trust_ms", &raw.trust_ms, DEFAULT_KEY_TRUST_MS),
        }
    }
}
