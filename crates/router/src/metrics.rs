//! Counters and histograms, exported in the Prometheus text format.

use base::refusal;
use opentelemetry::KeyValue;
use opentelemetry::metrics;
use opentelemetry::metrics::MeterProvider as _;
use opentelemetry_sdk::metrics as sdk;

use crate::{connections, memory};

/// Bucket bounds of the latency histograms, in milliseconds.
const LATENCY_BOUNDS_MS: [f64; 14] = [
    1.0, 2.0, 5.0, 10.0, 20.0, 50.0, 64.0, 100.0, 200.0, 400.0, 670.0, 1_000.0, 5_000.0, 30_000.0,
];

/// Metric instruments of one host.
pub struct Metrics {
    registry: prometheus::Registry,
    _provider: sdk::SdkMeterProvider,
    refusals: metrics::Counter<u64>,
    retries: metrics::Counter<u64>,
    responses: metrics::Counter<u64>,
    relayed_bytes: metrics::Counter<u64>,
    announcements: metrics::Counter<u64>,
    closures: metrics::Counter<u64>,
    first_byte_ms: metrics::Histogram<f64>,
    response_ms: metrics::Histogram<f64>,
}

impl Metrics {
    /// Registers every instrument. Each refusal reason is exported as zero from the start. The bytes
    /// held of `memory` are exported as a gauge.
    ///
    /// # Errors
    ///
    /// The Prometheus exporter cannot be built.
    pub fn new(memory: &memory::Budget) -> eyre::Result<Self> {
        let registry = prometheus::Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build()?;
        let provider = sdk::SdkMeterProvider::builder()
            .with_reader(exporter)
            .build();
        let meter = provider.meter("jacinthslip");
        let latency = |name| {
            let h = meter
                .f64_histogram(name)
                .with_boundaries(LATENCY_BOUNDS_MS.to_vec());
            h.with_unit("ms").build()
        };
        let memory = memory.clone();
        meter
            .u64_observable_gauge("held_bytes")
            .with_callback(move |gauge| gauge.observe(memory.held() as u64, &[]))
            .build();
        let instruments = Self {
            refusals: meter.u64_counter("refusals").build(),
            retries: meter.u64_counter("retries").build(),
            responses: meter.u64_counter("answers").build(),
            relayed_bytes: meter.u64_counter("relayed_bytes").build(),
            announcements: meter.u64_counter("upstream_announcements").build(),
            closures: meter.u64_counter("client_closures").build(),
            first_byte_ms: latency("first_byte"),
            response_ms: latency("answer_time"),
            registry,
            _provider: provider,
        };
        for reason in refusal::Reason::ALL {
            instruments
                .refusals
                .add(0, &[KeyValue::new("reason", reason.as_str())]);
        }
        for cause in connections::Cause::ALL {
            instruments
                .closures
                .add(0, &[KeyValue::new("cause", cause.as_str())]);
        }
        Ok(instruments)
    }

    /// Counts a request refused for `reason`.
    pub fn record_refusal(&self, reason: refusal::Reason) {
        self.refusals
            .add(1, &[KeyValue::new("reason", reason.as_str())]);
    }

    /// Counts a retry, labelled with the failure that caused it.
    pub fn record_retry(&self, reason: &'static str) {
        self.retries.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts an upstream that says that it leaves, or asks for a pause.
    pub fn record_announcement(&self, kind: &'static str) {
        self.announcements.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// Counts bytes of the store's contents that were sent to followers.
    pub fn record_relayed(&self, bytes: u64) {
        self.relayed_bytes.add(bytes, &[]);
    }

    /// Counts a finished response and records its times to the first byte and to the end, in
    /// milliseconds.
    pub fn record_response(&self, route: &str, end: &'static str, first: Option<f64>, total: f64) {
        let route = KeyValue::new("route", route.to_owned());
        self.responses
            .add(1, &[route.clone(), KeyValue::new("end", end)]);
        if let Some(first) = first {
            self.first_byte_ms
                .record(first, std::slice::from_ref(&route));
        }
        self.response_ms.record(total, &[route]);
    }

    /// All metrics in the Prometheus text format; empty if they cannot be encoded.
    pub fn render(&self) -> String {
        let encoder = prometheus::TextEncoder::new();
        let text = encoder.encode_to_string(&self.registry.gather());
        text.unwrap_or_else(|e| {
            tracing::error!(event = "metrics_unwritable", error = %e);
            String::new()
        })
    }
}

impl connections::ClosureCounter for Metrics {
    fn record_closure(&self, cause: connections::Cause) {
        self.closures
            .add(1, &[KeyValue::new("cause", cause.as_str())]);
    }
}
