//! Heads that state both a length and a transfer coding.

use router::framing;

#[test]
fn both_are_found_in_any_order_and_cut() {
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
    for (text, double) in cases {
        for size in [1, 2, 7, 1_000] {
            let mut scanner = framing::HeadScanner::default();
            for part in text.as_bytes().chunks(size) {
                scanner.push(part);
            }
            assert_eq!(scanner.is_ambiguous(), double, "{text:?} by {size}");
        }
    }
}
