//! Counters, gauges and histograms of a host, exported in the Prometheus text format.

use base::refusal;
use opentelemetry::KeyValue;
use opentelemetry::metrics;
use opentelemetry::metrics::MeterProvider as _;
use opentelemetry_sdk::metrics as sdk;
use router::connections;

/// Reason why a request was sent to an upstream again; the label `reason` of the counter `retries`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryReason {
    /// No connection could be opened, so that no byte was sent.
    Connect,
    /// The upstream refused the request before running it.
    Refused,
    /// The response was aborted, stalled or malformed.
    BadResponse,
    /// The gaps between tokens of the response far exceeded the target of the class.
    Slow,
    /// The attempt was preempted in favour of a request of a higher tier.
    Preempted,
}

impl RetryReason {
    const ALL: [Self; 5] = [
        Self::Connect,
        Self::Refused,
        Self::BadResponse,
        Self::Slow,
        Self::Preempted,
    ];

    /// Value of the label `reason`.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Connect => "connect",
            Self::Refused => "refused",
            Self::BadResponse => "broken",
            Self::Slow => "slow",
            Self::Preempted => "preempted",
        }
    }
}

/// Bucket bounds of the latency histograms, in milliseconds.
const LATENCY_BOUNDS_MS: [f64; 14] = [
    1.0, 2.0, 5.0, 10.0, 20.0, 50.0, 64.0, 100.0, 200.0, 400.0, 670.0, 1_000.0, 5_000.0, 30_000.0,
];

/// Registry and instruments of one host.
pub struct Metrics {
    registry: prometheus::Registry,
    _provider: sdk::SdkMeterProvider,
    refusals: metrics::Counter<u64>,
    retries: metrics::Counter<u64>,
    responses: metrics::Counter<u64>,
    closures: metrics::Counter<u64>,
    peer_traffic: metrics::Gauge<u64>,
    ttft: metrics::Histogram<f64>,
    token_gap: metrics::Histogram<f64>,
}

impl Metrics {
    /// Registers all instruments. Each refusal and retry reason is exported from the start, with
    /// the value 0.
    ///
    /// # Errors
    ///
    /// Returns an error if the Prometheus exporter can't be built.
    pub fn new() -> eyre::Result<Self> {
        let registry = prometheus::Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build()?;
        let provider = sdk::SdkMeterProvider::builder()
            .with_reader(exporter)
            .build();
        let meter = provider.meter("jacinthslip");
        let histogram = |name| {
            let h = meter
                .f64_histogram(name)
                .with_boundaries(LATENCY_BOUNDS_MS.to_vec());
            h.with_unit("ms").build()
        };
        let metrics = Self {
            refusals: meter.u64_counter("refusals").build(),
            retries: meter.u64_counter("retries").build(),
            responses: meter.u64_counter("answers").build(),
            closures: meter.u64_counter("client_closures").build(),
            peer_traffic: meter.u64_gauge("control").with_unit("By").build(),
            ttft: histogram("first_token"),
            token_gap: histogram("token_gap"),
            registry,
            _provider: provider,
        };
        for reason in refusal::Reason::ALL {
            metrics
                .refusals
                .add(0, &[KeyValue::new("reason", reason.as_str())]);
        }
        for reason in RetryReason::ALL {
            metrics
                .retries
                .add(0, &[KeyValue::new("reason", reason.as_str())]);
        }
        for cause in connections::Cause::ALL {
            metrics
                .closures
                .add(0, &[KeyValue::new("cause", cause.as_str())]);
        }
        Ok(metrics)
    }

    /// Adds a refused request to the counter `refusals`.
    pub fn count_refusal(&self, reason: refusal::Reason) {
        self.refusals
            .add(1, &[KeyValue::new("reason", reason.as_str())]);
    }

    /// Adds a further attempt of a request to the counter `retries`.
    pub fn count_retry(&self, reason: RetryReason) {
        self.retries
            .add(1, &[KeyValue::new("reason", reason.as_str())]);
    }

    /// Adds an ended response to the counter `answers`. `end` is `whole`, `broken`, `caller_gone`
    /// or `key_withdrawn`.
    pub fn count_response(&self, class: &str, end: &'static str) {
        let labels = [
            KeyValue::new("class", class.to_owned()),
            KeyValue::new("end", end),
        ];
        self.responses.add(1, &labels);
    }

    /// Sets the bytes of messages to and from other hosts since the start of the process.
    pub fn set_peer_traffic(&self, (sent, received): (u64, u64)) {
        self.peer_traffic
            .record(sent, &[KeyValue::new("way", "sent")]);
        self.peer_traffic
            .record(received, &[KeyValue::new("way", "received")]);
    }

    /// Records the time to the first token of a completion, in milliseconds.
    pub fn record_ttft(&self, class: &str, ms: f64) {
        self.ttft
            .record(ms, &[KeyValue::new("class", class.to_owned())]);
    }

    /// Records the mean time between two tokens of one completion, in milliseconds.
    pub fn record_token_gap(&self, class: &str, ms: f64) {
        self.token_gap
            .record(ms, &[KeyValue::new("class", class.to_owned())]);
    }

    /// Encodes all instruments in the Prometheus text format.
    pub fn encode(&self) -> String {
        let encoder = prometheus::TextEncoder::new();
        encoder
            .encode_to_string(&self.registry.gather())
            .unwrap_or_default()
    }
}

impl connections::ClosureCounter for Metrics {
    fn record_closure(&self, cause: connections::Cause) {
        self.closures
            .add(1, &[KeyValue::new("cause", cause.as_str())]);
    }
}
