//! How long a read from an upstream may wait: longer for an answer to begin than inside it.
//!
//! The HTTP client takes one such time for a whole call. Its transport asks here at each read
//! instead; a call is read on the thread that made it.

use std::cell;
use std::time;

use base::clock;
use ureq::unversioned::transport;

thread_local! {
    static LIMIT: cell::Cell<time::Duration> = const { cell::Cell::new(time::Duration::MAX) };
}

/// Sets how long a read of this thread may wait from now on.
pub fn set(limit: clock::Millis) {
    LIMIT.set(limit.duration());
}

/// Puts the limit on the transports of the connector before it.
#[derive(Debug)]
pub struct Connector;

impl<In: transport::Transport> transport::Connector<In> for Connector {
    type Out = Transport<In>;

    fn connect(
        &self,
        _: &transport::ConnectionDetails<'_>,
        chained: Option<In>,
    ) -> Result<Option<Self::Out>, ureq::Error> {
        Ok(chained.map(Transport))
    }
}

/// A transport whose reads wait up to the limit of the thread that reads.
#[derive(Debug)]
pub struct Transport<T>(T);

impl<T: transport::Transport> transport::Transport for Transport<T> {
    fn buffers(&mut self) -> &mut dyn transport::Buffers {
        self.0.buffers()
    }

    fn transmit_output(
        &mut self,
        amount: usize,
        timeout: transport::NextTimeout,
    ) -> Result<(), ureq::Error> {
        self.0.transmit_output(amount, timeout)
    }

    fn await_input(&mut self, mut timeout: transport::NextTimeout) -> Result<bool, ureq::Error> {
        timeout.per_read = Some(LIMIT.get().into());
        self.0.await_input(timeout)
    }

    fn is_open(&mut self) -> bool {
        self.0.is_open()
    }

    fn is_tls(&self) -> bool {
        self.0.is_tls()
    }
}
