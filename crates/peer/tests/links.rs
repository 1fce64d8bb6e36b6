//! Connections between two hosts on loopback addresses.

use std::net;
use std::sync;
use std::sync::mpsc;
use std::time;

use base::name;
use peer::{link, message};

/// Time within which an event must arrive; shorter than the time after which a silent connection
/// is closed anyway.
const EVENT_TIMEOUT: time::Duration = time::Duration::from_secs(5);

#[derive(Debug, Eq, PartialEq)]
enum Event {
    Opened(name::Host),
    Closed(name::Host),
}

struct Recorder(mpsc::Sender<Event>);

impl link::MessageHandler for Recorder {
    fn message(&self, _: &name::Host, _: message::Message) {}

    fn opened(&self, host: &name::Host) {
        let _ = self.0.send(Event::Opened(host.clone()));
    }

    fn closed(&self, host: &name::Host) {
        let _ = self.0.send(Event::Closed(host.clone()));
    }
}

/// A running end of a connection and the events that it reports.
struct End {
    links: link::Links,
    events: mpsc::Receiver<Event>,
    /// Keeps the handler alive, of which the links hold a weak reference.
    _handler: sync::Arc<Recorder>,
}

fn start(host: &str) -> End {
    let (sender, events) = mpsc::channel();
    let handler = sync::Arc::new(Recorder(sender));
    let identity = link::Identity {
        host: host.into(),
        dc: "lalitpur".into(),
        secret: "the-secret-of-the-tests".to_owned(),
    };
    let weak: sync::Weak<Recorder> = sync::Arc::downgrade(&handler);
    let address = net::SocketAddr::from(([127, 0, 0, 1], 0));
    let links = link::Links::start(identity, address, weak).expect("links");
    End {
        links,
        events,
        _handler: handler,
    }
}

fn next_event(end: &End) -> Event {
    end.events.recv_timeout(EVENT_TIMEOUT).expect("event")
}

/// The connection to a host that the platform no longer listed once stayed open until its time-out,
/// so that the removed host still took part.
#[test]
fn connections_of_a_removed_host_are_closed() {
    let (first, second) = (start("h1"), start("h2"));
    let dc = name::Dc::from("lalitpur");
    let connect = || {
        let address = second.links.address();
        first.links.keep_connected(&"h2".into(), &dc, address);
    };
    connect();
    assert_eq!(next_event(&first), Event::Opened("h2".into()));
    assert_eq!(next_event(&second), Event::Opened("h1".into()));
    first.links.remove(&"h2".into());
    assert_eq!(next_event(&first), Event::Closed("h2".into()));
    assert_eq!(next_event(&second), Event::Closed("h1".into()));
    assert!(first.links.connected().is_empty());
    connect();
    assert_eq!(next_event(&first), Event::Opened("h2".into()));
}
