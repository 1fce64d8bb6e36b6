//! The platform as one host of a test calls it.

use std::rc;

use base::clock;
use router::ports;
use tokio::task;

use super::Cluster;

/// Platform interface of one host; records its calls.
pub struct Orders {
    pub cluster: rc::Rc<Cluster>,
    pub host: String,
    pub clock: clock::Clock,
}

impl Orders {
    fn record_call(&self, term: ports::Term) -> Result<(), ports::OrderError> {
        if self.clock.now() >= term.deadline {
            return Err(ports::OrderError::TermOver);
        }
        let cluster = self.cluster.clone();
        let host = self.host.clone();
        cluster.calls_sent.set(cluster.calls_sent.get() + 1);
        let delay = cluster.call_delay.get().0 * (cluster.calls_sent.get() % 2);
        task::spawn_local(async move {
            super::sleep_ms(delay).await;
            let call = (cluster.clock.now(), host, term.token);
            cluster.calls.borrow_mut().push(call);
        });
        Ok(())
    }
}

impl ports::Orders for Orders {
    fn scale<'a>(
        &'a self,
        term: ports::Term,
        _: &'a ports::Order,
    ) -> ports::LocalFuture<'a, Result<(), ports::OrderError>> {
        Box::pin(async move { self.record_call(term) })
    }

    fn report_usage<'a>(
        &'a self,
        term: ports::Term,
        window: u64,
        counts: &'a ports::RequestCounts,
    ) -> ports::LocalFuture<'a, Result<(), ports::OrderError>> {
        Box::pin(async move {
            let text = format!("{counts:?}");
            let mut reports = self.cluster.reports.borrow_mut();
            let reported = reports.entry(window).or_insert_with(|| text.clone());
            assert_eq!(*reported, text, "reports of window {window} differ");
            self.record_call(term)
        })
    }
}
