//! Slopes for `docs/CAPACITY.md`: state and processor time of each part at three sizes or more.
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
fn resident() -> u64 {
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

fn micros(start: time::Instant, count: u64) -> f64 {
    start.elapsed().as_secs_f64() * 1e6 / count as f64
}

fn team(n: u64) -> item::Item {
    item::Item::Team(document::Team {
        name: format!("team-{n:06}").as_str().into(),
        weight: 1,
        classes: vec!["chat".into(), "batch".into()],
    })
}

fn key_item(n: u64) -> item::Item {
    item::Item::Key(item::Key {
        digest: key::digest(&format!("key-{n}")),
        team: format!("team-{n:06}").as_str().into(),
        withdrawn: false,
    })
}

/// Configuration: a team with a key each.
fn configuration() {
    println!("\nconfiguration, a key for each team");
    println!(
        "{:>8} {:>10} {:>12} {:>10} {:>12} {:>12}",
        "teams", "state kB", "segment kB", "segments", "change us", "look-up us"
    );
    for count in [1_000u64, 10_000, 37_000] {
        let before = resident();
        let mut shown = view::View::default();
        for n in 0..count {
            for item in [team(n), key_item(n)] {
                shown.apply(&item::Change::Put(item));
            }
        }
        let used = resident().saturating_sub(before);
        let segments = log::segments(shown.items());
        let largest = segments.iter().map(Vec::len).max().unwrap_or_default();
        let start = time::Instant::now();
        for n in 0..1_000 {
            let entry = log::Entry {
                revision: shown.revision + 1,
                writer: n,
                digest: String::new(),
                written_ms: 0,
                changes: vec![item::Change::Put(key_item(count + n))],
            };
            shown.advance(&entry);
        }
        let change = micros(start, 1_000);
        let digest = key::digest("key-77");
        let start = time::Instant::now();
        for _ in 0..100_000 {
            hint::black_box(shown.team_by_key(hint::black_box(&digest)));
        }
        let look = micros(start, 100_000);
        println!(
            "{count:>8} {used:>10} {:>12} {:>10} {change:>12.2} {look:>12.3}",
            largest / 1024,
            segments.len()
        );
    }
}

fn ask_of(n: u64) -> request::SlotRequest {
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

fn sites(upstreams: u32) -> Vec<pool::UpstreamConfig> {
    let site = |n| pool::UpstreamConfig {
        name: format!("upstream-{n:04}").as_str().into(),
        slots: 32,
        price: 100,
        preemptible: false,
    };
    (0..upstreams).map(site).collect()
}

fn spent() -> request::RunStats {
    request::RunStats {
        outcome: request::Outcome::Completed,
        tokens: 300,
        ttft: clock::Millis(200),
        total: clock::Millis(15_000),
    }
}

/// A dispatcher: grant and end of a request, by upstreams and by waiting requests.
fn dispatcher() {
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
        let mut out = Vec::new();
        dispatcher.configure(&sites(upstreams), clock::Millis(1), &mut out);
        let busy = if waiting > 0 {
            u64::from(upstreams) * 32
        } else {
            u64::from(upstreams) * 16
        };
        for n in 0..busy + waiting {
            dispatcher.submit(ask_of(n), clock::Millis(1), &mut out);
        }
        let mut running: std::collections::VecDeque<request::Ticket> = Default::default();
        for d in out.drain(..) {
            if let request::Decision::Grant(t, _) = d {
                running.push_back(t);
            }
        }
        const ROUNDS: u64 = 2_000;
        let start = time::Instant::now();
        for n in 0..ROUNDS {
            let now = clock::Millis(2 + n / 100);
            if let Some(t) = running.pop_front() {
                dispatcher.finish(t, &spent(), now, &mut out);
            }
            dispatcher.submit(ask_of(1_000_000 + n), now, &mut out);
            for d in out.drain(..) {
                if let request::Decision::Grant(t, _) = d {
                    running.push_back(t);
                }
            }
        }
        let each = micros(start, ROUNDS);
        let start = time::Instant::now();
        for _ in 0..200 {
            dispatcher.tick(clock::Millis(30), &mut out);
        }
        println!(
            "{upstreams:>10} {waiting:>9} {each:>14.2} {:>12.2}",
            micros(start, 200)
        );
    }
}

fn size(message: &message::Message) -> usize {
    let mut out = Vec::new();
    frame::write(message, &mut out).expect("frame");
    out.len()
}

/// Messages between hosts, in bytes with their frame header.
fn messages() {
    println!("\nmessages between hosts, bytes");
    let ticket = request::Ticket(u64::MAX / 3);
    let ask = message::SlotRequest {
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
    let list = [
        (
            "beat",
            message::Message::Heartbeat(message::Heartbeat {
                revision: 1_000_000,
                draining: false,
            }),
        ),
        ("ask", message::Message::SlotRequest(ask)),
        ("queued", message::Message::Queued(ticket)),
        (
            "grant",
            message::Message::Decision(request::Decision::Grant(ticket, "upstream-0001".into())),
        ),
        (
            "done",
            message::Message::Finished("drafter".into(), ticket, spent()),
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
    for (name, message) in &list {
        println!("{name:>22} {:>6}", size(message));
    }
}

/// Usage: a journal of a busy host, and a window over teams.
fn usage_sizes() {
    println!("\nusage");
    println!("{:>8} {:>14} {:>12}", "teams", "window kB", "seal ms");
    for count in [1_000u64, 10_000, 37_000] {
        let mut journals = Vec::new();
        for h in 0..40u64 {
            let incarnation = usage::Incarnation(format!("host-{h:04}-0123456789abcdef"));
            let mut ledger = usage::Ledger::new(incarnation);
            for n in 0..count / 40 {
                ledger.add(usage::Record {
                    number: n + 1,
                    account: usage::Account {
                        team: Some(format!("team-{:06}", h * count / 40 + n).as_str().into()),
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
        let each = micros(start, 1) / 1_000.0;
        let bytes = serde_json::to_vec(&window).expect("window").len();
        println!("{count:>8} {:>14} {each:>12.1}", bytes / 1024);
    }
}

fn names() {
    let before = resident();
    let names: Vec<name::Team> = (0..37_000)
        .map(|n| format!("team-{n:06}").as_str().into())
        .collect();
    println!("\n37,000 names: {} kB", resident().saturating_sub(before));
    drop(names);
}

fn main() {
    configuration();
    names();
    dispatcher();
    messages();
    usage_sizes();
}
