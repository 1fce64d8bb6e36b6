//! Keeps the host's long tasks running: one that panics is logged and started again.

use base::clock;
use tokio::{task, time};

/// Pause before a task that panicked is started again.
const RESTART_PAUSE: clock::Millis = clock::Millis(200);

/// Runs the task that `start` makes, and another one whenever it panics, until it returns.
pub fn spawn<F, Fut>(child: &'static str, start: F) -> task::JoinHandle<()>
where
    F: Fn() -> Fut + 'static,
    Fut: Future<Output = ()> + 'static,
{
    task::spawn_local(async move {
        loop {
            let ended = task::spawn_local(start()).await;
            match ended {
                Err(e) if e.is_panic() => {
                    tracing::error!(event = "child_restarted", child, error = %e);
                    time::sleep(RESTART_PAUSE.duration()).await;
                }
                _ => return,
            }
        }
    })
}
