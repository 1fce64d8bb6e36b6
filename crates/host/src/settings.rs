//! A host's settings: read from YAML, checked, with every fault reported at once.

use std::net;
use std::path;

use base::{clock, diagnostic, name};
use config::parse;
use serde::Deserialize;
use serde_saphyr::Spanned;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Raw {
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
    body_kb: Option<Spanned<u32>>,
    link_kb: Option<Spanned<u32>>,
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

/// Bounds on what a host takes on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Requests served at once.
    pub requests: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Bytes a second that spilled requests may use of a paid link.
    pub link_rate: u64,
}

/// Times of a host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Durations {
    /// How long new requests are served after a stop signal, until the balancer has noticed.
    pub linger_period: clock::Millis,
    /// How long running requests may take after that.
    pub drain_timeout: clock::Millis,
    /// Silence of an upstream in the middle of an answer that counts as failure.
    pub stall_timeout: clock::Millis,
    /// The longest wait for a plain answer or a first token.
    pub response_timeout: clock::Millis,
    /// How long a lease lasts.
    pub lease_ttl: clock::Millis,
    /// How often usage is written to the store.
    pub flush_interval: clock::Millis,
    /// Length of a usage window.
    pub usage_window: clock::Millis,
    /// How long known keys are honoured while neither store nor peer is heard.
    pub key_trust: clock::Millis,
}

/// Another host named in the settings, for before the platform's list is read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Peer {
    /// Its name.
    pub name: name::Host,
    /// Its data centre.
    pub dc: name::Dc,
    /// Where it listens to other hosts.
    pub address: net::SocketAddr,
}

/// Checked settings.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// This host's name.
    pub host: name::Host,
    /// Its data centre.
    pub dc: name::Dc,
    /// Its region.
    pub region: name::Region,
    /// Which environment's configuration it follows.
    pub environment: String,
    /// Where callers connect; health and metrics are served there too.
    pub listen: net::SocketAddr,
    /// Where other hosts connect.
    pub peer_listen: net::SocketAddr,
    /// The key-value service.
    pub store_address: net::SocketAddr,
    /// The platform's list, orders and reports.
    pub platform_address: net::SocketAddr,
    /// The secret that hosts share.
    pub secret: String,
    /// Hosts known from the start.
    pub peers: Vec<Peer>,
    /// Bounds.
    pub limits: Limits,
    /// Times.
    pub durations: Durations,
}

const DEFAULT_REQUESTS: u32 = 512;
const DEFAULT_BODY_KB: u32 = 2_048;
const DEFAULT_LINK_KB: u32 = 1_000;
const DEFAULT_LINGER_MS: u64 = 3_000;
const DEFAULT_DRAIN_MS: u64 = 60_000;
const DEFAULT_STALL_MS: u64 = 5_000;
const DEFAULT_ANSWER_MS: u64 = 60_000;
const DEFAULT_LEASE_MS: u64 = 9_000;
const DEFAULT_FLUSH_MS: u64 = 5_000;
const DEFAULT_WINDOW_MS: u64 = 60_000;
const DEFAULT_TRUST_MS: u64 = 3_600_000;
const MIN_SECRET_CHARS: usize = 16;

/// Reads and checks a settings file.
///
/// # Errors
///
/// All findings, each with its place.
pub fn read(file: &path::Path) -> Result<Settings, diagnostic::Diagnostics> {
    let text = diagnostic::read_file(file, "give the path of a settings file")?;
    parse(&file.display().to_string(), &text)
}

/// Checks the YAML `text` of `file`.
///
/// # Errors
///
/// All findings, each with its place.
pub fn parse(file: &str, text: &str) -> Result<Settings, diagnostic::Diagnostics> {
    let raw: Raw = serde_saphyr::from_str(text).map_err(|e| parse::syntax_error(file, &e))?;
    let mut check = Check {
        file,
        findings: diagnostic::Diagnostics::default(),
    };
    let settings = check.settings(&raw);
    check.findings.into_result(settings)
}

struct Check<'a> {
    file: &'a str,
    findings: diagnostic::Diagnostics,
}

impl Check<'_> {
    fn fault<T>(&mut self, at: &Spanned<T>, fault: String, mend: &str) {
        self.findings
            .add(parse::location_of(self.file, at), fault, mend);
    }

    fn name<'a>(&mut self, what: &str, at: &'a Spanned<String>) -> &'a str {
        if !name::is_valid(&at.value) {
            let fault = format!("{what} {:?} is not valid", at.value);
            self.fault(at, fault, "use 1 to 64 letters, digits, '-', '_' or '.'");
        }
        &at.value
    }

    fn address(&mut self, what: &str, at: &Spanned<String>) -> net::SocketAddr {
        match at.value.parse() {
            Ok(address) => address,
            Err(_) => {
                let fault = format!("{what} {:?} is not IP:PORT", at.value);
                self.fault(at, fault, "write for example 10.0.0.7:8080");
                net::SocketAddr::from(([0, 0, 0, 0], 0))
            }
        }
    }

    fn millis(&mut self, what: &str, at: &Option<Spanned<u64>>, default: u64) -> clock::Millis {
        let Some(at) = at else {
            return clock::Millis(default);
        };
        if at.value == 0 {
            self.fault(at, format!("{what} is 0"), "give milliseconds, 1 or more");
        }
        clock::Millis(at.value)
    }

    fn count(&mut self, what: &str, at: &Option<Spanned<u32>>, default: u32) -> u32 {
        let Some(at) = at else { return default };
        if at.value == 0 {
            self.fault(at, format!("{what} is 0"), "use 1 or more");
        }
        at.value
    }

    fn settings(&mut self, raw: &Raw) -> Settings {
        if raw.secret.value.chars().count() < MIN_SECRET_CHARS {
            let fault = "secret is too short".to_owned();
            self.fault(
                &raw.secret,
                fault,
                "use 16 characters or more, the same on every host",
            );
        }
        let environment = match &raw.environment {
            Some(at) => self.name("environment", at).to_owned(),
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
            requests: self.count("requests", &raw.requests, DEFAULT_REQUESTS) as usize,
            body_bytes: self.count("body_kb", &raw.body_kb, DEFAULT_BODY_KB) as usize * 1024,
            link_rate: u64::from(self.count("link_kb", &raw.link_kb, DEFAULT_LINK_KB)) * 1024,
        }
    }

    fn durations(&mut self, raw: &RawTimes) -> Durations {
        Durations {
            linger_period: self.millis("linger_ms", &raw.linger_ms, DEFAULT_LINGER_MS),
            drain_timeout: self.millis("drain_ms", &raw.drain_ms, DEFAULT_DRAIN_MS),
            stall_timeout: self.millis("stall_ms", &raw.stall_ms, DEFAULT_STALL_MS),
            response_timeout: self.millis("answer_ms", &raw.answer_ms, DEFAULT_ANSWER_MS),
            lease_ttl: self.millis("lease_ms", &raw.lease_ms, DEFAULT_LEASE_MS),
            flush_interval: self.millis("flush_ms", &raw.flush_ms, DEFAULT_FLUSH_MS),
            usage_window: self.millis("window_ms", &raw.window_ms, DEFAULT_WINDOW_MS),
            key_trust: self.millis("trust_ms", &raw.trust_ms, DEFAULT_TRUST_MS),
        }
    }
}
