//! Tree of supervised threads. A thread that panics or returns before the stop is restarted after a
//! delay; the other threads are not affected.

use std::panic;
use std::sync;
use std::thread;
use std::time;

use crate::stop;

/// Delay before a thread is restarted.
const RESTART_DELAY: time::Duration = time::Duration::from_millis(200);
/// Time limit for the threads of a supervisor to return after a stop. A thread that waits longer
/// for an external system ends with the process.
const STOP_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// Interval at which a stopping supervisor checks whether its threads have returned.
const STOP_POLL_INTERVAL: time::Duration = time::Duration::from_millis(5);
/// Stack size of a supervised thread.
const STACK_BYTES: usize = 512 * 1024;

/// Supervisor of a set of threads and of subordinate supervisors, which are stopped in the reverse
/// order of their addition.
pub struct Supervisor {
    name: &'static str,
    stop: stop::StopFlag,
    children: Vec<thread::JoinHandle<()>>,
    subtrees: Vec<Supervisor>,
}

impl Supervisor {
    /// Creates a supervisor without threads; `name` appears as `parent` in its log events.
    pub fn new(name: &'static str) -> Self {
        Self {
            name,
            stop: stop::StopFlag::default(),
            children: Vec::new(),
            subtrees: Vec::new(),
        }
    }

    /// Starts a thread that runs `task`, which must return soon after the flag it receives is set.
    /// A failed start is logged.
    pub fn spawn_child(
        &mut self,
        name: &'static str,
        task: impl Fn(&stop::StopFlag) + Send + Sync + 'static,
    ) {
        let stop = self.stop.clone();
        let task: sync::Arc<dyn Fn(&stop::StopFlag) + Send + Sync> = sync::Arc::new(task);
        let parent = self.name;
        let run = move || supervise(parent, name, &stop, &*task);
        let thread = thread::Builder::new()
            .name(name.into())
            .stack_size(STACK_BYTES);
        match thread.spawn(run) {
            Ok(handle) => self.children.push(handle),
            Err(e) => {
                tracing::error!(event = "child_not_started", parent, child = name, error = %e)
            }
        }
    }

    /// Adds a subordinate supervisor, which is stopped before the threads of this one.
    pub fn add_subtree(&mut self, subtree: Supervisor) {
        self.subtrees.push(subtree);
    }

    /// Stops the subordinate supervisors, last first, then the threads.
    pub fn stop(mut self) {
        while let Some(subtree) = self.subtrees.pop() {
            subtree.stop();
        }
        self.stop.set();
        let deadline = time::Instant::now() + STOP_TIMEOUT;
        for child in self.children.drain(..) {
            while !child.is_finished() && time::Instant::now() < deadline {
                thread::sleep(STOP_POLL_INTERVAL);
            }
            if child.is_finished() {
                let _ = child.join();
            }
        }
    }
}

fn supervise(parent: &str, child: &str, stop: &stop::StopFlag, task: &dyn Fn(&stop::StopFlag)) {
    loop {
        let result = panic::catch_unwind(panic::AssertUnwindSafe(|| task(stop)));
        if stop.is_set() {
            return;
        }
        let panicked = result.is_err();
        tracing::error!(event = "child_restarted", parent, child, panicked);
        if stop.wait(RESTART_DELAY) {
            return;
        }
    }
}
