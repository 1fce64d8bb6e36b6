//! Sends one order within a lease term and suspends itself at a step, for `tests/orders.rs`.
//!
//! Usage: `orderer guarded|checked IP:PORT EPOCH TTL_MS checked|connected|written|none`.
//! `guarded` sends with [`orders::GuardedClient`]; `checked` only checks the lease before sending.

use std::net;

use base::clock;
use ports::orders::OrderSender as _;
use ports::{http, orders};

/// Suspends this process until its parent sends `SIGCONT`.
fn suspend() {
    // SAFETY: `raise` has no preconditions; the parent process resumes this one.
    unsafe {
        libc::raise(libc::SIGSTOP);
    }
}

fn on_checked(step: orders::Step) {
    if step == orders::Step::Checked {
        suspend();
    }
}

fn on_connected(step: orders::Step) {
    if step == orders::Step::Connected {
        suspend();
    }
}

fn on_written(step: orders::Step) {
    if step == orders::Step::Written {
        suspend();
    }
}

fn order(epoch: u64) -> orders::Order {
    orders::Order {
        dc: "lalitpur".into(),
        upstream: "e1".into(),
        action: orders::Action::Start,
        fence: epoch,
        holder: format!("holder-{epoch}"),
    }
}

/// Sends an order without a guard: checks the lease, then sends.
fn check_then_send(address: net::SocketAddr, term: orders::Term, hook: orders::StepHook) -> bool {
    let agent = http::agent(orders::ORDER_TIMEOUT);
    if clock::Clock::System.now() >= term.deadline {
        return false;
    }
    hook(orders::Step::Checked);
    hook(orders::Step::Connected);
    let body = serde_json::to_vec(&order(term.epoch)).expect("order");
    agent
        .post(format!("http://{address}/orders"))
        .send(&body[..])
        .is_ok()
}

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let address: net::SocketAddr = args[1].parse().expect("address");
    let epoch = args[2].parse().expect("epoch");
    let ttl = clock::Millis(args[3].parse().expect("ttl"));
    let hook: orders::StepHook = match args[4].as_str() {
        "checked" => on_checked,
        "connected" => on_connected,
        "written" => on_written,
        _ => |_| (),
    };
    let term = orders::Term {
        epoch,
        deadline: clock::Clock::System.now() + ttl,
    };
    let sent = if args[0] == "guarded" {
        let client = orders::GuardedClient::new(address).with_step_hook(hook);
        orders::Http(client).send(&order(epoch), term).is_ok()
    } else {
        check_then_send(address, term, hook)
    };
    println!("{}", if sent { "sent" } else { "not sent" });
}
