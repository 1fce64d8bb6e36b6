//! Test double of the platform: list of hosts and upstreams, capacity orders and usage reports.

use std::io;
use std::net;
use std::sync;

use ports::{accept, hosts, memory};

use crate::{faults, http};

/// A running platform; it stops when dropped.
pub struct Platform {
    server: http::Server,
    inner: sync::Arc<Inner>,
    /// Faults that HTTP calls run into.
    pub faults: sync::Arc<faults::FaultInjector>,
}

struct Inner {
    memory: memory::Platform,
    /// JSON that is sent in place of the list of hosts and upstreams: `/odd-list` sets it.
    odd_list: sync::Mutex<Option<serde_json::Value>>,
    faults: sync::Arc<faults::FaultInjector>,
}

impl Platform {
    /// Starts a platform on `address`; port 0 selects a free port. With `check_fencing` it rejects
    /// orders with an outdated fencing token.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub fn start(address: net::SocketAddr, check_fencing: bool) -> io::Result<Self> {
        let faults = sync::Arc::new(faults::FaultInjector::default());
        let memory = memory::Platform::new(check_fencing);
        let inner = Inner {
            memory,
            odd_list: sync::Mutex::default(),
            faults: faults.clone(),
        };
        let inner = sync::Arc::new(inner);
        let handler_inner = inner.clone();
        let server =
            http::Server::start(address, sync::Arc::new(move |r| handler_inner.handle(r)))?;
        Ok(Self {
            server,
            inner,
            faults,
        })
    }

    /// Address of the HTTP server.
    pub fn address(&self) -> net::SocketAddr {
        self.server.address()
    }

    /// Copy of the orders and reports received so far.
    pub fn stats(&self) -> memory::Received {
        self.inner.memory.received()
    }

    /// Replaces the list of hosts and upstreams.
    pub fn set_host_list(&self, list: hosts::HostList) {
        self.inner.memory.set_host_list(list);
    }

    /// Current list of hosts and upstreams.
    pub fn host_list(&self) -> hosts::HostList {
        self.inner.memory.host_list()
    }
}

impl Inner {
    fn handle(&self, mut request: tiny_http::Request) {
        let body = http::read_body(&mut request);
        let url = request.url().to_owned();
        let path = http::path(&url);
        match path {
            "/fault" => {
                self.faults
                    .set(serde_json::from_slice(&body).unwrap_or_default());
                return http::respond_empty(request, 200);
            }
            "/stats" => {
                let stats = self.memory.received();
                return http::respond_json(request, 200, &stats);
            }
            "/list" => {
                self.memory
                    .set_host_list(serde_json::from_slice(&body).unwrap_or_default());
                return http::respond_empty(request, 200);
            }
            "/odd-list" => {
                *self.lock_odd_list() = serde_json::from_slice(&body).ok();
                return http::respond_empty(request, 200);
            }
            _ => {}
        }
        let kind = match request.method() {
            tiny_http::Method::Get => faults::CallKind::Read,
            _ => faults::CallKind::Write,
        };
        match self.faults.intercept(kind, path) {
            faults::Action::Serve => self.respond(request, &url, &body),
            faults::Action::Unavailable => http::respond_empty(request, 503),
            faults::Action::RateLimited => http::respond_empty(request, 429),
            faults::Action::DropResponse => {
                let _ = self.execute(&url, &body);
                accept::shutdown_connection(request.remote_addr().copied());
            }
        }
    }

    fn lock_odd_list(&self) -> sync::MutexGuard<'_, Option<serde_json::Value>> {
        self.odd_list
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    fn respond(&self, request: tiny_http::Request, url: &str, body: &[u8]) {
        if http::path(url) == "/hosts" {
            return match &*self.lock_odd_list() {
                Some(odd) => http::respond_json(request, 200, odd),
                None => http::respond_json(request, 200, &self.memory.host_list()),
            };
        }
        let status = self.execute(url, body);
        http::respond_empty(request, status);
    }

    fn execute(&self, url: &str, body: &[u8]) -> u16 {
        let path = http::path(url);
        if path == "/orders" {
            let Ok(order) = serde_json::from_slice(body) else {
                return 400;
            };
            return if self.memory.handle_order(order) {
                200
            } else {
                412
            };
        }
        let window = path.strip_prefix("/usage/").and_then(|n| n.parse().ok());
        let Some(window) = window else { return 404 };
        let query_number = |name| http::query_value(url, name).and_then(|n| n.parse::<u64>().ok());
        let part = query_number("part").unwrap_or_default() as u32;
        let fence = query_number("fence").unwrap_or_default();
        let body = String::from_utf8_lossy(body).into_owned();
        self.memory.record_report(memory::ReceivedReport {
            window,
            part,
            fence,
            body,
        });
        200
    }
}
