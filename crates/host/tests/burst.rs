//! Guards against connections that are never served when many clients connect at the same time and
//! keep their connections open.

mod env;

use std::io::BufRead as _;
use std::io::Write as _;
use std::net;
use std::time;

#[test]
fn connections_opened_together_all_receive_responses() {
    let (site, _key) = env::Site::ready(&["lalitpur"], 0);
    for round in 0..10 {
        let mut sockets: Vec<net::TcpStream> = Vec::new();
        for _ in 0..60 {
            sockets.push(net::TcpStream::connect(site.host_configs[0].listen).expect("connect"));
        }
        for socket in &mut sockets {
            socket
                .write_all(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
                .expect("send");
        }
        for (n, socket) in sockets.iter().enumerate() {
            // Shorter than the timeout after which the host closes idle connections.
            let read_timeout = time::Duration::from_secs(10);
            socket
                .set_read_timeout(Some(read_timeout))
                .expect("timeout");
            let mut line = String::new();
            let result = std::io::BufReader::new(socket).read_line(&mut line);
            assert!(
                result.is_ok(),
                "round {round}: no response on connection {n}: {result:?}"
            );
            assert_eq!(line.trim(), "HTTP/1.1 200 OK");
        }
    }
}
