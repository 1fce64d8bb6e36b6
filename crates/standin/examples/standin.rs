//! Runs one stand-in as a process: `standin store|plain|platform IP:PORT`, or
//! `standin engine IP:PORT [SLOTS FIRST_MS GAP_MS]`.
//!
//! It prints the address it listens on as its first line and runs until it is killed.

use std::io::Write as _;
use std::net;
use std::thread;

use standin::{engine, plain, platform, store};

fn main() {
    let mut args = std::env::args().skip(1);
    let kind = args.next().unwrap_or_default();
    let address: net::SocketAddr = match args.next().unwrap_or_default().parse() {
        Ok(address) => address,
        Err(_) => fail("usage: standin store|engine|plain|platform IP:PORT"),
    };
    match kind.as_str() {
        "store" => hold(store::Store::start(address).map(|s| (s.address(), s))),
        "engine" => {
            let mut number = || args.next().and_then(|n| n.parse::<u32>().ok());
            let base = engine::Settings::default();
            let settings = engine::Settings {
                slots: number().unwrap_or(base.slots),
                first_token_ms: number().map_or(base.first_token_ms, u64::from),
                token_gap_ms: number().map_or(base.token_gap_ms, u64::from),
            };
            hold(engine::Engine::start(address, settings).map(|s| (s.address(), s)));
        }
        "plain" => hold(plain::PlainService::start(address).map(|s| (s.address(), s))),
        "platform" => hold(platform::Platform::start(address, false).map(|s| (s.address(), s))),
        _ => fail("unknown stand-in: use store, engine, plain or platform"),
    }
}

fn hold<T>(started: std::io::Result<(net::SocketAddr, T)>) {
    let (address, _server) = match started {
        Ok(started) => started,
        Err(e) => fail(&format!("can't listen: {e}")),
    };
    println!("{address}");
    let _ = std::io::stdout().flush();
    loop {
        thread::park();
    }
}

fn fail(text: &str) -> ! {
    eprintln!("{text}");
    std::process::exit(2);
}
