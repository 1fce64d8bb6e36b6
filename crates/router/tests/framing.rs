//! Tests that a request head with both a length and a transfer coding is detected.

use router::framing;

#[test]
fn both_headers_are_found_in_any_order_and_chunking() {
    let cases = [
        (
            "POST / HTTP/1.1\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n",
            true,
        ),
        (
            "POST / HTTP/1.1\r\ntransfer-encoding:chunked\r\nX: y\r\ncontent-length:4\r\n\r\n",
            true,
        ),
        (
            "POST / HTTP/1.1\nContent-Length: 4\nTransfer-Encoding: chunked\n\n",
            true,
        ),
        (
            "POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\nTransfer-Encoding: chunked\r\n",
            false,
        ),
        (
            "POST / HTTP/1.1\r\nX: Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n",
            false,
        ),
        (
            "POST / HTTP/1.1\r\nX-Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n",
            false,
        ),
        (
            "GET /content-length:transfer-encoding: HTTP/1.1\r\n\r\n",
            false,
        ),
    ];
    for (text, ambiguous) in cases {
        for chunk_bytes in [1, 2, 7, 1_000] {
            let mut scanner = framing::HeadScanner::default();
            for chunk in text.as_bytes().chunks(chunk_bytes) {
                scanner.push(chunk);
            }
            assert_eq!(
                scanner.is_ambiguous(),
                ambiguous,
                "{text:?} in chunks of {chunk_bytes}"
            );
        }
    }
}
