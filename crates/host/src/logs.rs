//! Logs on standard output: one line of key=value pairs an event, bounded and never blocking.
//!
//! A thread writes the lines; those that find its queue full are left out and counted. So are
//! lines beyond a number each second, but for warnings and errors.

use std::sync::atomic;
use std::thread;
use std::time;

use tracing_appender::non_blocking;
use tracing_subscriber::layer;
use tracing_subscriber::layer::SubscriberExt as _;
use tracing_subscriber::util::SubscriberInitExt as _;

/// Lines that wait to be written.
const QUEUE: usize = 4_096;
/// Lines a second besides warnings and errors.
const LINES_PER_S: u64 = 400;
/// How often lines left out are reported.
const REPORT_EVERY: time::Duration = time::Duration::from_secs(30);

/// Lines left out for their number.
static OVER: atomic::AtomicU64 = atomic::AtomicU64::new(0);

/// Lets a number of lines through each second.
struct Limit {
    start: time::Instant,
    second: atomic::AtomicU64,
    lines: atomic::AtomicU64,
}

impl<S: tracing::Subscriber> layer::Layer<S> for Limit {
    fn event_enabled(&self, event: &tracing::Event<'_>, _: layer::Context<'_, S>) -> bool {
        if *event.metadata().level() <= tracing::Level::WARN {
            return true;
        }
        let second = self.start.elapsed().as_secs();
        if self.second.swap(second, atomic::Ordering::Relaxed) != second {
            self.lines.store(0, atomic::Ordering::Relaxed);
        }
        let over = self.lines.fetch_add(1, atomic::Ordering::Relaxed) >= LINES_PER_S;
        if over {
            OVER.fetch_add(1, atomic::Ordering::Relaxed);
        }
        !over
    }
}

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
        .with(Limit {
            start: time::Instant::now(),
            second: atomic::AtomicU64::new(0),
            lines: atomic::AtomicU64::new(0),
        })
        .with(layer)
        .init();
    thread::spawn(move || {
        let mut told = 0;
        loop {
            thread::sleep(REPORT_EVERY);
            let over = OVER.load(atomic::Ordering::Relaxed) as usize;
            let now = dropped.dropped_lines() + over;
            if now > told {
                tracing::warn!(event = "log_lines_left_out", lines = now - told);
                told = now;
            }
        }
    });
    guard
}
