//! Headers that apply to a single connection and are not forwarded.

const HOP_BY_HOP: [http::HeaderName; 7] = [
    http::header::CONNECTION,
    http::header::PROXY_AUTHENTICATE,
    http::header::TE,
    http::header::TRAILER,
    http::header::TRANSFER_ENCODING,
    http::header::UPGRADE,
    http::header::EXPECT,
];

/// Removes the headers that apply to a single connection, including those named by `Connection`.
pub fn end_to_end(mut head: http::HeaderMap) -> http::HeaderMap {
    let connection_headers: Vec<String> = head
        .get_all(http::header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .map(|n| n.trim().to_ascii_lowercase())
        .collect();
    for name in connection_headers {
        // A client must not be able to remove the length or the host.
        if name != "host" && name != "content-length" {
            head.remove(name.as_str());
        }
    }
    for name in &HOP_BY_HOP {
        head.remove(name);
    }
    head.remove("keep-alive");
    head.remove("proxy-connection");
    head
}

/// Removes the headers that apply to a single connection from a response, and its content length.
pub fn response_parts(mut parts: http::response::Parts) -> http::response::Parts {
    parts.headers = end_to_end(std::mem::take(&mut parts.headers));
    parts.headers.remove(http::header::CONTENT_LENGTH);
    parts
}
