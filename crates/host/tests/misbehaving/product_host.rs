//! The cases against a host with the product's own interface.

use crate::env::raw::RawUpstream;
use crate::{product_env, rig};

/// Default limit of a request body.
const MAX_BODY_BYTES: usize = 2_048 << 10;
/// Bytes that the host may hold for requests and responses, in MB, less than a fifth of the machine.
const HELD_MB: u64 = 16;

/// Starts a process with `start` that inherits the lowered number of descriptors.
fn with_few_descriptors(start: impl FnOnce()) {
    let mut limit = libc::rlimit {
        rlim_cur: 0,
        rlim_max: 0,
    };
    // SAFETY: the call writes to a struct of this function.
    let got = unsafe { libc::getrlimit(libc::RLIMIT_NOFILE, &mut limit) };
    assert_eq!(got, 0);
    let lowered = libc::rlimit {
        rlim_cur: rig::MAX_FDS as libc::rlim_t,
        ..limit
    };
    // SAFETY: the call reads a struct of this function.
    let set = unsafe { libc::setrlimit(libc::RLIMIT_NOFILE, &lowered) };
    assert_eq!(set, 0);
    start();
    // SAFETY: the call reads a struct of this function.
    let set = unsafe { libc::setrlimit(libc::RLIMIT_NOFILE, &limit) };
    assert_eq!(set, 0);
}

fn start() -> rig::Host {
    let mut site = product_env::Site::new(&["lalitpur"], 0);
    let (upstream, address) = RawUpstream::start(rig::reply);
    let document = site.document();
    let document = document.replace(&site.plain.address.to_string(), &address.to_string());
    site.apply(&document);
    let key = site.issue_key("quotes");
    site.times_yaml
        .push_str(&format!("\nlimits:\n  held_mb: {HELD_MB}"));
    with_few_descriptors(|| site.spawn(0));
    site.wait_ready(0);
    let host = rig::Host {
        front: site.host_configs[0].listen,
        process: site.host(0).child.id(),
        head: format!("POST /s/ledger/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {key}\r\n"),
        max_body_bytes: MAX_BODY_BYTES,
        _site: Box::new((site, upstream)),
    };
    rig::wait_until_answered(&host);
    host
}

/// Guards against limits against crowds that also refuse a single request of the largest legal size.
#[test]
fn product_single_largest_body_is_served() {
    let _serial = rig::serial();
    rig::single_largest(&start());
}

/// Guards against a sum of legal bodies, each held once more while it is joined, over the memory of the machine.
#[test]
fn product_whole_large_bodies() {
    let _serial = rig::serial();
    rig::whole_bodies(&start());
}

/// Guards against receive buffers that are kept for a small piece each and are not counted.
#[test]
fn product_bodies_in_pieces() {
    let _serial = rig::serial();
    rig::bodies_in_pieces(&start());
}

/// Guards against bodies that are held without end because their last byte doesn't come.
#[test]
fn product_bodies_that_stop_short() {
    let _serial = rig::serial();
    rig::bodies_stopping_short(&start());
}

/// Guards against receive buffers of small pieces that are held without end.
#[test]
fn product_pieces_that_stop_short() {
    let _serial = rig::serial();
    rig::pieces_stopping_short(&start());
}

/// Guards against bodies without an announced length that together exceed the memory.
#[test]
fn product_large_chunks_to_the_end() {
    let _serial = rig::serial();
    rig::large_chunks(&start());
}

/// Guards against bookkeeping for each chunk that takes many times the bytes of the body.
#[test]
fn product_tiny_chunks_to_the_end() {
    let _serial = rig::serial();
    rig::tiny_chunks(&start());
}

/// Guards against chunked bodies that are held without end because their last chunk doesn't come.
#[test]
fn product_large_chunks_that_stop_short() {
    let _serial = rig::serial();
    rig::large_chunks_stopping_short(&start());
}

/// Guards against bookkeeping for each chunk that is held without end.
#[test]
fn product_tiny_chunks_that_stop_short() {
    let _serial = rig::serial();
    rig::tiny_chunks_stopping_short(&start());
}

/// Guards against memory that is reserved for an announced length that no machine has, which ends the process.
#[test]
fn product_announced_length_over_the_limit() {
    let _serial = rig::serial();
    rig::announced_over_limit(&start());
}

/// Guards against memory and places that are reserved for announced bodies which don't come.
#[test]
fn product_announced_length_that_is_not_sent() {
    let _serial = rig::serial();
    rig::announced_and_not_sent(&start());
}

/// Guards against bodies far over the limit that are kept or read to their end.
#[test]
fn product_bodies_over_the_limit_without_a_length() {
    let _serial = rig::serial();
    rig::sent_over_limit(&start());
}

/// Guards against heads that are kept without a limit.
#[test]
fn product_heads_without_end() {
    let _serial = rig::serial();
    rig::endless_heads(&start());
}

/// Guards against idle connections that take all descriptors, so that nobody else is accepted.
#[test]
fn product_silent_connections() {
    let _serial = rig::serial();
    rig::silent_connections(&start());
}

/// Guards against responses and connections that are held without end for clients that don't read.
#[test]
fn product_responses_that_are_not_read() {
    let _serial = rig::serial();
    rig::unread_responses(&start());
}

/// Guards against connections that are held after the client has closed its side before the end of the body.
#[test]
fn product_half_closed_connections() {
    let _serial = rig::serial();
    rig::half_closed(&start());
}

/// Guards against connections that are held for a body that never comes after `100 Continue`.
#[test]
fn product_expected_continue_without_body() {
    let _serial = rig::serial();
    rig::continue_without_body(&start());
}
