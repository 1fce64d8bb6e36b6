//! Test double of the key-value store, backed by memory.

use std::collections;
use std::io;
use std::net;
use std::sync;
use std::thread;

use base::clock;
use ports::{accept, memory, store};

use crate::{faults, http};

/// A running store; it stops when dropped.
pub struct Store {
    server: http::Server,
    /// Contents of the store, which tests may read and change directly.
    pub memory: sync::Arc<memory::MemoryStore>,
    /// Faults that HTTP calls run into. Direct access to `memory` is not affected.
    pub faults: sync::Arc<faults::FaultInjector>,
}

impl Store {
    /// Starts an empty store on `address`; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub fn start(address: net::SocketAddr) -> io::Result<Self> {
        let memory = sync::Arc::new(memory::MemoryStore::default());
        let faults = sync::Arc::new(faults::FaultInjector::default());
        let inner = Inner {
            memory: memory.clone(),
            odd: sync::Mutex::default(),
            faults: faults.clone(),
        };
        let server = http::Server::start(address, sync::Arc::new(move |r| inner.handle(r)))?;
        Ok(Self {
            server,
            memory,
            faults,
        })
    }

    /// Address of the HTTP server.
    pub fn address(&self) -> net::SocketAddr {
        self.server.address()
    }
}

struct Inner {
    memory: sync::Arc<memory::MemoryStore>,
    /// JSON that is sent in place of the entries of these keys: `PUT /odd/KEY` sets it.
    odd: sync::Mutex<collections::BTreeMap<String, serde_json::Value>>,
    faults: sync::Arc<faults::FaultInjector>,
}

impl Inner {
    fn lock_odd(&self) -> sync::MutexGuard<'_, collections::BTreeMap<String, serde_json::Value>> {
        self.odd
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    fn to_json_entry(&self, entry: &store::Entry) -> serde_json::Value {
        let odd = self.lock_odd().get(&entry.key).cloned();
        odd.unwrap_or_else(|| to_json(entry))
    }

    fn to_json_entries(&self, entries: &[store::Entry]) -> serde_json::Value {
        entries.iter().map(|e| self.to_json_entry(e)).collect()
    }

    fn handle(&self, mut request: tiny_http::Request) {
        let url = request.url().to_owned();
        let path = http::path(&url);
        if path == "/fault" {
            let body = http::read_body(&mut request);
            self.faults
                .set(serde_json::from_slice(&body).unwrap_or_default());
            return http::respond_empty(request, 200);
        }
        if path == "/count" {
            return http::respond_json(request, 200, &self.faults.count());
        }
        let body = http::read_body(&mut request);
        let kind = match request.method() {
            tiny_http::Method::Get => faults::CallKind::Read,
            _ => faults::CallKind::Write,
        };
        match self.faults.intercept(kind, path) {
            faults::Action::Serve => self.respond(request, &url, &body),
            faults::Action::Unavailable => http::respond_empty(request, 503),
            faults::Action::RateLimited => http::respond_empty(request, 429),
            faults::Action::DropResponse => {
                let _ = self.execute(request.method(), &url, &body);
                accept::shutdown_connection(request.remote_addr().copied());
            }
        }
    }

    fn respond(&self, request: tiny_http::Request, url: &str, body: &[u8]) {
        match self.execute(request.method(), url, body) {
            Ok(value) => http::respond_json(request, 200, &value),
            Err(store::Error::Conflict(found)) => http::respond_json(request, 409, &found),
            Err(store::Error::TooLarge) => http::respond_empty(request, 413),
            Err(_) => http::respond_empty(request, 404),
        }
    }

    fn execute(
        &self,
        method: &tiny_http::Method,
        url: &str,
        body: &[u8],
    ) -> Result<serde_json::Value, store::Error> {
        use store::Store as _;
        let memory = &self.memory;
        let path = http::path(url);
        let prefix = http::query_value(url, "prefix").unwrap_or_default();
        let after = http::query_value(url, "after").unwrap_or_default();
        if path == "/list" {
            let limit = query_number(url, "limit") as usize;
            let entries = memory.list(&prefix, &after, limit)?;
            return Ok(self.to_json_entries(&entries));
        }
        if path == "/watch" {
            thread::sleep(self.faults.watch_delay());
            let wait = clock::Millis(query_number(url, "wait_ms"));
            let changes = memory.watch(&prefix, query_number(url, "after"), wait)?;
            let entries = self.to_json_entries(&changes.entries);
            return Ok(serde_json::json!({"revision": changes.revision, "entries": entries}));
        }
        if let Some(key) = path.strip_prefix("/odd/") {
            let key = http::decode_path(key);
            let revision = memory.put(&key, b"odd", store::Expect::Any)?;
            let entry = serde_json::from_slice(body).map_err(|_| store::Error::Down)?;
            self.lock_odd().insert(key, entry);
            return Ok(to_json(&revision));
        }
        let key = path.strip_prefix("/kv/").ok_or(store::Error::Down)?;
        let key = &http::decode_path(key);
        match method {
            tiny_http::Method::Get => match memory.get(key)? {
                Some(entry) => Ok(self.to_json_entry(&entry)),
                None => Err(store::Error::Down),
            },
            tiny_http::Method::Delete => {
                memory.delete(key, expected_revision(url))?;
                Ok(to_json(&0))
            }
            _ => Ok(to_json(&memory.put(key, body, expected_revision(url))?)),
        }
    }
}

fn to_json<T: serde::Serialize>(v: &T) -> serde_json::Value {
    serde_json::to_value(v).unwrap_or_default()
}

fn query_number(url: &str, name: &str) -> u64 {
    http::query_value(url, name)
        .and_then(|v| v.parse().ok())
        .unwrap_or_default()
}

fn expected_revision(url: &str) -> store::Expect {
    match http::query_value(url, "expect").as_deref() {
        Some("absent") => store::Expect::Absent,
        Some(r) => r
            .parse()
            .map_or(store::Expect::Any, store::Expect::Revision),
        None => store::Expect::Any,
    }
}
