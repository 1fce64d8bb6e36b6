//! Supervision of the host's long-running tasks: a task that panics is logged and restarted.

use base::clock;
use tokio::{task, time};

/// Delay before a task that panicked is restarted.
const RESTART_DELAY: clock::Millis = clock::Millis(200);

/// Runs the task made by `start` and restarts it after each panic, until it returns. `child` is the
/// task's name in log lines.
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
                    time::sleep(RESTART_DELAY.duration()).await;
                }
                _ => return,
            }
        }
    })
}
