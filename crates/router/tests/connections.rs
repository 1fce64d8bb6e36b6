//! The choice of the connection that is closed when descriptors or memory run short.

use std::rc;
use std::sync;
use std::sync::atomic;

use base::clock;
use router::{connections, memory, metrics};

const HEAD: &[u8] = b"POST / HTTP/1.1\r\nContent-Length: 1000\r\n\r\n";

/// Connections of a host with a clock that the test moves.
struct Clients {
    list: connections::Connections,
    clock: sync::Arc<atomic::AtomicU64>,
    memory: memory::Budget,
    metrics: metrics::Metrics,
}

impl Clients {
    fn new(limit: usize) -> Self {
        let memory = memory::Budget::new(1 << 20);
        Self {
            list: connections::Connections::new(limit),
            clock: sync::Arc::default(),
            metrics: metrics::Metrics::new(&memory).expect("metrics"),
            memory,
        }
    }

    fn now(&self) -> clock::Millis {
        clock::Millis(self.clock.load(atomic::Ordering::Relaxed))
    }

    /// Opens a connection `after` milliseconds, whose client sends `bytes`.
    fn open(&self, after: u64, bytes: &[u8]) -> rc::Rc<connections::Activity> {
        self.clock.fetch_add(after, atomic::Ordering::Relaxed);
        let clock = clock::Clock::Manual(self.clock.clone());
        let activity = rc::Rc::new(connections::Activity::new(clock, &self.memory));
        self.list.add(activity.clone());
        activity.record_read(bytes).expect("memory");
        if !bytes.is_empty() {
            activity.begin_request();
        }
        activity
    }

    fn make_place(&self) -> bool {
        run(self.list.make_place(self.now(), &self.metrics))
    }

    fn free_memory(&self) -> bool {
        run(self.list.free_memory(self.now(), &self.metrics))
    }
}

fn run<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().build();
    runtime.expect("a runtime").block_on(future)
}

/// Whether the connection was told to close.
fn is_closed(activity: &connections::Activity) -> bool {
    run(async {
        tokio::select! {
            biased;
            () = activity.wait_for_close() => true,
            () = tokio::task::yield_now() => false,
        }
    })
}

/// Guards against idle or stalled connections that keep everybody else out, and against closing a
/// connection whose client is the one that waits.
#[test]
fn connection_that_waited_longest_for_its_client_makes_place() {
    let clients = Clients::new(3);
    let running = clients.open(0, HEAD);
    running.record_read(&[b'x'; 1_000]).expect("memory");
    let stalled = clients.open(10, HEAD);
    let idle = clients.open(10, b"");
    clients.make_place();
    assert!(is_closed(&stalled));
    clients.make_place();
    assert!(is_closed(&idle));
    assert!(!clients.make_place());
    assert!(!is_closed(&running));
}

/// Guards against small bodies that are given up for memory beside a large one that stalls, and
/// against giving up clients that make progress.
#[test]
fn largest_and_longest_stalled_body_frees_memory() {
    let clients = Clients::new(100);
    let small = clients.open(0, HEAD);
    let large = clients.open(0, HEAD);
    large.record_read(&[b'x'; 900]).expect("memory");
    clients.free_memory();
    assert!(!is_closed(&large) && !is_closed(&small));
    let moving = clients.open(1_000, HEAD);
    clients.free_memory();
    assert!(is_closed(&large) && !is_closed(&small) && !is_closed(&moving));
}

/// Guards against slow readers that are given up while they still take bytes.
#[test]
fn reader_is_given_up_only_if_it_takes_nothing_for_long() {
    let clients = Clients::new(100);
    let reader = clients.open(0, HEAD);
    reader.record_read(&[b'x'; 1_000]).expect("memory");
    reader.begin_response(500_000);
    reader.record_write(true);
    clients.clock.fetch_add(4_000, atomic::Ordering::Relaxed);
    reader.record_write(false);
    reader.record_write(true);
    clients.clock.fetch_add(4_000, atomic::Ordering::Relaxed);
    clients.free_memory();
    assert!(!is_closed(&reader));
    clients.clock.fetch_add(1_000, atomic::Ordering::Relaxed);
    clients.free_memory();
    assert!(is_closed(&reader));
}
