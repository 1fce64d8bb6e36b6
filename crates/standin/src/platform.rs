//! The platform's list of hosts, its ordering interface and its usage reports.

use std::io;
use std::net;
use std::sync;

use ports::{hosts, memory};

use crate::{faults, serve};

/// A running platform.
pub struct Platform {
    server: serve::Server,
    core: sync::Arc<Core>,
    /// Its faults.
    pub faults: sync::Arc<faults::Faults>,
}

struct Core {
    memory: memory::Platform,
    faults: sync::Arc<faults::Faults>,
}

impl Platform {
    /// Starts a platform on `address` that checks fencing numbers if `checks` is set.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub fn start(address: net::SocketAddr, checks: bool) -> io::Result<Self> {
        let faults = sync::Arc::new(faults::Faults::default());
        let memory = memory::Platform::new(checks);
        let core = Core {
            memory,
            faults: faults.clone(),
        };
        let core = sync::Arc::new(core);
        let serving = core.clone();
        let server = serve::Server::start(address, sync::Arc::new(move |r| serving.answer(r)))?;
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
    pub fn set_list(&self, list: hosts::HostList) {
        self.core.memory.set_host_list(list);
    }

    /// What the list says.
    pub fn list(&self) -> hosts::HostList {
        self.core.memory.host_list()
    }
}

impl Core {
    fn answer(&self, mut request: tiny_http::Request) {
        let body = serve::body(&mut request);
        let url = request.url().to_owned();
        let path = serve::path(&url);
        match path {
            "/fault" => {
                self.faults
                    .set(serde_json::from_slice(&body).unwrap_or_default());
                return serve::empty(request, 200);
            }
            "/stats" => {
                let stats = self.memory.received();
                return serve::json(request, 200, &stats);
            }
            "/list" => {
                self.memory
                    .set_host_list(serde_json::from_slice(&body).unwrap_or_default());
                return serve::empty(request, 200);
            }
            _ => {}
        }
        let kind = match request.method() {
            tiny_http::Method::Get => faults::Kind::Read,
            _ => faults::Kind::Write,
        };
        match self.faults.judge(kind, path) {
            faults::Verdict::Serve => self.reply(request, &url, &body),
            faults::Verdict::Down => serve::empty(request, 503),
            faults::Verdict::Limited => serve::empty(request, 429),
            faults::Verdict::Lose => {
                let _ = self.call(&url, &body);
                serve::cut(request.remote_addr().copied());
            }
        }
    }

    fn reply(&self, request: tiny_http::Request, url: &str, body: &[u8]) {
        if serve::path(url) == "/hosts" {
            let list = self.memory.host_list();
            return serve::json(request, 200, &list);
        }
        let status = self.call(url, body);
        serve::empty(request, status);
    }

    fn call(&self, url: &str, body: &[u8]) -> u16 {
        let path = serve::path(url);
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
        let number = |name| serve::query(url, name).and_then(|n| n.parse::<u64>().ok());
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
