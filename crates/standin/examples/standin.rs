//! Runs one test double as a process: `standin store|plain|platform IP:PORT`, or
//! `standin engine IP:PORT [SLOTS FIRST_MS GAP_MS]`.
//!
//! The process prints the address of its server as the first line and runs until it is killed.

use std::io::Write as _;
use std::net;
use std::thread;

use standin::{engine, plain, platform, store};

fn main() {
    let mut args = std::env::args().skip(1);
    let kind = args.next().unwrap_or_default();
    let address: net::SocketAddr = match args.next().unwrap_or_default().parse() {
        Ok(address) => address,
        Err(_) => exit_with_error("usage: standin store|engine|plain|platform IP:PORT"),
    };
    match kind.as_str() {
        "store" => run_until_killed(store::Store::start(address).map(|s| (s.address(), s))),
        "engine" => {
            let mut next_number = || args.next().and_then(|n| n.parse::<u32>().ok());
            let defaults = engine::Settings::default();
            let settings = engine::Settings {
                slots: next_number().unwrap_or(defaults.slots),
                first_token_ms: next_number().map_or(defaults.first_token_ms, u64::from),
                token_gap_ms: next_number().map_or(defaults.token_gap_ms, u64::from),
            };
            run_until_killed(engine::Engine::start(address, settings).map(|s| (s.address(), s)));
        }
        "plain" => run_until_killed(plain::PlainService::start(address).map(|s| (s.address(), s))),
        "platform" => {
            run_until_killed(platform::Platform::start(address, false).map(|s| (s.address(), s)))
        }
        _ => exit_with_error("unknown kind of test double: use store, engine, plain or platform"),
    }
}

fn run_until_killed<T>(started: std::io::Result<(net::SocketAddr, T)>) {
    let (address, _server) = match started {
        Ok(started) => started,
        Err(e) => exit_with_error(&format!("can't listen on the address: {e}")),
    };
    println!("{address}");
    let _ = std::io::stdout().flush();
    loop {
        thread::park();
    }
}

fn exit_with_error(message: &str) -> ! {
    eprintln!("{message}");
    std::process::exit(2);
}
