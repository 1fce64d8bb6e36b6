//! The contracts of the host list, orders and reports, run on every adapter from tables of cases.

use std::net;

use base::clock;
use ports::{hosts, memory, orders, reports};
use standin::{faults, platform as standin_platform};

/// An adapter of each port and what stands behind it.
struct Adapter<'a> {
    hosts: &'a dyn hosts::HostSource,
    orders: &'a dyn orders::OrderSender,
    reports: &'a dyn reports::ReportSender,
    seen: &'a dyn Fn() -> memory::Received,
    set_list: &'a dyn Fn(hosts::HostList),
}

fn term(epoch: u64) -> orders::Term {
    orders::Term {
        epoch,
        deadline: clock::Clock::System.now() + clock::Millis(10_000),
    }
}

fn over() -> orders::Term {
    orders::Term {
        epoch: 1,
        deadline: clock::Clock::System.now(),
    }
}

fn order(fence: u64, action: orders::Action) -> orders::Order {
    let (dc, upstream) = ("lalitpur".into(), "e1".into());
    orders::Order {
        dc,
        upstream,
        action,
        fence,
        holder: "h1".to_owned(),
    }
}

fn number(window: u64, part: u32) -> reports::ReportId {
    reports::ReportId {
        window,
        part,
        parts: 2,
    }
}

fn upstream(state: hosts::State) -> hosts::Upstream {
    hosts::Upstream {
        name: "e1".into(),
        state,
    }
}

type Case = (&'static str, fn(&Adapter<'_>));

const CASES: &[Case] = &[
    ("an empty list is read", |a| {
        assert_eq!(a.hosts.read(), Ok(hosts::HostList::default()))
    }),
    ("the list is read as it stands", |a| {
        let list = hosts::HostList {
            hosts: vec![],
            upstreams: vec![upstream(hosts::State::Leaving)],
        };
        (a.set_list)(list.clone());
        assert_eq!(a.hosts.read(), Ok(list));
    }),
    ("a started upstream is listed, a stopped one is not", |a| {
        assert_eq!(
            a.orders.send(&order(1, orders::Action::Start), term(1)),
            Ok(())
        );
        assert_eq!(
            a.hosts.read().expect("list").upstreams,
            [upstream(hosts::State::Live)]
        );
        assert_eq!(
            a.orders.send(&order(1, orders::Action::Stop), term(1)),
            Ok(())
        );
        assert!(a.hosts.read().expect("list").upstreams.is_empty());
    }),
    ("a repeated order changes nothing", |a| {
        for _ in 0..3 {
            assert_eq!(
                a.orders.send(&order(1, orders::Action::Start), term(1)),
                Ok(())
            );
        }
        assert_eq!(a.hosts.read().expect("list").upstreams.len(), 1);
    }),
    (
        "an order with an old fencing number is refused by a platform that checks",
        |a| {
            assert_eq!(
                a.orders.send(&order(2, orders::Action::Start), term(2)),
                Ok(())
            );
            let old = a.orders.send(&order(1, orders::Action::Stop), term(1));
            assert_eq!(old, Err(orders::Error::Fenced));
            assert_eq!(a.hosts.read().expect("list").upstreams.len(), 1);
        },
    ),
    ("nothing goes out when the term is over", |a| {
        let late = a.orders.send(&order(1, orders::Action::Start), over());
        assert_eq!(late, Err(orders::Error::TermOver));
        let late = a.reports.send(number(1, 0), b"x", over());
        assert_eq!(late, Err(orders::Error::TermOver));
        assert!((a.seen)().orders.is_empty() && (a.seen)().reports.is_empty());
    }),
    ("reports arrive in their bytes, parts and fence", |a| {
        assert_eq!(a.reports.send(number(7, 0), b"{\"a\":1}", term(3)), Ok(()));
        assert_eq!(a.reports.send(number(7, 1), b"{\"b\":2}", term(3)), Ok(()));
        let seen = (a.seen)().reports;
        let brief: Vec<_> = seen
            .iter()
            .map(|r| (r.window, r.part, r.fence, r.body.as_str()))
            .collect();
        assert_eq!(brief, [(7, 0, 3, "{\"a\":1}"), (7, 1, 3, "{\"b\":2}")]);
    }),
];

fn start() -> standin_platform::Platform {
    let address = net::SocketAddr::from(([127, 0, 0, 1], 0));
    standin_platform::Platform::start(address, true).expect("stand-in")
}

#[test]
fn the_memory_adapters_keep_the_contracts() {
    for (name, case) in CASES {
        println!("memory: {name}");
        let memory = memory::Platform::new(true);
        case(&Adapter {
            hosts: &memory,
            orders: &memory,
            reports: &memory,
            seen: &|| memory.received(),
            set_list: &|list| memory.set_host_list(list),
        });
    }
}

#[test]
fn the_http_adapters_keep_the_contracts() {
    for (name, case) in CASES {
        println!("http: {name}");
        let server = start();
        case(&Adapter {
            hosts: &hosts::Http::new(server.address()),
            orders: &orders::Http(orders::GuardedClient::new(server.address())),
            reports: &reports::Http::new(server.address()),
            seen: &|| server.stats(),
            set_list: &|list| server.set_list(list),
        });
    }
}

type FaultCase = (&'static str, faults::Set, Result<(), orders::Error>, usize);

/// What the HTTP adapters tell of each fault, and how many orders took effect.
#[test]
fn the_http_adapters_tell_each_fault_truly() {
    let set = faults::Set::default;
    let cases: [FaultCase; 4] = [
        (
            "down",
            faults::Set {
                down: true,
                ..set()
            },
            Err(orders::Error::NotTaken),
            0,
        ),
        (
            "lost answer",
            faults::Set { lose: 1, ..set() },
            Err(orders::Error::Unknown),
            1,
        ),
        (
            "slow",
            faults::Set {
                slow_ms: 100,
                ..set()
            },
            Ok(()),
            1,
        ),
        (
            "slower than a flight",
            faults::Set {
                slow_ms: 2_500,
                ..set()
            },
            Err(orders::Error::Unknown),
            0,
        ),
    ];
    for (name, fault, expected, effects) in cases {
        let server = start();
        server.faults.set(fault);
        let sender = orders::Http(orders::GuardedClient::new(server.address()));
        let sent = orders::OrderSender::send(&sender, &order(1, orders::Action::Start), term(1));
        assert_eq!(sent, expected, "{name}");
        assert_eq!(server.stats().orders.len(), effects, "{name}");
    }
    let server = start();
    server.faults.set(faults::Set {
        down: true,
        ..set()
    });
    let list = hosts::HostSource::read(&hosts::Http::new(server.address()));
    assert_eq!(list, Err(hosts::Unreadable));
}
