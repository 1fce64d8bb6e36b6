//! Many callers at once, each keeping its connection.

mod env;

use std::io::BufRead as _;
use std::io::Write as _;
use std::net;
use std::time;

/// Every one of many connections opened together is answered while all the others are held.
#[test]
fn connections_opened_together_are_all_answered() {
    let (site, _key) = env::Site::ready(&["lalitpur"], 0);
    for round in 0..10 {
        let mut held: Vec<net::TcpStream> = Vec::new();
        for _ in 0..60 {
            held.push(net::TcpStream::connect(site.host_configs[0].listen).expect("connect"));
        }
        for socket in &mut held {
            socket
                .write_all(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
                .expect("send");
        }
        for (n, socket) in held.iter().enumerate() {
            // Shorter than the time after which the host closes idle connections.
            let limit = time::Duration::from_secs(10);
            socket.set_read_timeout(Some(limit)).expect("timeout");
            let mut line = String::new();
            let read = std::io::BufReader::new(socket).read_line(&mut line);
            assert!(
                read.is_ok(),
                "round {round}: connection {n} is not answered: {read:?}"
            );
            assert_eq!(line.trim(), "HTTP/1.1 200 OK");
        }
    }
}
