//! Reads of responses of upstreams: a timeout for each read, longer for the start of a response than
//! between two reads within it, and a reset that ends no response.
//!
//! The HTTP client accepts only one read timeout for a whole request. The transport in this module
//! applies a thread-local timeout to each read instead, which works because a response is read on
//! the thread that sent the request.

use std::cell;
use std::io;
use std::time;

use base::clock;
use ureq::unversioned::transport;

thread_local! {
    static READ_TIMEOUT: cell::Cell<time::Duration> = const { cell::Cell::new(time::Duration::MAX) };
}

/// Sets the timeout of all further reads on the current thread.
pub fn set(timeout: clock::Millis) {
    READ_TIMEOUT.set(timeout.duration());
}

/// Connector that wraps the transports of the previous connector in the chain in [`Transport`].
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

fn is_reset(e: &io::Error) -> bool {
    matches!(
        e.kind(),
        io::ErrorKind::ConnectionReset
            | io::ErrorKind::ConnectionAborted
            | io::ErrorKind::UnexpectedEof
    )
}

/// Transport that applies the read timeout of the current thread to each read.
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
        timeout.per_read = Some(READ_TIMEOUT.get().into());
        self.0.await_input(timeout).map_err(|e| match e {
            // The HTTP client takes these kinds for the end of a response without a length.
            ureq::Error::Io(e) if is_reset(&e) => ureq::Error::Io(io::Error::other(e)),
            e => e,
        })
    }

    fn is_open(&mut self) -> bool {
        self.0.is_open()
    }

    fn is_tls(&self) -> bool {
        self.0.is_tls()
    }
}
