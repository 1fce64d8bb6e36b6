//! Memory, CPU time and message sizes of the components at several sizes. `docs/CAPACITY.md` takes
//! from them how each grows with the size.
//!
//! `cargo bench -p jacinthslip --bench slopes`

use std::fs;
use std::hint;
use std::time;

use base::{clock, name};
use config::{document, item, key, log, view};
use peer::{frame, message};
use policy::{dispatch, pool, request, usage};

/// Resident memory of this process, in kB.
fn resident_kb() -> u64 {
    let status = fs::read_to_string("/proc/self/status").expect("status");
    let line = status
        .lines()
        .find(|l| l.starts_with("VmRSS"))
        .expect("line");
    line.split_whitespace()
        .nth(1)
        .and_then(|n| n.parse().ok())
        .expect("number")
}

/// Mean time of one of `count` operations since `start`, in microseconds.
fn micros_per_operation(start: time::Instant, count: u64) -> f64 {
    start.elapsed().as_secs_f64() * 1e6 / count as f64
}

/// Configuration item of team number `n`.
fn team_item(n: u64) -> item::Item {
    item::Item::Team(document::Team {
        name: format!("team-{n:06}").as_str().into(),
        weight: 1,
        classes: vec!["chat".into(), "batch".into()],
    })
}

/// Configuration item of the API key of team number `n`.
fn key_item(n: u64) -> item::Item {
    item::Item::Key(item::Key {
        digest: key::digest(&format!("key-{n}")),
        team: format!("team-{n:06}").as_str().into(),
        withdrawn: false,
    })
}

/// Prints the memory, the size of the stored segments and the time of a change and a key look-up of
/// a configuration, by the number of teams.
fn measure_configuration() {
    println!("\nconfiguration, a key for each team");
    println!(
        "{:>8} {:>10} {:>12} {:>10} {:>12} {:>12}",
        "teams", "state kB", "segment kB", "segments", "change us", "look-up us"
    );
    for count in [1_000u64, 10_000, 37_000] {
        let before_kb = resident_kb();
        let mut view = view::View::default();
        for n in 0..count {
            for item in [team_item(n), key_item(n)] {
                view.apply(&item::Change::Put(item));
            }
        }
        let used_kb = resident_kb().saturating_sub(before_kb);
        let segments = log::segments(view.items());
        let largest_bytes = segments.iter().map(Vec::len).max().unwrap_or_default();
        let start = time::Instant::now();
        for n in 0..1_000 {
            let entry = log::Entry {
                revision: view.revision + 1,
                writer: n,
                digest: String::new(),
                written_ms: 0,
                changes: vec![item::Change::Put(key_item(count + n))],
            };
            view.advance(&entry);
        }
        let change_micros = micros_per_operation(start, 1_000);
        let digest = key::digest("key-77");
        let start = time::Instant::now();
        for _ in 0..100_000 {
            hint::black_box(view.team_by_key(hint::black_box(&digest)));
        }
        let lookup_micros = micros_per_operation(start, 100_000);
        println!(
            "{count:>8} {used_kb:>10} {:>12} {:>10} {change_micros:>12.2} {lookup_micros:>12.3}",
            largest_bytes / 1024,
            segments.len()
        );
    }
}

/// Request number `n`, spread over 37,000 teams, four tiers and 1,000 prompt prefixes.
fn slot_request(n: u64) -> request::SlotRequest {
    request::SlotRequest {
        ticket: request::Ticket(n),
        team: format!("team-{:06}", n * 7919 % 37_000).as_str().into(),
        weight: 1,
        class: request::ClassSettings {
            name: "chat".into(),
            tier: (n % 4) as u8,
            ttft_target: clock::Millis(600_000),
            max_wait: clock::Millis(30_000),
            min_share: 20,
            evictable: true,
        },
        waited: clock::Millis::ZERO,
        prompt_tokens: 500,
        max_tokens: 1_000,
        prefix_hash: n % 1_000,
        resumable: true,
        received_tokens: 0,
        excluded: Default::default(),
    }
}

/// Configuration of `count` on-demand upstreams with 32 slots each.
fn upstream_configs(count: u32) -> Vec<pool::UpstreamConfig> {
    let upstream = |n| pool::UpstreamConfig {
        name: format!("upstream-{n:04}").as_str().into(),
        slots: 32,
        price: 100,
        preemptible: false,
    };
    (0..count).map(upstream).collect()
}

/// Statistics of a completed request with 300 tokens.
fn run_stats() -> request::RunStats {
    request::RunStats {
        outcome: request::Outcome::Completed,
        tokens: 300,
        ttft: clock::Millis(200),
        total: clock::Millis(15_000),
    }
}

/// Prints the time that a dispatcher takes to finish one request and submit another, and the time of
/// a timer tick, by the number of upstreams and of waiting requests.
fn measure_dispatcher() {
    println!("\ndispatcher of one service");
    println!(
        "{:>10} {:>9} {:>14} {:>12}",
        "upstreams", "waiting", "ask+done us", "tick us"
    );
    let sizes = [
        (8u32, 0u64),
        (80, 0),
        (800, 0),
        (80, 100),
        (80, 1_000),
        (80, 10_000),
    ];
    for (upstreams, waiting) in sizes {
        let mut dispatcher = dispatch::Dispatcher::default();
        let mut decisions = Vec::new();
        dispatcher.configure(
            &upstream_configs(upstreams),
            clock::Millis(1),
            &mut decisions,
        );
        let running_count = if waiting > 0 {
            u64::from(upstreams) * 32
        } else {
            u64::from(upstreams) * 16
        };
        for n in 0..running_count + waiting {
            dispatcher.submit(slot_request(n), clock::Millis(1), &mut decisions);
        }
        let mut running: std::collections::VecDeque<request::Ticket> = Default::default();
        for decision in decisions.drain(..) {
            if let request::Decision::Grant(ticket, _) = decision {
                running.push_back(ticket);
            }
        }
        const CYCLES: u64 = 2_000;
        let start = time::Instant::now();
        for n in 0..CYCLES {
            let now = clock::Millis(2 + n / 100);
            if let Some(ticket) = running.pop_front() {
                dispatcher.finish(ticket, &run_stats(), now, &mut decisions);
            }
            dispatcher.submit(slot_request(1_000_000 + n), now, &mut decisions);
            for decision in decisions.drain(..) {
                if let request::Decision::Grant(ticket, _) = decision {
                    running.push_back(ticket);
                }
            }
        }
        let cycle_micros = micros_per_operation(start, CYCLES);
        let start = time::Instant::now();
        for _ in 0..200 {
            dispatcher.tick(clock::Millis(30), &mut decisions);
        }
        println!(
            "{upstreams:>10} {waiting:>9} {cycle_micros:>14.2} {:>12.2}",
            micros_per_operation(start, 200)
        );
    }
}

/// Size of a message with its frame header, in bytes.
fn frame_bytes(message: &message::Message) -> usize {
    let mut frame_buffer = Vec::new();
    frame::write(message, &mut frame_buffer).expect("frame");
    frame_buffer.len()
}

/// Prints the size of each message between hosts with its frame header, in bytes.
fn print_message_sizes() {
    println!("\nmessages between hosts, bytes");
    let ticket = request::Ticket(u64::MAX / 3);
    let slot_request = message::SlotRequest {
        service: "drafter".into(),
        class: "chat".into(),
        ticket,
        team: "team-036999".into(),
        waited: clock::Millis::ZERO,
        prompt_tokens: 1_500,
        max_tokens: 4_096,
        prefix_hash: u64::MAX / 7,
        resumable: true,
        received_tokens: 0,
        excluded: Vec::new(),
    };
    let record = usage::Record {
        number: 1_000_000,
        account: usage::Account {
            team: Some("team-036999".into()),
            class: "chat".into(),
            service: "drafter".into(),
        },
        amount: usage::Amount {
            requests: 1,
            prompt_tokens: 1_500,
            completion_tokens: 377,
        },
    };
    let incarnation = u64::MAX / 3;
    let mut records = usage::NumberSet::default();
    (1..1_000).for_each(|n| records.insert(n));
    let entry = log::Entry {
        revision: 1_000_000,
        writer: u64::MAX / 3,
        digest: "0".repeat(64),
        written_ms: 1_800_000_000_000,
        changes: vec![item::Change::Put(key_item(1))],
    };
    let load = message::ServiceLoad {
        service: "drafter".into(),
        free_slots: 100,
        waiting: 3,
        non_evictable: 40,
        evictable: 60,
    };
    let summary = message::LoadSummary {
        dc: "dc-01".into(),
        region: "region-1".into(),
        host: "host-0399".into(),
        address: ([10, 0, 0, 1], 9000).into(),
        services: vec![load],
    };
    let messages = [
        (
            "beat",
            message::Message::Heartbeat(message::Heartbeat {
                revision: 1_000_000,
                draining: false,
            }),
        ),
        ("ask", message::Message::SlotRequest(slot_request)),
        ("queued", message::Message::Queued(ticket)),
        (
            "grant",
            message::Message::Decision(request::Decision::Grant(ticket, "upstream-0001".into())),
        ),
        (
            "done",
            message::Message::Finished("drafter".into(), ticket, run_stats()),
        ),
        (
            "holding",
            message::Message::RunningDigest(
                "drafter".into(),
                message::TicketDigest {
                    count: 300,
                    hash: u64::MAX / 3,
                },
            ),
        ),
        ("copy", message::Message::UsageCopy(incarnation, record)),
        ("copied", message::Message::UsageCopied(1_000_000)),
        (
            "written",
            message::Message::UsageStored(incarnation, records),
        ),
        ("summary, 1 service", message::Message::LoadSummary(summary)),
        (
            "config entry, a key",
            message::Message::ConfigEntries(vec![entry]),
        ),
    ];
    for (name, message) in &messages {
        println!("{name:>22} {:>6}", frame_bytes(message));
    }
}

/// Prints the size of a usage window and the time to seal it from the journals of 40 hosts, by the
/// number of teams.
fn measure_usage_windows() {
    println!("\nusage");
    println!("{:>8} {:>14} {:>12}", "teams", "window kB", "seal ms");
    for count in [1_000u64, 10_000, 37_000] {
        let mut journals = Vec::new();
        for host in 0..40u64 {
            let incarnation = usage::Incarnation(format!("host-{host:04}-0123456789abcdef"));
            let mut ledger = usage::Ledger::new(incarnation);
            for n in 0..count / 40 {
                ledger.add(usage::Record {
                    number: n + 1,
                    account: usage::Account {
                        team: Some(format!("team-{:06}", host * count / 40 + n).as_str().into()),
                        class: "chat".into(),
                        service: "drafter".into(),
                    },
                    amount: usage::Amount {
                        requests: 9,
                        prompt_tokens: 15_000,
                        completion_tokens: 3_770,
                    },
                });
            }
            journals.extend(ledger.with_pending(0));
        }
        let start = time::Instant::now();
        let window = usage::seal(&usage::Window::default(), &journals, 1);
        let seal_ms = micros_per_operation(start, 1) / 1_000.0;
        let window_bytes = serde_json::to_vec(&window).expect("window").len();
        println!("{count:>8} {:>14} {seal_ms:>12.1}", window_bytes / 1024);
    }
}

/// Prints the memory that 37,000 team names take.
fn measure_team_names() {
    let before_kb = resident_kb();
    let names: Vec<name::Team> = (0..37_000)
        .map(|n| format!("team-{n:06}").as_str().into())
        .collect();
    println!(
        "\n37,000 names: {} kB",
        resident_kb().saturating_sub(before_kb)
    );
    drop(names);
}

fn main() {
    measure_configuration();
    measure_team_names();
    measure_dispatcher();
    print_message_sizes();
    measure_usage_windows();
}
