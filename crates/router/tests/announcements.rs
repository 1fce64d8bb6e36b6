//! Upstreams that say in their responses that they leave, or that they want no requests for a while, by
//! pattern of load.

use base::{clock, name};
use router::{announcements, fleet, location, model, selection, stream_class};

const DRAIN_DEADLINE: clock::Millis = clock::Millis(2_500);
const START: clock::Millis = clock::Millis(1_000_000);
const PAUSE: clock::Millis = clock::Millis(2_000);

fn upstream(name: &str, started_at: u64) -> model::Upstream {
    model::Upstream {
        name: name.into(),
        service: "s".into(),
        address: ([10, 0, 0, 1], 80).into(),
        dc: "a".into(),
        state: model::UpstreamState::Ready,
        preemptible: false,
        started_at,
        cold_left: clock::Millis::ZERO,
        slots: 8,
    }
}

fn fleet(names: &[&str]) -> fleet::Fleet {
    let location = location::Location {
        dc: "a".into(),
        regions: [("a".into(), "x".into())].into(),
    };
    let mut fleet = fleet::Fleet::new(location, DRAIN_DEADLINE);
    for name in names {
        fleet.put(upstream(name, 1));
    }
    fleet
}

fn process(fleet: &fleet::Fleet, name: &str) -> announcements::Process {
    fleet
        .get(&name.into())
        .expect("a listed upstream")
        .process()
}

fn say_leaving(fleet: &mut fleet::Fleet, name: &str, now: clock::Millis) -> bool {
    let process = process(fleet, name);
    fleet.announcements.record_leaving(process, now)
}

fn ask_pause(
    fleet: &mut fleet::Fleet,
    name: &str,
    pause: clock::Millis,
    spread: u32,
) -> clock::Millis {
    let process = process(fleet, name);
    fleet
        .announcements
        .record_pause(process, pause, spread, START)
}

/// Name of the upstream that a request gets, or why it gets none.
fn select(fleet: &fleet::Fleet, now: clock::Millis) -> Result<String, selection::Shortage> {
    let service = name::Service::from("s");
    let criteria = selection::Criteria {
        service: &service,
        prompt_parts: &[],
        prompt_tokens: 0,
        tier: 0,
        stream_class: stream_class::StreamClass::Other,
        excluded: &[],
        homes: None,
        is_retryable: true,
        id: "r",
    };
    match fleet.select(&criteria, now) {
        Some(selection) => Ok(selection.name.to_string()),
        None => Err(fleet.shortage(&criteria, now).0),
    }
}

/// Load of the pattern: the store is silent and its entries go on saying ready. Only responses told
/// that the upstream leaves, and it got requests until it was gone.
#[test]
fn upstream_that_says_it_leaves_gets_nothing_while_another_is_there() {
    let mut fleet = fleet(&["u1", "u2"]);
    assert!(say_leaving(&mut fleet, "u1", START));
    assert!(!say_leaving(&mut fleet, "u1", START + PAUSE));
    for ms in [0, 100, 10_000, 3_000_000] {
        assert_eq!(
            select(&fleet, START + clock::Millis(ms)),
            Ok("u2".to_owned())
        );
    }
}

/// Load of the pattern: all upstreams of a small service leave at once. They serve on for the drain
/// deadline, so the first half of it is used; then requests are refused.
#[test]
fn upstreams_that_leave_are_used_for_a_while_if_there_are_no_others() {
    let mut fleet = fleet(&["u1"]);
    say_leaving(&mut fleet, "u1", START);
    let half = clock::Millis(DRAIN_DEADLINE.0 / 2);
    let last = START + clock::Millis(half.0 - 1);
    assert_eq!(select(&fleet, last), Ok("u1".to_owned()));
    // Saying it again does not prolong it.
    say_leaving(&mut fleet, "u1", last);
    assert_eq!(select(&fleet, START + half), Err(selection::Shortage::None));
    fleet.put(upstream("u2", 1));
    assert_eq!(select(&fleet, START + half), Ok("u2".to_owned()));
}

/// Load of the pattern: a host that has not heard of it lists the upstream again as ready. Only another
/// process under the name ends the mark.
#[test]
fn list_does_not_bring_back_an_upstream_that_leaves() {
    let mut fleet = fleet(&["u1"]);
    let later = START + DRAIN_DEADLINE;
    say_leaving(&mut fleet, "u1", START);
    fleet.put(upstream("u1", 1));
    assert_eq!(select(&fleet, later), Err(selection::Shortage::None));
    fleet.remove(&"u1".into());
    fleet.put(upstream("u1", 1));
    assert_eq!(select(&fleet, later), Err(selection::Shortage::None));
    fleet.put(upstream("u1", 2));
    assert_eq!(select(&fleet, later), Ok("u1".to_owned()));
}

/// Load of the pattern: upstreams leave and pause one after the other. A request's log line must tell how old
/// the knowledge is by which they were passed over.
#[test]
fn details_tell_the_age_of_the_latest_announcement() {
    let mut fleet = fleet(&["u1", "u2", "u3"]);
    let service = name::Service::from("s");
    let criteria = selection::Criteria {
        service: &service,
        prompt_parts: &[],
        prompt_tokens: 0,
        tier: 0,
        stream_class: stream_class::StreamClass::Other,
        excluded: &[],
        homes: None,
        is_retryable: true,
        id: "r",
    };
    let details = |fleet: &fleet::Fleet, ms| {
        let now = START + clock::Millis(ms);
        let selected = fleet.select(&criteria, now);
        selected.map_or_else(|| fleet.shortage(&criteria, now).1, |s| s.details)
    };
    assert_eq!(details(&fleet, 0).said_age, None);
    ask_pause(&mut fleet, "u1", PAUSE, 0);
    say_leaving(&mut fleet, "u2", START + clock::Millis(300));
    let both = details(&fleet, 1_000);
    assert_eq!((both.usable, both.leaving, both.paused), (1, 1, 1));
    assert_eq!(both.said_age, Some(clock::Millis(700)));
    say_leaving(&mut fleet, "u3", START + clock::Millis(900));
    let none_left = details(&fleet, 1_000 + DRAIN_DEADLINE.0);
    assert_eq!((none_left.leaving, none_left.paused), (2, 0));
    assert_eq!(none_left.said_age, Some(clock::Millis(2_600)));
}

/// Load of the pattern: an upstream without a start time leaves, and another process comes under its name.
/// It can't be told from the first, so the mark must end by itself.
#[test]
fn leaving_of_an_upstream_without_a_start_time_is_believed_for_as_long_as_a_pause() {
    let mut fleet = fleet(&[]);
    fleet.put(upstream("u1", 0));
    say_leaving(&mut fleet, "u1", START);
    let end = START + clock::Millis::secs(300);
    let last = clock::Millis(end.0 - 1);
    assert_eq!(select(&fleet, last), Err(selection::Shortage::None));
    assert_eq!(select(&fleet, end), Ok("u1".to_owned()));
    assert!(say_leaving(&mut fleet, "u1", end));
    assert_eq!(
        select(&fleet, end + DRAIN_DEADLINE),
        Err(selection::Shortage::None)
    );
}

/// Load of the pattern: two upstreams were started in the same millisecond, or their entries name the same
/// address. What one of them says is not taken for the other's.
#[test]
fn upstreams_with_one_start_time_or_address_speak_for_themselves_alone() {
    let mut fleet = fleet(&["u1", "u2"]);
    say_leaving(&mut fleet, "u1", START);
    ask_pause(&mut fleet, "u1", PAUSE, 0);
    for ms in [0, 1_000, 3_000_000] {
        assert_eq!(
            select(&fleet, START + clock::Millis(ms)),
            Ok("u2".to_owned())
        );
    }
    fleet.remove(&"u1".into());
    assert_eq!(select(&fleet, START), Ok("u2".to_owned()));
}

/// Load of the pattern: all upstreams of a small service ask for a pause. They got the requests of every
/// host again and again; callers must hear when there is room.
#[test]
fn paused_upstreams_get_nothing_until_the_end_of_the_pause() {
    let mut fleet = fleet(&["u1", "u2"]);
    let until = [("u1", PAUSE), ("u2", PAUSE + PAUSE)]
        .map(|(name, pause)| ask_pause(&mut fleet, name, pause, 0));
    assert_eq!(until, [START + PAUSE, START + PAUSE + PAUSE]);
    let now = START + clock::Millis(500);
    let left = clock::Millis(PAUSE.0 - 500);
    assert_eq!(select(&fleet, now), Err(selection::Shortage::Paused(left)));
    assert_eq!(select(&fleet, until[0]), Ok("u1".to_owned()));
    // A shorter pause does not end a longer one, another process does.
    ask_pause(&mut fleet, "u2", clock::Millis(1), 0);
    fleet.remove(&"u1".into());
    assert!(select(&fleet, until[0]).is_err());
    fleet.put(upstream("u2", 2));
    assert_eq!(select(&fleet, now), Ok("u2".to_owned()));
}

/// Load of the pattern: pauses that many hosts were asked for at the same moment end together, and all
/// hosts return at once. An absurd pause must not take an upstream out for a day.
#[test]
fn pauses_end_spread_out_and_in_bounded_time() {
    const HOSTS: u32 = 100;
    let ends = (0..HOSTS).map(|host| {
        let mut fleet = fleet(&["u1"]);
        ask_pause(&mut fleet, "u1", PAUSE, u32::MAX / HOSTS * host)
    });
    let mut ends: Vec<clock::Millis> = ends.collect();
    assert!(ends.iter().all(|end| *end >= START + PAUSE));
    ends.dedup();
    assert!(ends.len() > HOSTS as usize / 2, "{} moments", ends.len());
    let mut fleet = fleet(&["u1"]);
    ask_pause(&mut fleet, "u1", clock::Millis(u64::MAX), u32::MAX);
    let bound = START + clock::Millis::secs(400);
    assert_eq!(select(&fleet, bound), Ok("u1".to_owned()));
}
