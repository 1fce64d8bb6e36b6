//! No order goes out after its term, also when the sender is frozen between check and write.

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

const TTL_MS: u64 = 150;

fn start(checks: bool) -> standin_platform::Platform {
    let address = net::SocketAddr::from(([127, 0, 0, 1], 0));
    standin_platform::Platform::start(address, checks).expect("stand-in")
}

fn orderer(way: &str, address: net::SocketAddr, step: &str) -> process::Child {
    let test = std::env::current_exe().expect("test");
    let deps = test.parent().and_then(path::Path::parent).expect("folder");
    process::Command::new(deps.join("examples/orderer"))
        .args([way, &address.to_string(), "1", &TTL_MS.to_string(), step])
        .stdout(process::Stdio::piped())
        .spawn()
        .expect("orderer")
}

fn is_frozen(pid: u32) -> bool {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    stat.rsplit(") ")
        .next()
        .is_some_and(|rest| rest.starts_with('T'))
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

/// Freezes a holder at `step`, lets its successor order, wakes the holder; whether an order of
/// the old holder arrived after one of the new.
fn stale_order_arrives(way: &str, step: &str, checks: bool) -> bool {
    let platform = start(checks);
    let child = orderer(way, platform.address(), step);
    while !is_frozen(child.id()) {
        thread::sleep(time::Duration::from_millis(2));
    }
    thread::sleep(time::Duration::from_millis(TTL_MS + 100));
    let successor = orders::Http(orders::GuardedClient::new(platform.address()));
    successor
        .send(&order(2), term(2))
        .expect("successor's order");
    // SAFETY: the process is a child that has not been waited for.
    unsafe {
        libc::kill(child.id() as i32, libc::SIGCONT);
    }
    child.wait_with_output().expect("orderer");
    thread::sleep(time::Duration::from_millis(20));
    platform.stats().orders.iter().any(|o| o.stale)
}

#[test]
fn a_check_before_the_send_lets_a_stale_order_out() {
    assert!(stale_order_arrives("checked", "checked", false));
}

#[test]
fn a_guarded_order_never_arrives_after_its_term() {
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
fn an_upstream_that_checks_refuses_a_stale_order_whoever_sends_it() {
    let platform = start(true);
    let sender = orders::Http(orders::GuardedClient::new(platform.address()));
    sender.send(&order(2), term(2)).expect("order");
    assert_eq!(sender.send(&order(1), term(1)), Err(orders::Error::Fenced));
    let stats = platform.stats();
    assert!(stats.orders[1].refused);
}

#[test]
fn an_order_is_carried_out_once_and_a_repeat_changes_nothing() {
    let platform = start(false);
    let sender = orders::Http(orders::GuardedClient::new(platform.address()));
    let mut start = order(1);
    start.action = orders::Action::Start;
    for _ in 0..3 {
        sender.send(&start, term(1)).expect("order");
    }
    assert_eq!(platform.list().upstreams.len(), 1);
    assert_eq!(platform.list().upstreams[0].state, hosts::State::Live);
    sender.send(&order(1), term(1)).expect("order");
    assert!(platform.list().upstreams.is_empty());
}

#[test]
fn a_term_that_is_over_sends_nothing() {
    let platform = start(false);
    let sender = orders::Http(orders::GuardedClient::new(platform.address()));
    let over = orders::Term {
        epoch: 1,
        deadline: clock::Clock::System.now(),
    };
    assert_eq!(sender.send(&order(1), over), Err(orders::Error::TermOver));
    assert!(platform.stats().orders.is_empty());
}

#[test]
fn a_term_that_ends_while_the_platform_is_slow_cuts_the_order() {
    let platform = start(false);
    platform.faults.set(standin::faults::Set {
        slow_ms: 600,
        ..Default::default()
    });
    let sender = orders::Http(orders::GuardedClient::new(platform.address()));
    let deadline = clock::Clock::System.now() + clock::Millis(200);
    let result = sender.send(&order(1), orders::Term { epoch: 1, deadline });
    assert_eq!(result, Err(orders::Error::TermOver));
}
