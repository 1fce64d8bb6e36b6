//! Logging to standard output: one line of key=value pairs per event, rate-limited and never
//! blocking.
//!
//! A thread writes the lines. Lines that find its queue full are dropped and counted, and so are
//! lines above a rate limit; warnings and errors are exempt from the rate limit.

use std::sync::atomic;
use std::thread;
use std::time;

use tracing_appender::non_blocking;
use tracing_subscriber::layer;
use tracing_subscriber::layer::SubscriberExt as _;
use tracing_subscriber::util::SubscriberInitExt as _;

/// Capacity of the queue of lines to be written.
const QUEUE_LINES: usize = 4_096;
/// Maximum number of lines per second, not counting warnings and errors.
const MAX_LINES_PER_S: u64 = 400;
/// Interval at which the number of dropped lines is logged.
const REPORT_INTERVAL: time::Duration = time::Duration::from_secs(30);

/// Number of lines dropped by the rate limit since the start of the process.
static RATE_LIMITED_LINES: atomic::AtomicU64 = atomic::AtomicU64::new(0);

/// Layer that limits events below warnings to [`MAX_LINES_PER_S`] and drops the rest.
struct RateLimit {
    started_at: time::Instant,
    current_second: atomic::AtomicU64,
    lines_in_second: atomic::AtomicU64,
}

impl<S: tracing::Subscriber> layer::Layer<S> for RateLimit {
    fn event_enabled(&self, event: &tracing::Event<'_>, _: layer::Context<'_, S>) -> bool {
        if *event.metadata().level() <= tracing::Level::WARN {
            return true;
        }
        let second = self.started_at.elapsed().as_secs();
        if self.current_second.swap(second, atomic::Ordering::Relaxed) != second {
            self.lines_in_second.store(0, atomic::Ordering::Relaxed);
        }
        let over_limit =
            self.lines_in_second.fetch_add(1, atomic::Ordering::Relaxed) >= MAX_LINES_PER_S;
        if over_limit {
            RATE_LIMITED_LINES.fetch_add(1, atomic::Ordering::Relaxed);
        }
        !over_limit
    }
}

/// Installs the global log subscriber. Lines are written until the returned guard is dropped.
pub fn start() -> non_blocking::WorkerGuard {
    let (writer, guard) = non_blocking::NonBlockingBuilder::default()
        .buffered_lines_limit(QUEUE_LINES)
        .lossy(true)
        .finish(std::io::stdout());
    let queue_dropped = writer.error_counter();
    let filter = tracing_subscriber::EnvFilter::try_from_default_env()
        .unwrap_or_else(|_| tracing_subscriber::EnvFilter::new("info"));
    let layer = tracing_logfmt::builder()
        .with_target(false)
        .with_span_name(false)
        .layer()
        .with_writer(writer);
    tracing_subscriber::registry()
        .with(filter)
        .with(RateLimit {
            started_at: time::Instant::now(),
            current_second: atomic::AtomicU64::new(0),
            lines_in_second: atomic::AtomicU64::new(0),
        })
        .with(layer)
        .init();
    thread::spawn(move || {
        let mut reported = 0;
        loop {
            thread::sleep(REPORT_INTERVAL);
            let rate_limited = RATE_LIMITED_LINES.load(atomic::Ordering::Relaxed) as usize;
            let dropped_lines = queue_dropped.dropped_lines() + rate_limited;
            if dropped_lines > reported {
                tracing::warn!(
                    event = "log_lines_left_out",
                    lines = dropped_lines - reported
                );
                reported = dropped_lines;
            }
        }
    });
    guard
}
