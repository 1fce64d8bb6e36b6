//! Contract tests of the host list, orders and usage reports, run on the HTTP and in-memory
//! adapters.

use std::net;

use base::clock;
use ports::{hosts, memory, orders, reports};
use standin::{faults, platform as standin_platform};

/// One adapter of each interface, with access to the platform behind them.
struct Adapters<'a> {
    hosts: &'a dyn hosts::HostSource,
    orders: &'a dyn orders::OrderSender,
    reports: &'a dyn reports::ReportSender,
    received: &'a dyn Fn() -> memory::Received,
    set_host_list: &'a dyn Fn(hosts::HostList),
}

fn term(epoch: u64) -> orders::Term {
    orders::Term {
        epoch,
        deadline: clock::Clock::System.now() + clock::Millis(10_000),
    }
}

fn ended_term() -> orders::Term {
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

fn report_id(window: u64, part: u32) -> reports::ReportId {
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

/// Name and body of a contract test.
type Case = (&'static str, fn(&Adapters<'_>));

const CASES: &[Case] = &[
    ("an empty host list can be read", |a| {
        assert_eq!(a.hosts.read(), Ok(hosts::HostList::default()))
    }),
    ("the host list is read unchanged", |a| {
        let list = hosts::HostList {
            hosts: vec![],
            upstreams: vec![upstream(hosts::State::Leaving)],
        };
        (a.set_host_list)(list.clone());
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
    ("a repeated order has no further effect", |a| {
        for _ in 0..3 {
            assert_eq!(
                a.orders.send(&order(1, orders::Action::Start), term(1)),
                Ok(())
            );
        }
        assert_eq!(a.hosts.read().expect("list").upstreams.len(), 1);
    }),
    (
        "an order with an outdated fencing token is rejected by a platform that checks it",
        |a| {
            assert_eq!(
                a.orders.send(&order(2, orders::Action::Start), term(2)),
                Ok(())
            );
            let result = a.orders.send(&order(1, orders::Action::Stop), term(1));
            assert_eq!(result, Err(orders::Error::Fenced));
            assert_eq!(a.hosts.read().expect("list").upstreams.len(), 1);
        },
    ),
    ("nothing is sent after the end of the term", |a| {
        let result = a
            .orders
            .send(&order(1, orders::Action::Start), ended_term());
        assert_eq!(result, Err(orders::Error::TermOver));
        let result = a.reports.send(report_id(1, 0), b"x", ended_term());
        assert_eq!(result, Err(orders::Error::TermOver));
        assert!((a.received)().orders.is_empty() && (a.received)().reports.is_empty());
    }),
    (
        "reports arrive with their content, parts and fencing token",
        |a| {
            assert_eq!(
                a.reports.send(report_id(7, 0), b"{\"a\":1}", term(3)),
                Ok(())
            );
            assert_eq!(
                a.reports.send(report_id(7, 1), b"{\"b\":2}", term(3)),
                Ok(())
            );
            let reports = (a.received)().reports;
            let fields: Vec<_> = reports
                .iter()
                .map(|r| (r.window, r.part, r.fence, r.body.as_str()))
                .collect();
            assert_eq!(fields, [(7, 0, 3, "{\"a\":1}"), (7, 1, 3, "{\"b\":2}")]);
        },
    ),
];

fn start() -> standin_platform::Platform {
    let address = net::SocketAddr::from(([127, 0, 0, 1], 0));
    standin_platform::Platform::start(address, true).expect("stand-in")
}

#[test]
fn memory_adapters_satisfy_the_contracts() {
    for (name, case) in CASES {
        println!("memory: {name}");
        let memory = memory::Platform::new(true);
        case(&Adapters {
            hosts: &memory,
            orders: &memory,
            reports: &memory,
            received: &|| memory.received(),
            set_host_list: &|list| memory.set_host_list(list),
        });
    }
}

#[test]
fn http_adapters_satisfy_the_contracts() {
    for (name, case) in CASES {
        println!("http: {name}");
        let server = start();
        case(&Adapters {
            hosts: &hosts::Http::new(server.address()),
            orders: &orders::Http(orders::GuardedClient::new(server.address())),
            reports: &reports::Http::new(server.address()),
            received: &|| server.stats(),
            set_host_list: &|list| server.set_host_list(list),
        });
    }
}

/// Name, injected fault, expected result and number of orders that take effect.
type FaultCase = (
    &'static str,
    faults::FaultSet,
    Result<(), orders::Error>,
    usize,
);

/// The HTTP adapters return the right error for each injected fault. Each case lists the fault, the
/// expected result and the number of orders that take effect.
#[test]
fn http_adapters_return_the_right_error_for_each_fault() {
    let no_faults = faults::FaultSet::default;
    let cases: [FaultCase; 4] = [
        (
            "down",
            faults::FaultSet {
                down: true,
                ..no_faults()
            },
            Err(orders::Error::NotTaken),
            0,
        ),
        (
            "lost response",
            faults::FaultSet {
                lost_responses: 1,
                ..no_faults()
            },
            Err(orders::Error::Unknown),
            1,
        ),
        (
            "slow",
            faults::FaultSet {
                call_delay_ms: 100,
                ..no_faults()
            },
            Ok(()),
            1,
        ),
        (
            "slower than the order timeout",
            faults::FaultSet {
                call_delay_ms: 2_500,
                ..no_faults()
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
    server.faults.set(faults::FaultSet {
        down: true,
        ..no_faults()
    });
    let list = hosts::HostSource::read(&hosts::Http::new(server.address()));
    assert_eq!(list, Err(hosts::Unreadable));
}
