//! Tests that request heads with both a length and a transfer coding, or a `#` in the target, are detected.

use router::framing;

const BOTH: &str = "POST /x HTTP/1.1\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Scans `text` in pieces and returns for each complete head whether it is ambiguous.
fn scan<'a>(pieces: impl Iterator<Item = &'a [u8]>, head_count: usize) -> Vec<bool> {
    let mut scanner = framing::RequestScanner::default();
    for piece in pieces {
        scanner.push(piece);
    }
    (0..head_count).map(|_| scanner.take_head()).collect()
}

#[test]
fn both_headers_are_found_in_any_order_and_chunking() {
    let cases = [
        (BOTH, true),
        ("POST /x#y HTTP/1.1\r\nX: y\r\n\r\n", true),
        ("GET /x:8?y#\r\n\r\n", true),
        ("POST /x HTTP/1.1\r\nX: #\r\nX#: y\r\n\r\n", false),
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
            assert_eq!(
                scan(text.as_bytes().chunks(chunk_bytes), 1),
                [ambiguous],
                "{text:?} in chunks of {chunk_bytes}"
            );
        }
    }
}

/// Requests or empty lines before an ambiguous request, and how many heads they have. Their bodies look
/// like heads.
const BEFORE: [(&str, usize); 9] = [
    ("\r\n", 0),
    ("\n\r\n", 0),
    ("GET /x HTTP/1.1\r\nHost: h\r\n\r\n", 1),
    ("GET /x HTTP/1.1\r\nHost: h\r\n\r\n\r\n", 1),
    ("POST /x HTTP/1.1\r\nContent-Length: 0\r\n\r\n", 1),
    (
        "POST /x HTTP/1.1\r\nContent-Length: 15\r\nContent-Length: 15\r\n\r\nGET / HTTP/1.1\n",
        1,
    ),
    (
        "POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n11;x=\"y\"\r\nContent-Length: 4\r\n\
         A\r\n\r\nGET x\r\n\r\n\r\n0\r\nContent-Length: 4\r\n\r\n",
        1,
    ),
    (
        "POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        1,
    ),
    (
        "GET /a HTTP/1.1\r\n\r\nPOST /b HTTP/1.1\r\nContent-Length: 1\r\n\r\nxGET /c HTTP/1.1\r\n\r\n",
        3,
    ),
];

/// Guards against request smuggling behind an empty line, or behind a request that has no response yet:
/// such a request was passed on with an empty body.
#[test]
fn both_headers_are_found_behind_other_requests_split_at_each_byte() {
    for (before, head_count) in BEFORE {
        let text = format!("{before}{BOTH}4\r\npaid\r\n0\r\n\r\n");
        let mut expected = vec![false; head_count];
        expected.push(true);
        for split in 0..text.len() {
            let (first, second) = text.as_bytes().split_at(split);
            let found = scan([first, second].into_iter(), head_count + 1);
            assert_eq!(found, expected, "{before:?} split at {split}");
        }
    }
}
