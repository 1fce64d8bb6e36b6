//! Counters and histograms, exported in the Prometheus text format.

use base::{clock, name, refusal};
use opentelemetry::KeyValue;
use opentelemetry::metrics;
use opentelemetry::metrics::MeterProvider as _;
use opentelemetry_sdk::metrics as sdk;
use policy::engine_classes;

use crate::{connections, memory, selection, stream_class};

/// Bucket bounds of the latency histograms, in milliseconds.
const LATENCY_BOUNDS_MS: [f64; 14] = [
    1.0, 2.0, 5.0, 10.0, 20.0, 50.0, 64.0, 100.0, 200.0, 400.0, 670.0, 1_000.0, 5_000.0, 30_000.0,
];

/// Highest exported pressure: the exporter leaves out infinite values.
const MAX_PRESSURE: f64 = 1_000.0;

/// Metric instruments of one host.
pub struct Metrics {
    registry: prometheus::Registry,
    _provider: sdk::SdkMeterProvider,
    refusals: metrics::Counter<u64>,
    retries: metrics::Counter<u64>,
    responses: metrics::Counter<u64>,
    relayed_bytes: metrics::Counter<u64>,
    upstream_requests: metrics::Counter<u64>,
    upstream_bytes: metrics::Counter<u64>,
    announcements: metrics::Counter<u64>,
    drained_dcs: metrics::Gauge<u64>,
    cold_upstreams: metrics::Gauge<u64>,
    cold_requests: metrics::Counter<u64>,
    class_share: metrics::Gauge<f64>,
    class_pressure: metrics::Gauge<f64>,
    digest_age_ms: metrics::Gauge<u64>,
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
            upstream_requests: meter.u64_counter("upstream_requests").build(),
            upstream_bytes: meter.u64_counter("upstream_bytes").build(),
            announcements: meter.u64_counter("upstream_announcements").build(),
            drained_dcs: meter.u64_gauge("drained_dcs").build(),
            cold_upstreams: meter.u64_gauge("cold_upstreams").build(),
            cold_requests: meter.u64_counter("cold_requests").build(),
            class_share: meter.f64_gauge("class_share").build(),
            class_pressure: meter.f64_gauge("class_pressure").build(),
            digest_age_ms: meter.u64_gauge("digest_age").with_unit("ms").build(),
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

    /// Sets the number of data centres that are being drained, as far as this host knows.
    pub fn set_drained_dcs(&self, count: usize) {
        self.drained_dcs.record(count as u64, &[]);
    }

    /// Sets the number of upstreams that are cold as far as this host knows.
    pub fn set_cold_upstreams(&self, count: usize) {
        self.cold_upstreams.record(count as u64, &[]);
    }

    /// Counts an attempt that is sent to a cold upstream, and one that a cold upstream was passed over
    /// for.
    pub fn record_cold(&self, details: &selection::Details) {
        if details.cold_left.is_some() {
            self.cold_requests.add(1, &[KeyValue::new("kind", "sent")]);
        }
        if details.cold_held > 0 {
            self.cold_requests
                .add(1, &[KeyValue::new("kind", "passed_over")]);
        }
    }

    /// Records the share of a service's engines for each class, from 0 to 1.
    pub fn record_shares(&self, service: &name::Service, shares: &engine_classes::Shares) {
        let shares = shares.map(|s| f64::from(s) / f64::from(engine_classes::WHOLE));
        record_by_class(&self.class_share, service, &shares);
    }

    /// Records the engines needed per engine of each class, as the leader sees them; at most
    /// 1,000, also for a class without engines.
    pub fn record_pressure(
        &self,
        service: &name::Service,
        pressure: &[f64; engine_classes::CLASS_COUNT],
    ) {
        let pressure = pressure.map(|p| p.min(MAX_PRESSURE));
        record_by_class(&self.class_pressure, service, &pressure);
    }

    /// Records the time since the leader's latest digest was received.
    pub fn record_digest_age(&self, age: clock::Millis) {
        self.digest_age_ms.record(age.0, &[]);
    }

    /// Counts bytes of the store's contents that were sent to followers.
    pub fn record_relayed(&self, bytes: u64) {
        self.relayed_bytes.add(bytes, &[]);
    }

    /// Counts a request that was sent to an upstream at `distance`, and the bytes of its body and of
    /// the response's.
    pub fn record_transfer(&self, distance: &'static str, bytes: u64) {
        let distance = [KeyValue::new("distance", distance)];
        self.upstream_requests.add(1, &distance);
        self.upstream_bytes.add(bytes, &distance);
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

fn record_by_class(
    gauge: &metrics::Gauge<f64>,
    service: &name::Service,
    values: &[f64; engine_classes::CLASS_COUNT],
) {
    for (class, value) in stream_class::StreamClass::ALL.iter().zip(values) {
        let labels = [
            KeyValue::new("service", service.to_string()),
            KeyValue::new("class", class.as_str()),
        ];
        gauge.record(*value, &labels);
    }
}

impl connections::ClosureCounter for Metrics {
    fn record_closure(&self, cause: connections::Cause) {
        self.closures
            .add(1, &[KeyValue::new("cause", cause.as_str())]);
    }
}
