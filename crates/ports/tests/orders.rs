//! No order is sent after the end of its lease term.
//!
//! The failure to guard against: a lease holder is suspended between checking its lease and writing
//! the order, resumes after the lease expired, and sends a stale order while the next holder
//! already sends its own.

use std::fs;
use std::net;
use std::path;
use std::process;
use std::thread;
use std::time;

use base::clock;
use ports::orders::OrderSender as _;
use ports::{hosts, orders};
use standin::platform as standin_platform;

const LEASE_TTL_MS: u64 = 150;

fn start(checks_fences: bool) -> standin_platform::Platform {
    let address = net::SocketAddr::from(([127, 0, 0, 1], 0));
    standin_platform::Platform::start(address, checks_fences).expect("stand-in")
}

/// Starts the `orderer` example, which suspends itself at `step`.
fn start_orderer(mode: &str, address: net::SocketAddr, step: &str) -> process::Child {
    let test = std::env::current_exe().expect("test");
    let target = test.parent().and_then(path::Path::parent).expect("folder");
    process::Command::new(target.join("examples/orderer"))
        .args([
            mode,
            &address.to_string(),
            "1",
            &LEASE_TTL_MS.to_string(),
            step,
        ])
        .stdout(process::Stdio::piped())
        .spawn()
        .expect("orderer")
}

/// Returns whether a process is stopped by a signal.
fn is_suspended(pid: u32) -> bool {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    stat.rsplit(") ")
        .next()
        .is_some_and(|state| state.starts_with('T'))
}

fn order(epoch: u64) -> orders::Order {
    orders::Order {
        dc: "lalitpur".into(),
        upstream: "e1".into(),
        action: orders::Action::Stop,
        fence: epoch,
        holder: format!("holder-{epoch}"),
    }
}

fn term(epoch: u64) -> orders::Term {
    orders::Term {
        epoch,
        deadline: clock::Clock::System.now() + clock::Millis(10_000),
    }
}

/// Suspends a lease holder at `step`, sends an order from the next holder, and resumes the first
/// one. Returns whether an order of the old holder arrived after that of the new one.
fn stale_order_arrives(mode: &str, step: &str, checks_fences: bool) -> bool {
    let platform = start(checks_fences);
    let child = start_orderer(mode, platform.address(), step);
    while !is_suspended(child.id()) {
        thread::sleep(time::Duration::from_millis(2));
    }
    thread::sleep(time::Duration::from_millis(LEASE_TTL_MS + 100));
    let successor = orders::Http(orders::GuardedClient::new(platform.address()));
    successor
        .send(&order(2), term(2))
        .expect("successor's order");
    // SAFETY: the process is a child that has not been waited for, so its id is still valid.
    unsafe {
        libc::kill(child.id() as i32, libc::SIGCONT);
    }
    child.wait_with_output().expect("orderer");
    thread::sleep(time::Duration::from_millis(20));
    platform.stats().orders.iter().any(|o| o.stale)
}

#[test]
fn checking_the_lease_before_sending_does_not_prevent_stale_orders() {
    assert!(stale_order_arrives("checked", "checked", false));
}

#[test]
fn guarded_order_never_arrives_after_its_term() {
    for step in ["checked", "connected", "written"] {
        for round in 0..20 {
            assert!(
                !stale_order_arrives("guarded", step, false),
                "{step}, round {round}"
            );
        }
    }
}

#[test]
fn platform_that_checks_fencing_tokens_rejects_stale_orders() {
    let platform = start(true);
    let sender = orders::Http(orders::GuardedClient::new(platform.address()));
    sender.send(&order(2), term(2)).expect("order");
    assert_eq!(sender.send(&order(1), term(1)), Err(orders::Error::Fenced));
    let stats = platform.stats();
    assert!(stats.orders[1].refused);
}

#[test]
fn repeated_order_has_no_further_effect() {
    let platform = start(false);
    let sender = orders::Http(orders::GuardedClient::new(platform.address()));
    let mut start = order(1);
    start.action = orders::Action::Start;
    for _ in 0..3 {
        sender.send(&start, term(1)).expect("order");
    }
    assert_eq!(platform.host_list().upstreams.len(), 1);
    assert_eq!(platform.host_list().upstreams[0].state, hosts::State::Live);
    sender.send(&order(1), term(1)).expect("order");
    assert!(platform.host_list().upstreams.is_empty());
}

#[test]
fn nothing_is_sent_after_the_end_of_the_term() {
    let platform = start(false);
    let sender = orders::Http(orders::GuardedClient::new(platform.address()));
    let ended = orders::Term {
        epoch: 1,
        deadline: clock::Clock::System.now(),
    };
    assert_eq!(sender.send(&order(1), ended), Err(orders::Error::TermOver));
    assert!(platform.stats().orders.is_empty());
}

#[test]
fn order_is_aborted_when_its_term_ends_before_the_response() {
    let platform = start(false);
    platform.faults.set(standin::faults::FaultSet {
        call_delay_ms: 600,
        ..Default::default()
    });
    let sender = orders::Http(orders::GuardedClient::new(platform.address()));
    let deadline = clock::Clock::System.now() + clock::Millis(200);
    let result = sender.send(&order(1), orders::Term { epoch: 1, deadline });
    assert_eq!(result, Err(orders::Error::TermOver));
}
