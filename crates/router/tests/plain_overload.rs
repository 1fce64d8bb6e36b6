//! Who is served when all but one upstream of a plain service have left, in simulated time and
//! without a network.

use std::collections;

use base::{clock, name};
use rand::{Rng as _, SeedableRng as _, rngs};
use router::{fleet, location, model, ports, selection, stream_class};

const HOSTS: usize = 70;
const SLOTS: usize = 6;
const MAX_WAITING: usize = 24;
const WORK_MS: u64 = 60;
/// Time for which requests arrive, and after it for which the upstream empties its queue.
const LENGTH_MS: u64 = 20_000;
const DRAIN_MS: u64 = 1_000;
/// Share that must be served of the requests that are not the least urgent: the rule for engines
/// allows that one in twelve gets nothing while less urgent ones begin.
const MIN_URGENT_SHARE: f64 = 11.0 / 12.0;
/// Time for which hosts learn of the load before requests are counted.
const LEARNING_MS: u64 = 4_000;

/// Requests sent, and requests served, by tier.
type Shares = collections::BTreeMap<u8, [u32; 2]>;

/// A request at the upstream.
struct Request {
    host: usize,
    tier: u8,
    /// Whether it arrived in the time that counts.
    counts: bool,
}

/// The upstream: running requests with the time of their end, and waiting ones.
#[derive(Default)]
struct Desk {
    running: Vec<(u64, Request)>,
    waiting: collections::VecDeque<Request>,
}

impl Desk {
    fn report(&self) -> ports::LoadReport {
        load([self.running.len(), self.waiting.len(), SLOTS].map(|n| n as u32))
    }
}

fn load([running, waiting, slots]: [u32; 3]) -> ports::LoadReport {
    ports::LoadReport {
        running,
        waiting,
        slots,
        slowdown_percent: None,
    }
}

fn fleets() -> Vec<fleet::Fleet> {
    let location = || location::Location {
        dc: "a".into(),
        regions: [("a".into(), "x".into())].into(),
    };
    let upstream = model::Upstream {
        name: "desk".into(),
        service: "s".into(),
        address: ([10, 0, 0, 1], 80).into(),
        dc: "a".into(),
        state: model::UpstreamState::Ready,
        preemptible: false,
        started_at: 1,
        cold_left: clock::Millis::ZERO,
        slots: 8,
    };
    let fleets = (0..HOSTS).map(|_| {
        let mut fleet = fleet::Fleet::new(location(), clock::Millis(2_500));
        fleet.put(upstream.clone());
        fleet
    });
    fleets.collect()
}

/// Plays requests that arrive with these rates by tier, per second, at random hosts.
fn play(rates: &[(u8, f64)], seed: u64) -> Shares {
    let service = name::Service::from("s");
    let upstream = name::Upstream::from("desk");
    let mut fleets = fleets();
    let mut desk = Desk::default();
    let mut shares = Shares::new();
    let mut rng = rngs::SmallRng::seed_from_u64(seed);
    for now_ms in 0..LENGTH_MS + DRAIN_MS {
        let now = clock::Millis(100_000 + now_ms);
        let (done, running): (Vec<_>, _) = std::mem::take(&mut desk.running)
            .into_iter()
            .partition(|(end, _)| *end <= now_ms);
        desk.running = running;
        for (_, request) in done {
            fleets[request.host].record_load(&upstream, desk.report(), now);
            shares.entry(request.tier).or_default()[1] += u32::from(request.counts);
        }
        for (tier, rate) in rates {
            if now_ms >= LENGTH_MS || rng.random::<f64>() >= rate / 1_000.0 {
                continue;
            }
            let counts = now_ms >= LEARNING_MS;
            shares.entry(*tier).or_default()[0] += u32::from(counts);
            let host = rng.random_range(0..HOSTS);
            let criteria = selection::Criteria {
                service: &service,
                prompt_parts: &[],
                prompt_tokens: 0,
                tier: *tier,
                stream_class: stream_class::StreamClass::Other,
                excluded: &[],
                homes: None,
                is_retryable: true,
                id: "r",
            };
            if fleets[host].select(&criteria, now).is_none() {
                continue;
            }
            if desk.waiting.len() < MAX_WAITING {
                let tier = *tier;
                desk.waiting.push_back(Request { host, tier, counts });
            } else {
                fleets[host].record_load(&upstream, desk.report(), now);
            }
        }
        while desk.running.len() < SLOTS
            && let Some(request) = desk.waiting.pop_front()
        {
            let work_ms = WORK_MS / 2 + rng.random_range(0..WORK_MS);
            desk.running.push((now_ms + work_ms, request));
        }
    }
    shares
}

fn share(shares: &Shares, tier: u8) -> f64 {
    let [sent, served] = shares[&tier];
    f64::from(served) / f64::from(sent)
}

/// Each request was sent until the upstream rejected it, whatever its tier: on routes of the most
/// urgent tier 22 of 100 were served, as many as of the others.
#[test]
fn most_urgent_requests_are_served_when_one_upstream_of_a_plain_service_is_left() {
    for seed in 1..=20 {
        let shares = play(&[(0, 50.0), (2, 8.0), (5, 360.0)], seed);
        assert!(
            share(&shares, 0) > MIN_URGENT_SHARE,
            "seed {seed}: {shares:?}"
        );
        assert!(
            share(&shares, 2) > share(&shares, 5),
            "seed {seed}: {shares:?}"
        );
        let served: u32 = shares.values().map(|[_, served]| served).sum();
        let capacity = SLOTS as f64 / WORK_MS as f64 * (LENGTH_MS - LEARNING_MS) as f64;
        assert!(
            f64::from(served) > 0.95 * capacity,
            "seed {seed}: {served} of {capacity}"
        );
    }
}

/// Capacity beyond the more urgent requests goes to the less urgent ones.
#[test]
fn less_urgent_requests_get_what_is_left() {
    for seed in 1..=20 {
        let shares = play(&[(4, 30.0), (9, 120.0)], seed);
        assert!(
            share(&shares, 4) > MIN_URGENT_SHARE,
            "seed {seed}: {shares:?}"
        );
        assert!(share(&shares, 9) > 0.4, "seed {seed}: {shares:?}");
    }
}

/// Without overload nobody is refused.
#[test]
fn all_requests_are_served_below_capacity() {
    for seed in 1..=20 {
        let shares = play(&[(0, 20.0), (9, 40.0)], seed);
        assert!(share(&shares, 0) > 0.99, "seed {seed}: {shares:?}");
        assert!(share(&shares, 9) > 0.97, "seed {seed}: {shares:?}");
    }
}

/// A report with counts out of all proportion holds requests back for the longest time at most, and one
/// without slots not at all.
#[test]
fn absurd_reports_change_little() {
    const MAX_HOLD_MS: u64 = 2_000;
    let service = name::Service::from("s");
    let criteria = selection::Criteria {
        service: &service,
        prompt_parts: &[],
        prompt_tokens: 0,
        tier: 9,
        stream_class: stream_class::StreamClass::Other,
        excluded: &[],
        homes: None,
        is_retryable: true,
        id: "r",
    };
    for (report, hold_ms) in [
        ([u32::MAX; 3], MAX_HOLD_MS),
        ([0, 0, 0], 0),
        ([0, u32::MAX, 0], 0),
    ] {
        let fleet = &mut fleets()[0];
        for n in 0..20 {
            let now = clock::Millis(100_000 + n * 3_000);
            fleet.record_load(&name::Upstream::from("desk"), load(report), now);
            let later = now + clock::Millis(hold_ms);
            assert!(fleet.select(&criteria, later).is_some(), "{report:?}");
        }
    }
}
