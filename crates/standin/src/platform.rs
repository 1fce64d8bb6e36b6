//! The platform's list of hosts, its ordering interface and its usage reports.

use std::io;
use std::net;
use std::sync;

use ports::{hosts, memory};

use crate::{faults, http};

/// A running platform.
pub struct Platform {
    server: http::Server,
    core: sync::Arc<Inner>,
    /// Its faults.
    pub faults: sync::Arc<faults::FaultInjector>,
}

struct Inner {
    memory: memory::Platform,
    faults: sync::Arc<faults::FaultInjector>,
}

impl Platform {
    /// Starts a platform on `address` that checks fencing numbers if `checks` is set.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub fn start(address: net::SocketAddr, checks: bool) -> io::Result<Self> {
        let faults = sync::Arc::new(faults::FaultInjector::default());
        let memory = memory::Platform::new(checks);
        let core = Inner {
            memory,
            faults: faults.clone(),
        };
        let core = sync::Arc::new(core);
        let serving = core.clone();
        let server = http::Server::start(address, sync::Arc::new(move |r| serving.answer(r)))?;
        Ok(Self {
            server,
            core,
            faults,
        })
    }

    /// Where it listens.
    pub fn address(&self) -> net::SocketAddr {
        self.server.address()
    }

    /// What it has seen.
    pub fn stats(&self) -> memory::Received {
        self.core.memory.received()
    }

    /// Sets what the list says.
    pub fn set_host_list(&self, list: hosts::HostList) {
        self.core.memory.set_host_list(list);
    }

    /// What the list says.
    pub fn host_list(&self) -> hosts::HostList {
        self.core.memory.host_list()
    }
}

impl Inner {
    fn answer(&self, mut request: tiny_http::Request) {
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
            _ => {}
        }
        let kind = match request.method() {
            tiny_http::Method::Get => faults::CallKind::Read,
            _ => faults::CallKind::Write,
        };
        match self.faults.intercept(kind, path) {
            faults::Action::Serve => self.reply(request, &url, &body),
            faults::Action::Unavailable => http::respond_empty(request, 503),
            faults::Action::RateLimited => http::respond_empty(request, 429),
            faults::Action::DropResponse => {
                let _ = self.call(&url, &body);
                http::shutdown_connection(request.remote_addr().copied());
            }
        }
    }

    fn reply(&self, request: tiny_http::Request, url: &str, body: &[u8]) {
        if http::path(url) == "/hosts" {
            let list = self.memory.host_list();
            return http::respond_json(request, 200, &list);
        }
        let status = self.call(url, body);
        http::respond_empty(request, status);
    }

    fn call(&self, url: &str, body: &[u8]) -> u16 {
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
        let number = |name| http::query_value(url, name).and_then(|n| n.parse::<u64>().ok());
        let part = number("part").unwrap_or_default() as u32;
        let fence = number("fence").unwrap_or_default();
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
