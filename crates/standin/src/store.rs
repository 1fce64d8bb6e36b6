//! The key-value service.

use std::io;
use std::net;
use std::sync;
use std::thread;

use base::clock;
use ports::{memory, store};

use crate::{faults, serve};

/// A running store.
pub struct Store {
    server: serve::Server,
    /// What it holds.
    pub memory: sync::Arc<memory::MemoryStore>,
    /// Its faults.
    pub faults: sync::Arc<faults::Faults>,
}

impl Store {
    /// Starts an empty store on `address`.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub fn start(address: net::SocketAddr) -> io::Result<Self> {
        let memory = sync::Arc::new(memory::MemoryStore::default());
        let faults = sync::Arc::new(faults::Faults::default());
        let core = Core {
            memory: memory.clone(),
            faults: faults.clone(),
        };
        let server = serve::Server::start(address, sync::Arc::new(move |r| core.answer(r)))?;
        Ok(Self {
            server,
            memory,
            faults,
        })
    }

    /// Where it listens.
    pub fn address(&self) -> net::SocketAddr {
        self.server.address()
    }
}

struct Core {
    memory: sync::Arc<memory::MemoryStore>,
    faults: sync::Arc<faults::Faults>,
}

impl Core {
    fn answer(&self, mut request: tiny_http::Request) {
        let url = request.url().to_owned();
        let path = serve::path(&url);
        if path == "/fault" {
            let body = serve::body(&mut request);
            self.faults
                .set(serde_json::from_slice(&body).unwrap_or_default());
            return serve::empty(request, 200);
        }
        if path == "/count" {
            return serve::json(request, 200, &self.faults.count());
        }
        let body = serve::body(&mut request);
        let kind = match request.method() {
            tiny_http::Method::Get => faults::Kind::Read,
            _ => faults::Kind::Write,
        };
        match self.faults.judge(kind, path) {
            faults::Verdict::Serve => self.reply(request, &url, &body),
            faults::Verdict::Down => serve::empty(request, 503),
            faults::Verdict::Limited => serve::empty(request, 429),
            faults::Verdict::Lose => {
                let _ = self.call(request.method(), &url, &body);
                serve::cut(request.remote_addr().copied());
            }
        }
    }

    fn reply(&self, request: tiny_http::Request, url: &str, body: &[u8]) {
        match self.call(request.method(), url, body) {
            Ok(value) => serve::json(request, 200, &value),
            Err(store::Error::Conflict(found)) => serve::json(request, 409, &found),
            Err(store::Error::TooLarge) => serve::empty(request, 413),
            Err(_) => serve::empty(request, 404),
        }
    }

    fn call(
        &self,
        method: &tiny_http::Method,
        url: &str,
        body: &[u8],
    ) -> Result<serde_json::Value, store::Error> {
        use store::Store as _;
        let memory = &self.memory;
        let path = serve::path(url);
        let prefix = serve::query(url, "prefix").unwrap_or_default();
        let after = serve::query(url, "after").unwrap_or_default();
        if path == "/list" {
            let limit = number(url, "limit") as usize;
            return Ok(value(&memory.list(prefix, after, limit)?));
        }
        if path == "/watch" {
            thread::sleep(self.faults.watch_hold());
            let wait = clock::Millis(number(url, "wait_ms"));
            return Ok(value(&memory.watch(prefix, number(url, "after"), wait)?));
        }
        let key = path.strip_prefix("/kv/").ok_or(store::Error::Down)?;
        match method {
            tiny_http::Method::Get => match memory.get(key)? {
                Some(entry) => Ok(value(&entry)),
                None => Err(store::Error::Down),
            },
            tiny_http::Method::Delete => {
                memory.delete(key, expect(url))?;
                Ok(value(&0))
            }
            _ => Ok(value(&memory.put(key, body, expect(url))?)),
        }
    }
}

fn value<T: serde::Serialize>(v: &T) -> serde_json::Value {
    serde_json::to_value(v).unwrap_or_default()
}

fn number(url: &str, name: &str) -> u64 {
    serve::query(url, name)
        .and_then(|v| v.parse().ok())
        .unwrap_or_default()
}

fn expect(url: &str) -> store::Expect {
    match serve::query(url, "expect") {
        Some("absent") => store::Expect::Absent,
        Some(r) => r
            .parse()
            .map_or(store::Expect::Any, store::Expect::Revision),
        None => store::Expect::Any,
    }
}
