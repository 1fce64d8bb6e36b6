//! Counters and histograms, served as text for Prometheus.

use base::refusal;
use opentelemetry::KeyValue;
use opentelemetry::metrics;
use opentelemetry::metrics::MeterProvider as _;
use opentelemetry_sdk::metrics as sdk;

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
    first: metrics::Histogram<f64>,
    total: metrics::Histogram<f64>,
}

impl Metrics {
    /// Registers every instrument; each refusal reason shows from the start.
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
            first: times("first_byte"),
            total: times("answer_time"),
            registry,
            _provider: provider,
        };
        for reason in refusal::Reason::ALL {
            out.refusals
                .add(0, &[KeyValue::new("reason", reason.as_str())]);
        }
        Ok(out)
    }

    /// Counts a refusal.
    pub fn record_refusal(&self, reason: refusal::Reason) {
        self.refusals
            .add(1, &[KeyValue::new("reason", reason.as_str())]);
    }

    /// Counts a repeat, by the failure before it.
    pub fn record_retry(&self, reason: &'static str) {
        self.retries.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts an ended answer and its times, in milliseconds.
    pub fn record_response(&self, route: &str, end: &'static str, first: Option<f64>, total: f64) {
        let route = KeyValue::new("route", route.to_owned());
        self.answers
            .add(1, &[route.clone(), KeyValue::new("end", end)]);
        if let Some(first) = first {
            self.first.record(first, std::slice::from_ref(&route));
        }
        self.total.record(total, &[route]);
    }

    /// All instruments as text.
    pub fn render(&self) -> String {
        let encoder = prometheus::TextEncoder::new();
        let text = encoder.encode_to_string(&self.registry.gather());
        text.unwrap_or_else(|e| {
            tracing::error!(event = "metrics_unwritable", error = %e);
            String::new()
        })
    }
}
