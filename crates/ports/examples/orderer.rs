//! Sends one order within a term and freezes itself at a step, for `tests/orders.rs`.
//!
//! `orderer guarded|checked IP:PORT EPOCH TTL_MS checked|connected|written|none`

use std::net;

use base::clock;
use ports::orders::OrderSender as _;
use ports::{http, orders};

fn freeze() {
    // SAFETY: `raise` has no preconditions; the parent wakes this process.
    unsafe {
        libc::raise(libc::SIGSTOP);
    }
}

fn on_checked(step: orders::Step) {
    if step == orders::Step::Checked {
        freeze();
    }
}

fn on_connected(step: orders::Step) {
    if step == orders::Step::Connected {
        freeze();
    }
}

fn on_written(step: orders::Step) {
    if step == orders::Step::Written {
        freeze();
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

/// The naive way: the lease is checked, then the order is sent.
fn check_then_send(address: net::SocketAddr, term: orders::Term, probe: orders::StepHook) -> bool {
    let agent = http::agent(orders::ORDER_TIMEOUT);
    if clock::Clock::System.now() >= term.deadline {
        return false;
    }
    probe(orders::Step::Checked);
    probe(orders::Step::Connected);
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
    let probe: orders::StepHook = match args[4].as_str() {
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
        let guarded = orders::GuardedClient::new(address).with_step_hook(probe);
        orders::Http(guarded).send(&order(epoch), term).is_ok()
    } else {
        check_then_send(address, term, probe)
    };
    println!("{}", if sent { "sent" } else { "not sent" });
}
