//! Accounting of a request while it is at an upstream.

use std::cell;
use std::rc;

use base::{clock, name};
use tokio::time;

use crate::{attempt, host, http_client, offloading, ports, selection, stream_class};

/// Accounting entry of a request at an upstream. Dropping it ends the request in the fleet's
/// accounts.
pub struct InFlight {
    /// Host that sent the request.
    pub host: rc::Rc<host::Host>,
    service: name::Service,
    stream_class: stream_class::StreamClass,
    /// Upstream that the request was sent to.
    pub selection: selection::Selection,
    /// When the request was sent.
    pub sent_at: clock::Millis,
    /// Whether the prompt still counts among the upstream's unread tokens.
    prompt_pending: cell::Cell<bool>,
    /// Data centre of the upstream; `None` if the upstream was removed before the request was sent.
    dc: Option<name::Dc>,
    /// Bytes of the request's and the response's body so far.
    bytes: cell::Cell<u64>,
}

impl InFlight {
    /// Records that `call` is sent to the selected upstream.
    pub fn new(
        host: &rc::Rc<host::Host>,
        call: &attempt::Call,
        selection: selection::Selection,
    ) -> Self {
        let now = host.now();
        let mut fleet = host.fleet.borrow_mut();
        fleet.record_sent(&selection, &call.meta.prompt_parts, now);
        let dc = fleet.get(&selection.name).map(|t| t.upstream.dc.clone());
        drop(fleet);
        host.load_meter.borrow_mut().record_sent(
            &call.service,
            call.stream_class,
            selection.unread_tokens,
        );
        let in_flight = Self {
            host: host.clone(),
            service: call.service.clone(),
            stream_class: call.stream_class,
            selection,
            sent_at: now,
            prompt_pending: cell::Cell::new(true),
            dc,
            bytes: cell::Cell::new(0),
        };
        in_flight.record_bytes(call.body.len());
        in_flight
    }

    /// Records bytes of the request's or the response's body.
    pub fn record_bytes(&self, bytes: usize) {
        let bytes = bytes as u64;
        self.bytes.set(self.bytes.get() + bytes);
        if let Some(dc) = &self.dc {
            offloading::record_bytes(&self.host, dc, bytes);
        }
    }

    /// Records that the upstream has processed the prompt. Further calls have no effect.
    pub fn record_prompt_read(&self) {
        if self.prompt_pending.replace(false) {
            let mut fleet = self.host.fleet.borrow_mut();
            fleet.record_prompt_read(&self.selection.name, self.selection.unread_tokens);
        }
    }

    /// Records that response bytes arrived from the upstream.
    pub fn record_data(&self) {
        let now = self.host.now();
        self.host
            .fleet
            .borrow_mut()
            .record_data(&self.selection.name, now);
    }

    /// Waits until no response bytes of any request have arrived from the upstream for
    /// `stall_timeout` and the retry budget allows another attempt. Without one the request is
    /// better off where it is: an upstream under load may still send its response.
    pub async fn wait_for_stall(&self, stall_timeout: clock::Millis) {
        loop {
            let since = self.host.now();
            time::sleep(stall_timeout.duration()).await;
            let has_data = {
                let fleet = self.host.fleet.borrow();
                fleet.has_data_since(&self.selection.name, since)
            };
            if !has_data && self.host.can_retry(&self.service) {
                return;
            }
        }
    }

    /// Returns the connection to the pool, after the end of a response.
    pub fn keep_connection(&self, conn: http_client::Connection, meta: &ports::ResponseMeta) {
        let now = self.host.now();
        let pool = &self.host.pool;
        pool.put(self.selection.address, conn, now, meta.idle_timeout);
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.record_prompt_read();
        let distance = self.selection.details.distance.as_str();
        self.host
            .metrics
            .record_transfer(distance, self.bytes.get());
        self.host
            .fleet
            .borrow_mut()
            .record_end(&self.selection.name);
        let mut meter = self.host.load_meter.borrow_mut();
        meter.record_end(&self.service, self.stream_class);
    }
}
