//! A tree of supervised threads. A child that panics or returns early is started again after a
//! pause; the others go on.

use std::panic;
use std::sync;
use std::thread;
use std::time;

use crate::stop;

/// Pause before a child is started again.
const RESTART_PAUSE: time::Duration = time::Duration::from_millis(200);
/// How long a node waits for its children to return; one that waits for an outside system longer
/// ends with the process.
const STOP_WAIT: time::Duration = time::Duration::from_secs(1);
/// How often it looks.
const STOP_LOOK: time::Duration = time::Duration::from_millis(5);
/// Stack of a child.
const STACK_BYTES: usize = 512 * 1024;

/// A node of the tree: its children are stopped in the reverse order of their start.
pub struct Supervisor {
    name: &'static str,
    stop: stop::StopFlag,
    children: Vec<thread::JoinHandle<()>>,
    nodes: Vec<Supervisor>,
}

impl Supervisor {
    /// A node with no children.
    pub fn new(name: &'static str) -> Self {
        Self {
            name,
            stop: stop::StopFlag::default(),
            children: Vec::new(),
            nodes: Vec::new(),
        }
    }

    /// Starts a child.
    pub fn spawn_child(
        &mut self,
        name: &'static str,
        body: impl Fn(&stop::StopFlag) + Send + Sync + 'static,
    ) {
        let stop = self.stop.clone();
        let body: sync::Arc<dyn Fn(&stop::StopFlag) + Send + Sync> = sync::Arc::new(body);
        let parent = self.name;
        let run = move || supervise(parent, name, &stop, &*body);
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

    /// Puts a node below this one.
    pub fn add_subtree(&mut self, node: Supervisor) {
        self.nodes.push(node);
    }

    /// Stops the nodes below, last first, then the children.
    pub fn stop(mut self) {
        while let Some(node) = self.nodes.pop() {
            node.stop();
        }
        self.stop.set();
        let end = time::Instant::now() + STOP_WAIT;
        for child in self.children.drain(..) {
            while !child.is_finished() && time::Instant::now() < end {
                thread::sleep(STOP_LOOK);
            }
            if child.is_finished() {
                let _ = child.join();
            }
        }
    }
}

fn supervise(parent: &str, child: &str, stop: &stop::StopFlag, body: &dyn Fn(&stop::StopFlag)) {
    loop {
        let ended = panic::catch_unwind(panic::AssertUnwindSafe(|| body(stop)));
        if stop.is_set() {
            return;
        }
        let panicked = ended.is_err();
        tracing::error!(event = "child_restarted", parent, child, panicked);
        if stop.wait(RESTART_PAUSE) {
            return;
        }
    }
}
