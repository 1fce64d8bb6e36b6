//! Stand-ins of the platform's metadata store and of its cloud API.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Connection, Message};
use crate::json::Json;
use crate::record::Record;

#[derive(Clone)]
struct Item {
    /// Value in base64, as on the wire.
    value: String,
    rev: u64,
    created: u64,
    lease: u64,
}

/// Change of a key: revision, key, and the item or `None` if it was removed.
type Event = (u64, String, Option<Item>);

#[derive(Default)]
struct State {
    items: BTreeMap<String, Item>,
    events: Vec<Event>,
    rev: u64,
    leases: HashMap<u64, (Instant, Duration)>,
}

/// Metadata store in memory. It loses nothing and answers at once.
#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    pub fn start() -> (Arc<Self>, SocketAddr) {
        let store = Arc::new(Self::default());
        let served = store.clone();
        let address = http::serve(move |conn| served.serve(conn));
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                expiring.expire_leases();
            }
        });
        (store, address)
    }

    /// Writes a value without a lease, as the operator and the workers do.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.lock().expect("store");
        state.write(key, base64(value.as_bytes()), 0);
        self.changed.notify_all();
    }

    /// Removes a key.
    pub fn remove(&self, key: &str) {
        self.state.lock().expect("store").remove(key);
        self.changed.notify_all();
    }

    fn expire_leases(&self) {
        let mut state = self.state.lock().expect("store");
        let now = Instant::now();
        let over = state.leases.iter().filter(|(_, (end, _))| now >= *end);
        let over: Vec<u64> = over.map(|(lease, _)| *lease).collect();
        for lease in over {
            state.end_lease(lease);
            self.changed.notify_all();
        }
    }

    fn serve(&self, mut conn: Connection) {
        while let Some(request) = conn.read() {
            let (status, body) = self.respond(&request);
            let head = "Content-Type: application/json\r\n";
            if conn
                .send(&http::response(status, head, body.as_bytes()))
                .is_err()
            {
                return;
            }
        }
    }

    fn respond(&self, request: &Message) -> (u16, String) {
        let (method, target) = request.request();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let body = Json::parse(&request.body);
        let id = path.rsplit('/').next().and_then(|id| id.parse().ok());
        if path == "/api/kv-watch" {
            return self.watch(query);
        }
        let mut state = self.state.lock().expect("store");
        let answer = match (method, path) {
            ("GET", "/api/kv-key") => state.get(param(query, "key")),
            ("GET", "/api/kv-range") => {
                state.range(param(query, "path_prefix"), param(query, "after_rev"))
            }
            ("POST", "/api/kv-txn") => state.commit(&body),
            ("POST", "/api/kv-lease") => state.grant(body.get("ttl_ms").number()),
            _ if path.starts_with("/api/kv-keep/") => state.renew(id.unwrap_or(0)),
            _ if path.starts_with("/api/kv-lease-end/") => {
                state.end_lease(id.unwrap_or(0));
                (200, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        };
        self.changed.notify_all();
        answer
    }

    fn watch(&self, query: &str) -> (u16, String) {
        let prefix = param(query, "path_prefix");
        let after: u64 = param(query, "after_rev").parse().unwrap_or(0);
        let wait = Duration::from_millis(param(query, "wait_ms").parse().unwrap_or(0));
        let end = Instant::now() + wait;
        let mut state = self.state.lock().expect("store");
        loop {
            let events = state.events.iter();
            let events = events.filter(|(rev, key, _)| *rev > after && key.starts_with(prefix));
            let events: Vec<String> = events.map(event_json).collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, as_of) = (events.join(","), state.rev);
                return (200, format!("{{\"events\":[{events}],\"as_of\":{as_of}}}"));
            }
            state = self.changed.wait_timeout(state, left).expect("store").0;
        }
    }
}

impl State {
    fn write(&mut self, key: &str, value: String, lease: u64) {
        self.rev += 1;
        let item = Item {
            value,
            rev: self.rev,
            created: self.items.get(key).map_or(self.rev, |i| i.created),
            lease,
        };
        self.events
            .push((self.rev, key.to_owned(), Some(item.clone())));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.rev += 1;
            self.events.push((self.rev, key.to_owned(), None));
        }
    }

    fn get(&self, key: &str) -> (u16, String) {
        let as_of = self.rev;
        match self.items.get(key) {
            Some(item) => (200, item_json(key, item, &format!(",\"as_of\":{as_of}"))),
            None => (404, format!("{{\"as_of\":{as_of}}}")),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, String) {
        let items = self.items.iter();
        let items = items.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let items: Vec<String> = items.map(|(key, item)| item_json(key, item, "")).collect();
        let (items, as_of) = (items.join(","), self.rev);
        let body = format!("{{\"items\":[{items}],\"has_more\":false,\"as_of\":{as_of}}}");
        (200, body)
    }

    fn commit(&mut self, body: &Json) -> (u16, String) {
        for row in body.get("expected_rev").list() {
            let rev = self.items.get(row.get("key").text()).map_or(0, |i| i.rev);
            if rev != row.get("rev").number() {
                return (412, "{\"items\":[]}".to_owned());
            }
        }
        let writes = body.get("writes").list();
        for row in writes {
            let lease = row.get("lease").number();
            if lease != 0 && !self.leases.contains_key(&lease) {
                return (404, "{}".to_owned());
            }
        }
        for row in writes {
            let value = row.get("value").text().to_owned();
            self.write(row.get("key").text(), value, row.get("lease").number());
        }
        for row in body.get("remove").list() {
            self.remove(row.text());
        }
        (200, format!("{{\"rev\":{}}}", self.rev))
    }

    fn grant(&mut self, ttl_ms: u64) -> (u16, String) {
        self.rev += 1;
        let ttl = Duration::from_millis(ttl_ms);
        self.leases.insert(self.rev, (Instant::now() + ttl, ttl));
        let lease = self.rev;
        (200, format!("{{\"lease\":{lease},\"ttl_ms\":{ttl_ms}}}"))
    }

    fn renew(&mut self, lease: u64) -> (u16, String) {
        let Some((end, ttl)) = self.leases.get_mut(&lease) else {
            return (404, "{}".to_owned());
        };
        *end = Instant::now() + *ttl;
        (200, format!("{{\"ttl_ms\":{}}}", ttl.as_millis()))
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let held = self.items.iter().filter(|(_, item)| item.lease == lease);
        let held: Vec<String> = held.map(|(key, _)| key.clone()).collect();
        for key in held {
            self.remove(&key);
        }
    }
}

fn item_json(key: &str, item: &Item, more: &str) -> String {
    let Item {
        value,
        rev,
        created,
        lease,
    } = item;
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"rev\":{rev},\"created\":{created},\
         \"lease\":{lease}{more}}}"
    )
}

fn event_json((rev, key, item): &Event) -> String {
    match item {
        Some(item) => item_json(key, item, ""),
        None => format!("{{\"key\":\"{key}\",\"rev\":{rev},\"deleted\":true}}"),
    }
}

fn param<'a>(query: &'a str, name: &str) -> &'a str {
    let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
    pairs
        .find(|(n, _)| *n == name)
        .map_or("", |(_, value)| value)
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |i: usize| u32::from(chunk.get(i).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for i in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * i) & 63) as usize];
            out.push(if i <= chunk.len() { digit as char } else { '=' });
        }
    }
    out
}

/// Starts a cloud API that accepts and records every order and usage report.
pub fn start_cloud(record: Arc<Record>) -> SocketAddr {
    http::serve(move |mut conn| {
        while let Some(request) = conn.read() {
            record.line(&format!(
                "cloud   {} holder {} token {} {}",
                request.start,
                request.header("duty-holder"),
                request.header("fencing-token"),
                String::from_utf8_lossy(&request.body),
            ));
            if conn.send(&http::response(200, "", b"{}")).is_err() {
                return;
            }
        }
    })
}
