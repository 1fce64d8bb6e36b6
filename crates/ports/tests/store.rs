//! Contract tests of the store, run on the HTTP and in-memory adapters from one table of cases.

use std::net;
use std::sync;
use std::thread;
use std::time;

use assert_matches::assert_matches;
use base::clock;
use ports::store::Store as _;
use ports::{memory, store, store_http};
use standin::{faults, store as standin_store};

/// Name and body of a contract test.
type Case = (&'static str, fn(&dyn store::Store));

fn put(s: &dyn store::Store, key: &str, value: &str, expect: store::Expect) -> u64 {
    s.put(key, value.as_bytes(), expect).expect("put")
}

/// Behaviour of every adapter without faults.
const CASES: &[Case] = &[
    ("an absent key is read as `None`", |s| {
        assert_eq!(s.get("a/none"), Ok(None))
    }),
    ("a value is read back with its revision", |s| {
        let revision = put(s, "a/x", "one", store::Expect::Absent);
        let found = s.get("a/x").expect("get").expect("entry");
        assert_eq!((found.bytes(), found.revision), (&b"one"[..], revision));
    }),
    ("revisions increase with each write", |s| {
        let first = put(s, "a/x", "one", store::Expect::Any);
        assert!(put(s, "a/x", "two", store::Expect::Any) > first);
    }),
    (
        "a second create conflicts and returns the existing entry",
        |s| {
            put(s, "a/x", "one", store::Expect::Absent);
            let result = s.put("a/x", b"two", store::Expect::Absent);
            assert_matches!(result, Err(store::Error::Conflict(Some(e))) if e.bytes() == b"one");
        },
    ),
    ("a write that expects another revision conflicts", |s| {
        let first = put(s, "a/x", "one", store::Expect::Absent);
        put(s, "a/x", "two", store::Expect::Revision(first));
        let result = s.put("a/x", b"three", store::Expect::Revision(first));
        assert_matches!(result, Err(store::Error::Conflict(Some(e))) if e.bytes() == b"two");
    }),
    (
        "a write that expects a revision of an absent key conflicts without an entry",
        |s| {
            let result = s.put("a/x", b"one", store::Expect::Revision(7));
            assert_eq!(result, Err(store::Error::Conflict(None)));
        },
    ),
    ("a deleted key is absent and can be created again", |s| {
        let revision = put(s, "a/x", "one", store::Expect::Absent);
        assert_matches!(
            s.delete("a/x", store::Expect::Revision(revision + 1)),
            Err(store::Error::Conflict(_))
        );
        assert_eq!(s.delete("a/x", store::Expect::Revision(revision)), Ok(()));
        assert_eq!(s.get("a/x"), Ok(None));
        assert_eq!(s.delete("a/x", store::Expect::Any), Ok(()));
        put(s, "a/x", "two", store::Expect::Absent);
    }),
    (
        "a list is ordered and respects its prefix, start key and limit",
        |s| {
            for key in ["a/3", "a/1", "b/1", "a/2", "a"] {
                put(s, key, key, store::Expect::Absent);
            }
            let names = |after: &str, limit| -> Vec<String> {
                let list = s.list("a/", after, limit).expect("list");
                list.into_iter().map(|e| e.key).collect()
            };
            assert_eq!(names("", 9), ["a/1", "a/2", "a/3"]);
            assert_eq!(names("a/1", 9), ["a/2", "a/3"]);
            assert_eq!(names("", 2), ["a/1", "a/2"]);
        },
    ),
    ("a value over the size limit is rejected", |s| {
        let result = s.put(
            "a/x",
            &vec![7; store::MAX_VALUE_BYTES + 1],
            store::Expect::Any,
        );
        assert_eq!(result, Err(store::Error::TooLarge));
        let largest = vec![7; store::MAX_VALUE_BYTES];
        s.put("a/x", &largest, store::Expect::Any).expect("put");
        assert_eq!(s.get("a/x").expect("get").expect("entry").bytes(), largest);
    }),
    (
        "a watch returns all writes after the given revision, also those made before the call",
        |s| {
            put(s, "a/1", "one", store::Expect::Any);
            let first = s.watch("a/", 0, clock::Millis::ZERO).expect("watch");
            assert_eq!(first.entries.len(), 1);
            put(s, "b/1", "other", store::Expect::Any);
            put(s, "a/1", "two", store::Expect::Any);
            s.delete("a/1", store::Expect::Any).expect("delete");
            let second = s
                .watch("a/", first.revision, clock::Millis::ZERO)
                .expect("watch");
            assert_eq!(second.entries.len(), 1);
            assert_eq!(second.entries[0].value, None);
            let none = s
                .watch("a/", second.revision, clock::Millis(20))
                .expect("watch");
            assert!(none.entries.is_empty());
        },
    ),
    ("exactly one of several concurrent creates succeeds", |s| {
        let created = sync::atomic::AtomicU32::new(0);
        thread::scope(|scope| {
            for n in 0..8u8 {
                let created = &created;
                scope.spawn(move || {
                    if s.put("a/race", &[n], store::Expect::Absent).is_ok() {
                        created.fetch_add(1, sync::atomic::Ordering::SeqCst);
                    }
                });
            }
        });
        assert_eq!(created.into_inner(), 1);
    }),
    ("create recognizes its own value", |s| {
        let first = store::create(s, "a/x", b"mine").expect("create");
        let again = store::create(s, "a/x", b"mine").expect("create");
        assert_eq!(first, again);
        assert_matches!(
            store::create(s, "a/x", b"other"),
            Ok(store::CreateOutcome::Other(_))
        );
    }),
];

fn start() -> (standin_store::Store, store_http::Http) {
    let address = net::SocketAddr::from(([127, 0, 0, 1], 0));
    let server = standin_store::Store::start(address).expect("stand-in");
    let client = store_http::Http::new(server.address());
    (server, client)
}

#[test]
fn memory_adapter_satisfies_the_contract() {
    for (name, case) in CASES {
        println!("memory: {name}");
        case(&memory::MemoryStore::default());
    }
}

#[test]
fn http_adapter_satisfies_the_contract() {
    for (name, case) in CASES {
        println!("http: {name}");
        let (_server, client) = start();
        case(&client);
    }
}

#[test]
fn watch_returns_when_a_key_is_written() {
    let (server, client) = start();
    let writer = server.memory.clone();
    let writer_thread = thread::spawn(move || {
        thread::sleep(time::Duration::from_millis(50));
        writer.put("a/x", b"one", store::Expect::Any).expect("put");
    });
    let changes = client.watch("a/", 0, clock::Millis(20_000)).expect("watch");
    writer_thread.join().expect("writer");
    assert_eq!(changes.entries.len(), 1);
}

/// Name of a test, the injected fault, and the test body.
type FaultCase = (
    &'static str,
    faults::FaultSet,
    fn(&store_http::Http, &standin_store::Store),
);

fn no_faults() -> faults::FaultSet {
    faults::FaultSet::default()
}

/// Tests of what the HTTP adapter returns for each injected fault.
fn fault_cases() -> Vec<FaultCase> {
    vec![
        (
            "down: no write takes effect",
            faults::FaultSet {
                down: true,
                ..no_faults()
            },
            |c, server| {
                assert_eq!(
                    c.put("a/x", b"1", store::Expect::Any),
                    Err(store::Error::Down)
                );
                assert_eq!(c.get("a/x"), Err(store::Error::Down));
                assert!(server.memory.is_empty());
            },
        ),
        (
            "a lost response gives `Unknown`, and the write takes effect",
            faults::FaultSet {
                lost_responses: 1,
                ..no_faults()
            },
            |c, server| {
                assert_eq!(
                    c.put("a/x", b"1", store::Expect::Absent),
                    Err(store::Error::Unknown)
                );
                assert_eq!(server.memory.len(), 1);
            },
        ),
        (
            "a create whose response is lost is read back",
            faults::FaultSet {
                lost_responses: 1,
                ..no_faults()
            },
            |c, _| {
                assert_matches!(
                    store::create(c, "a/x", b"mine"),
                    Ok(store::CreateOutcome::Own(_))
                );
            },
        ),
        (
            "a replace whose response is lost is read back",
            no_faults(),
            |c, server| {
                let revision = c.put("a/x", b"1", store::Expect::Absent).expect("put");
                server.faults.set(faults::FaultSet {
                    lost_responses: 1,
                    ..no_faults()
                });
                let replaced = store::replace(c, "a/x", b"2", revision).expect("replace");
                assert!(replaced > revision);
                server.faults.set(faults::FaultSet {
                    lost_responses: 1,
                    ..no_faults()
                });
                let result = store::replace(c, "a/x", b"3", revision);
                assert_matches!(result, Err(store::Error::Conflict(Some(e))) if e.bytes() == b"2");
            },
        ),
        (
            "slow calls succeed",
            faults::FaultSet {
                call_delay_ms: 100,
                ..no_faults()
            },
            |c, _| {
                c.put("a/x", b"1", store::Expect::Absent).expect("put");
            },
        ),
        (
            "calls over the rate limit are rejected and have no effect",
            faults::FaultSet {
                write_rate: 3,
                ..no_faults()
            },
            |c, server| {
                let results: Vec<_> = (0..5)
                    .map(|n| c.put(&format!("a/{n}"), b"1", store::Expect::Absent))
                    .collect();
                assert_eq!(results[4], Err(store::Error::Limited));
                assert_eq!(server.memory.len(), 3);
                assert_eq!(server.faults.count().limited, 2);
            },
        ),
        (
            "a delayed watch still returns the right changes",
            faults::FaultSet {
                watch_delay_ms: 200,
                ..no_faults()
            },
            |c, _| {
                c.put("a/x", b"1", store::Expect::Any).expect("put");
                let changes = c.watch("a/", 0, clock::Millis::ZERO).expect("watch");
                assert_eq!(changes.entries.len(), 1);
            },
        ),
    ]
}

#[test]
fn http_adapter_returns_the_right_result_for_each_fault() {
    for (name, faults, case) in fault_cases() {
        println!("{name}");
        let (server, client) = start();
        server.faults.set(faults);
        case(&client, &server);
    }
}

#[test]
fn unreachable_store_is_down() {
    let (server, client) = start();
    let address = server.address();
    drop(server);
    drop(client);
    thread::sleep(time::Duration::from_millis(50));
    let unused = net::TcpListener::bind("127.0.0.1:0")
        .expect("bind")
        .local_addr()
        .expect("address");
    assert_ne!(unused, address);
    let client = store_http::Http::new(unused);
    assert_eq!(
        client.put("a/x", b"1", store::Expect::Any),
        Err(store::Error::Down)
    );
}
