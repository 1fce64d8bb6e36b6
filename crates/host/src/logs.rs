//! Logs on standard output: one line of key=value pairs an event, bounded and never blocking.
//!
//! A thread writes the lines; those that find its queue full are left out and counted.

use std::thread;
use std::time;

use tracing_appender::non_blocking;
use tracing_subscriber::layer::SubscriberExt as _;
use tracing_subscriber::util::SubscriberInitExt as _;

/// Lines that wait to be written.
const QUEUE: usize = 4_096;
/// How often lines left out are reported.
const REPORT_EVERY: time::Duration = time::Duration::from_secs(30);

/// Starts the logs; the lines are written until the guard is dropped.
pub fn start() -> non_blocking::WorkerGuard {
    let (writer, guard) = non_blocking::NonBlockingBuilder::default()
        .buffered_lines_limit(QUEUE)
        .lossy(true)
        .finish(std::io::stdout());
    let dropped = writer.error_counter();
    let filter = tracing_subscriber::EnvFilter::try_from_default_env()
        .unwrap_or_else(|_| tracing_subscriber::EnvFilter::new("info"));
    let layer = tracing_logfmt::builder()
        .with_target(false)
        .with_span_name(false)
        .layer()
        .with_writer(writer);
    tracing_subscriber::registry()
        .with(filter)
        .with(layer)
        .init();
    thread::spawn(move || {
        let mut told = 0;
        loop {
            thread::sleep(REPORT_EVERY);
            let now = dropped.dropped_lines();
            if now > told {
                tracing::warn!(event = "log_lines_left_out", lines = now - told);
                told = now;
            }
        }
    });
    guard
}
