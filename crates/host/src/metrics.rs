//! Counters and histograms, served as text for Prometheus.

use base::refusal;
use opentelemetry::KeyValue;
use opentelemetry::metrics;
use opentelemetry::metrics::MeterProvider as _;
use opentelemetry_sdk::metrics as sdk;

/// Why a request went to an upstream again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Retry {
    /// The connection was refused.
    Connect,
    /// The upstream refused before running.
    Refused,
    /// The answer broke off, stalled or was not readable.
    Broken,
    /// The answer came far too slowly.
    Slow,
    /// It was stopped for a higher tier.
    Preempted,
}

impl Retry {
    const ALL: [Self; 5] = [
        Self::Connect,
        Self::Refused,
        Self::Broken,
        Self::Slow,
        Self::Preempted,
    ];

    /// The counter's label.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Connect => "connect",
            Self::Refused => "refused",
            Self::Broken => "broken",
            Self::Slow => "slow",
            Self::Preempted => "preempted",
        }
    }
}

/// Bounds of the time histograms, in milliseconds.
const TIME_BOUNDS: [f64; 14] = [
    1.0, 2.0, 5.0, 10.0, 20.0, 50.0, 64.0, 100.0, 200.0, 400.0, 670.0, 1_000.0, 5_000.0, 30_000.0,
];

/// The host's instruments.
pub struct Metrics {
    registry: prometheus::Registry,
    _provider: sdk::SdkMeterProvider,
    refusals: metrics::Counter<u64>,
    retries: metrics::Counter<u64>,
    answers: metrics::Counter<u64>,
    control: metrics::Gauge<u64>,
    first: metrics::Histogram<f64>,
    gap: metrics::Histogram<f64>,
}

impl Metrics {
    /// Registers every instrument; each refusal and retry reason shows from the start.
    ///
    /// # Errors
    ///
    /// The exporter can't be built.
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
        let times = |name| {
            let h = meter
                .f64_histogram(name)
                .with_boundaries(TIME_BOUNDS.to_vec());
            h.with_unit("ms").build()
        };
        let out = Self {
            refusals: meter.u64_counter("refusals").build(),
            retries: meter.u64_counter("retries").build(),
            answers: meter.u64_counter("answers").build(),
            control: meter.u64_gauge("control").with_unit("By").build(),
            first: times("first_token"),
            gap: times("token_gap"),
            registry,
            _provider: provider,
        };
        for reason in refusal::Reason::ALL {
            out.refusals
                .add(0, &[KeyValue::new("reason", reason.as_str())]);
        }
        for reason in Retry::ALL {
            out.retries
                .add(0, &[KeyValue::new("reason", reason.as_str())]);
        }
        Ok(out)
    }

    /// Counts a refusal.
    pub fn refused(&self, reason: refusal::Reason) {
        self.refusals
            .add(1, &[KeyValue::new("reason", reason.as_str())]);
    }

    /// Counts a retry.
    pub fn retried(&self, reason: Retry) {
        self.retries
            .add(1, &[KeyValue::new("reason", reason.as_str())]);
    }

    /// Counts an ended answer: `whole`, `broken` or `caller_gone`.
    pub fn answered(&self, class: &str, end: &'static str) {
        let labels = [
            KeyValue::new("class", class.to_owned()),
            KeyValue::new("end", end),
        ];
        self.answers.add(1, &labels);
    }

    /// Notes the bytes of messages to and from other hosts since the start.
    pub fn set_peer_traffic(&self, (sent, received): (u64, u64)) {
        self.control.record(sent, &[KeyValue::new("way", "sent")]);
        self.control
            .record(received, &[KeyValue::new("way", "received")]);
    }

    /// Notes the time to the first token, in milliseconds.
    pub fn first_token(&self, class: &str, ms: f64) {
        self.first
            .record(ms, &[KeyValue::new("class", class.to_owned())]);
    }

    /// Notes the mean time between tokens of one answer, in milliseconds.
    pub fn token_gap(&self, class: &str, ms: f64) {
        self.gap
            .record(ms, &[KeyValue::new("class", class.to_owned())]);
    }

    /// All instruments as text.
    pub fn text(&self) -> String {
        let encoder = prometheus::TextEncoder::new();
        encoder
            .encode_to_string(&self.registry.gather())
            .unwrap_or_default()
    }
}
