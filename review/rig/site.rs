//! Manifest, entries of workers, and requests of clients, as on a small installation.

use std::net::SocketAddr;

/// Key of the only tenant.
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";
/// Host name of all routes.
pub const HOST_NAME: &str = "ficu95.example";
/// Service of language-model workers.
pub const ENGINES: &str = "huvo11a";
/// Service of plain workers.
pub const DESK: &str = "wuno96b";

fn route(name: &str, kind: &str, service: &str, attempts: u32, timeout_ms: u32) -> String {
    let resumable = kind == "streaming" && attempts > 1;
    let is_stream = kind == "streaming";
    let goal_ms = if is_stream { 2_000 } else { 400 };
    format!(
        "{{\"name\":\"{name}\",\"host\":\"{HOST_NAME}\",\"path_prefix\":\"/{name}/\",\
         \"route_kind\":\"{kind}\",\"timeout_ms\":{timeout_ms},\"goal_ms\":{goal_ms},\"priority\":1,\
         \"service\":\"{service}\",\"attempts\":{attempts},\"public\":false,\
         \"sticky\":{is_stream},\"resumable\":{resumable},\"gap_target_ms\":400}}"
    )
}

/// Manifest with one route for each kind of request.
pub fn manifest(version: u64) -> String {
    let routes = [
        route("stream", "streaming", ENGINES, 2, 8_000),
        route("sheet", "streaming", ENGINES, 1, 5_000),
        route("stream-once", "streaming", ENGINES, 1, 8_000),
        route("write", "nonidempotent", DESK, 1, 2_000),
        route("read", "idempotent", DESK, 2, 2_000),
    ];
    let engine = "{\"slots\":128,\"kv_capacity\":563606,\"kv_token_bytes\":18432,\"stride\":5}";
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[\
         {{\"name\":\"{ENGINES}\",\"health_path\":\"/healthz\",\"max_conns\":610,\
         \"engine\":{engine}}},\
         {{\"name\":\"{DESK}\",\"health_path\":\"/healthz\",\"max_conns\":96}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[\"{KEY}\"],\"priority\":1}}]}}",
        routes.join(",")
    )
}

/// Start time of a worker in its entry, in Unix milliseconds.
pub const BORN: &str = "1764900000000";

/// Store entry of a ready worker.
pub fn entry(service: &str, address: SocketAddr, slots: u32, seq: u64) -> String {
    entry_in_state(service, address, slots, seq, "ready")
}

/// Store entry of a worker.
pub fn entry_in_state(
    service: &str,
    address: SocketAddr,
    slots: u32,
    seq: u64,
    state: &str,
) -> String {
    format!(
        "{{\"service\":\"{service}\",\"addr\":\"{address}\",\"zone\":\"amman-a\",\
         \"version\":\"v1\",\"slots\":{slots},\"state\":\"{state}\",\"cold_left_ms\":0,\
         \"seq\":{seq},\"born\":{BORN}}}"
    )
}

/// Request of a client with a length.
pub fn request(method: &str, path: &str, id: &str, more: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST_NAME}\r\nRequest-Id: {id}\r\n\
         Deadline-Ms: 8000\r\nAuthorization: Bearer {KEY}\r\n{more}\
         Content-Length: {length}\r\n\r\n{body}"
    )
}

/// Headers of a response that a worker has signed.
pub fn signed(id: &str) -> String {
    format!("Request-Id: {id}\r\nServer-Signature: 3e1b.07.5a2.600.0.{id}\r\n")
}
