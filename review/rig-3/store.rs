//! The platform's store and its duty calls: PROTOCOL.md, "The platform's metadata store" and "Singleton
//! duties", and the news on a store that comes back from an older copy.

use std::collections::BTreeMap;
use std::io::Write as _;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Message, Reader, Server};
use crate::json::{self, Value};
use crate::record::Record;

/// Items on a page.
const PAGE_ITEMS: usize = 500;
/// Time for which the history is kept.
const HISTORY: Duration = Duration::from_secs(20);

#[derive(Clone)]
struct Item {
    value: String,
    rev: u64,
    created: u64,
    lease: u64,
}

#[derive(Clone)]
struct Event {
    rev: u64,
    key: String,
    text: String,
    at: Instant,
}

/// Contents of the store at one time.
#[derive(Clone, Default)]
struct Contents {
    rev: u64,
    items: BTreeMap<String, Item>,
    events: Vec<Event>,
    /// Revision of the newest event that was discarded.
    discarded: u64,
    /// End and time to live of each lease.
    leases: BTreeMap<u64, (Instant, Duration)>,
    next_lease: u64,
}

#[derive(Default)]
struct State {
    contents: Contents,
    era: u64,
    is_away: bool,
}

/// The store, as operators, workers and tests use it.
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    record: Arc<Record>,
    server: Mutex<Option<Server>>,
    doors: Mutex<Vec<Server>>,
}

/// A copy from which the store can be restored.
pub struct Copy(Contents);

impl Contents {
    fn write(&mut self, key: &str, value: String, lease: u64) -> u64 {
        self.rev += 1;
        let created = self.items.get(key).map_or(self.rev, |i| i.created);
        let item = Item {
            value,
            rev: self.rev,
            created,
            lease,
        };
        self.push_event(key, item_text(key, &item));
        self.items.insert(key.to_owned(), item);
        self.rev
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.rev += 1;
            let text = format!("{{\"key\":{},\"rev\":{},\"deleted\":true}}", json::quote(key), self.rev);
            self.push_event(key, text);
        }
    }

    fn push_event(&mut self, key: &str, text: String) {
        let now = Instant::now();
        while self.events.first().is_some_and(|e| now - e.at > HISTORY) {
            self.discarded = self.events.remove(0).rev;
        }
        self.events.push(Event {
            rev: self.rev,
            key: key.to_owned(),
            text,
            at: now,
        });
    }

    fn end_lease(&mut self, lease: u64) -> bool {
        let existed = self.leases.remove(&lease).is_some();
        let keys = self.items.iter().filter(|(_, i)| i.lease == lease);
        let keys: Vec<String> = keys.map(|(k, _)| k.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
        existed
    }

    fn expire_leases(&mut self) -> bool {
        let now = Instant::now();
        let ended = self.leases.iter().filter(|(_, (end, _))| now >= *end);
        let ended: Vec<u64> = ended.map(|(l, _)| *l).collect();
        for lease in &ended {
            self.end_lease(*lease);
        }
        !ended.is_empty()
    }

    fn commit(&mut self, body: &Value) -> (u16, String) {
        let expected = body.field("expected_rev").list();
        let is_met = |row: &Value| {
            let rev = self.items.get(row.field("key").text()).map_or(0, |i| i.rev);
            rev == row.field("rev").number()
        };
        if !expected.iter().all(is_met) {
            let found = expected.iter().filter_map(|row| {
                let key = row.field("key").text();
                self.items.get(key).map(|item| item_text(key, item))
            });
            let found: Vec<String> = found.collect();
            return (412, format!("{{\"items\":[{}]}}", found.join(",")));
        }
        let writes = body.field("writes").list();
        let leases = writes.iter().map(|row| row.field("lease").number());
        if leases.clone().any(|lease| lease != 0 && !self.leases.contains_key(&lease)) {
            return (404, "{}".to_owned());
        }
        for row in writes {
            let value = row.field("value").text().to_owned();
            self.write(row.field("key").text(), value, row.field("lease").number());
        }
        for key in body.field("remove").list() {
            self.remove(key.text());
        }
        (200, format!("{{\"rev\":{}}}", self.rev))
    }
}

fn item_text(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":{},\"value\":\"{}\",\"rev\":{},\"created\":{},\"lease\":{}}}",
        json::quote(key),
        item.value,
        item.rev,
        item.created,
        item.lease
    )
}

impl Store {
    /// Starts an empty store and returns it with its address, which is also that of the duty calls.
    pub fn start(record: &Arc<Record>) -> (Arc<Self>, SocketAddr) {
        let store = Arc::new(Self {
            state: Mutex::new(State {
                contents: Contents {
                    rev: 1,
                    ..Contents::default()
                },
                era: 1,
                is_away: false,
            }),
            changed: Condvar::new(),
            record: record.clone(),
            server: Mutex::new(None),
            doors: Mutex::default(),
        });
        let shared = store.clone();
        let server = Server::start(http::free_port(), move |stream| shared.serve(stream)).expect("a port");
        let address = server.address;
        *store.server.lock().unwrap() = Some(server);
        let shared = store.clone();
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(20));
            if shared.state.lock().unwrap().contents.expire_leases() {
                shared.changed.notify_all();
            }
        });
        (store, address)
    }

    /// Opens another address of the store, which turns calls away while the returned flag is set.
    pub fn open_door(self: &Arc<Self>) -> (SocketAddr, Arc<AtomicBool>) {
        let is_shut: Arc<AtomicBool> = Arc::default();
        let (store, flag) = (self.clone(), is_shut.clone());
        let server = Server::start(http::free_port(), move |stream| {
            store.serve_door(stream, &flag);
        });
        let server = server.expect("a port");
        let address = server.address;
        self.doors.lock().unwrap().push(server);
        (address, is_shut)
    }

    /// Writes as operators and workers do. Returns the revision, or `None` while the store is away.
    pub fn write(&self, key: &str, text: &str) -> Option<u64> {
        let mut state = self.state.lock().unwrap();
        if state.is_away {
            return None;
        }
        let rev = state.contents.write(key, json::base64(text.as_bytes()), 0);
        self.changed.notify_all();
        Some(rev)
    }

    /// Removes a key. Does nothing while the store is away.
    pub fn remove(&self, key: &str) {
        let mut state = self.state.lock().unwrap();
        if !state.is_away {
            state.contents.remove(key);
            self.changed.notify_all();
        }
    }

    /// Revision and era.
    pub fn position(&self) -> (u64, u64) {
        let state = self.state.lock().unwrap();
        (state.contents.rev, state.era)
    }

    /// Copies the contents.
    pub fn copy(&self) -> Copy {
        Copy(self.state.lock().unwrap().contents.clone())
    }

    /// The store goes away: connections end, and new ones are closed.
    pub fn leave(&self) {
        self.state.lock().unwrap().is_away = true;
        self.changed.notify_all();
        if let Some(server) = &*self.server.lock().unwrap() {
            server.reset();
        }
        self.doors.lock().unwrap().iter().for_each(Server::reset);
    }

    /// The store comes back as it was.
    pub fn come_back(&self) {
        self.state.lock().unwrap().is_away = false;
    }

    /// The store comes back from a copy. The leases of the copy begin anew; those granted since are gone.
    pub fn restore(&self, copy: Copy) {
        let mut state = self.state.lock().unwrap();
        state.contents = copy.0;
        let now = Instant::now();
        for (end, ttl) in state.contents.leases.values_mut() {
            *end = now + *ttl;
        }
        state.era += 1;
        state.is_away = false;
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        self.serve_door(stream, &AtomicBool::new(false));
    }

    fn serve_door(&self, stream: TcpStream, is_shut: &AtomicBool) {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = Reader::new(stream);
        while let Ok(request) = reader.message() {
            let begun = {
                let state = self.state.lock().unwrap();
                (state.era, state.is_away)
            };
            if begun.1 {
                return;
            }
            if is_shut.load(Ordering::SeqCst) {
                let headers = format!("Store-Era: {}\r\n", begun.0);
                if writer.write_all(http::response(503, &headers, "").as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let (status, body) = self.respond(&request);
            {
                let state = self.state.lock().unwrap();
                if state.is_away || state.era != begun.0 {
                    return;
                }
            }
            let headers = format!("Store-Era: {}\r\nContent-Type: application/json\r\n", begun.0);
            let text = http::response(status, &headers, &body);
            if writer.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn respond(&self, request: &Message) -> (u16, String) {
        let (method, target) = request.target();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let body = Value::parse(&request.text());
        let mut state = self.state.lock().unwrap();
        let contents = &mut state.contents;
        contents.expire_leases();
        match (method, path) {
            ("GET", "/api/kv-key") => {
                let key = param(query, "key");
                let as_of = contents.rev;
                match contents.items.get(&key) {
                    None => (404, format!("{{\"as_of\":{as_of}}}")),
                    Some(item) => {
                        let text = item_text(&key, item);
                        let text = text.trim_end_matches('}');
                        (200, format!("{text},\"as_of\":{as_of}}}"))
                    }
                }
            }
            ("GET", "/api/kv-range") => {
                let (prefix, after) = (param(query, "path_prefix"), param(query, "after_rev"));
                let found = contents.items.iter();
                let found = found.filter(|(k, _)| k.starts_with(&prefix) && **k > after);
                let found: Vec<String> = found.map(|(k, i)| item_text(k, i)).collect();
                let page = &found[..found.len().min(PAGE_ITEMS)];
                let has_more = found.len() > page.len();
                let (page, rev) = (page.join(","), contents.rev);
                (200, format!("{{\"items\":[{page}],\"has_more\":{has_more},\"as_of\":{rev}}}"))
            }
            ("GET", "/api/kv-watch") => {
                drop(state);
                self.watch(query)
            }
            ("POST", "/api/kv-txn") => {
                let result = contents.commit(&body);
                self.changed.notify_all();
                result
            }
            ("POST", "/api/kv-lease") => {
                contents.next_lease += 1;
                let lease = contents.next_lease;
                let ttl = Duration::from_millis(body.field("ttl_ms").number());
                contents.leases.insert(lease, (Instant::now() + ttl, ttl));
                (200, format!("{{\"lease\":{lease},\"ttl_ms\":{}}}", ttl.as_millis()))
            }
            ("POST", "/usage" | "/capacity") => {
                drop(state);
                let holder = request.header("duty-holder").unwrap_or("");
                let token = request.header("fencing-token").unwrap_or("");
                let body = request.text();
                self.record.line(&format!("duty {path} holder={holder} token={token} {body}"));
                (200, "{}".to_owned())
            }
            _ => {
                let id = |prefix: &str| path.strip_prefix(prefix)?.parse::<u64>().ok();
                if let Some(lease) = id("/api/kv-keep/") {
                    let Some((end, ttl)) = contents.leases.get_mut(&lease) else {
                        return (404, "{}".to_owned());
                    };
                    *end = Instant::now() + *ttl;
                    return (200, format!("{{\"ttl_ms\":{}}}", ttl.as_millis()));
                }
                let Some(lease) = id("/api/kv-lease-end/") else {
                    return (404, "{}".to_owned());
                };
                let existed = contents.end_lease(lease);
                self.changed.notify_all();
                (if existed { 200 } else { 404 }, "{}".to_owned())
            }
        }
    }

    fn watch(&self, query: &str) -> (u16, String) {
        let prefix = param(query, "path_prefix");
        let after: u64 = param(query, "after_rev").parse().unwrap_or(0);
        let wait = param(query, "wait_ms").parse().unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait);
        let mut state = self.state.lock().unwrap();
        let era = state.era;
        loop {
            let contents = &state.contents;
            if state.is_away || state.era != era || after < contents.discarded || after > contents.rev {
                return (410, "{}".to_owned());
            }
            let events = contents.events.iter();
            let events = events.filter(|e| e.rev > after && e.key.starts_with(&prefix));
            let events: Vec<&str> = events.map(|e| e.text.as_str()).collect();
            let now = Instant::now();
            if !events.is_empty() || now >= end {
                let (events, rev) = (events.join(","), contents.rev);
                return (200, format!("{{\"events\":[{events}],\"as_of\":{rev}}}"));
            }
            state = self.changed.wait_timeout(state, end - now).unwrap().0;
        }
    }
}

fn param(query: &str, name: &str) -> String {
    let pairs = query.split('&').filter_map(|p| p.split_once('='));
    let value = pairs.into_iter().find(|(n, _)| *n == name);
    let text = value.map_or("", |(_, v)| v).replace('+', " ");
    let mut out = Vec::new();
    let mut bytes = text.bytes();
    while let Some(byte) = bytes.next() {
        if byte != b'%' {
            out.push(byte);
            continue;
        }
        let hex: Vec<u8> = bytes.by_ref().take(2).collect();
        let hex = String::from_utf8_lossy(&hex).into_owned();
        out.push(u8::from_str_radix(&hex, 16).unwrap_or(b'?'));
    }
    String::from_utf8_lossy(&out).into_owned()
}
