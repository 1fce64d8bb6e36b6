//! Upstreams that turn cold under load, at many hosts that learn of it at different times, in simulated
//! time and without a network.

use std::collections;
use std::iter;

use base::{clock, name};
use rand::{Rng as _, SeedableRng as _, rngs};
use router::{
    fleet, host, location, membership, model, ports, revision, selection, stream_class, warm_up,
};

const HOSTS: usize = 76;
const DCS: [&str; 6] = ["a", "b", "c", "d", "e", "f"];
const UPSTREAMS: usize = 138;
/// Requests per second for each upstream: more than nine tenths of what it runs.
const LOAD: f64 = 8.0;
const WORK_MS: u64 = 400;
const PERIOD_MS: u64 = 3_000;
/// Requests that a cold upstream bears in one second: 9.5 x 1.5 + 5.
const BOUND: usize = 19;

/// What a host learns.
#[derive(Clone)]
enum News {
    /// These upstreams are cold by their entries.
    Cold(Vec<usize>),
    /// These data centres are no longer drained.
    DrainEnd(Vec<usize>),
    /// The list of hosts, without this one.
    Hosts(Option<usize>),
}

struct Simulation {
    rng: rngs::SmallRng,
    fleets: Vec<fleet::Fleet>,
    /// News by time and host.
    news: collections::BTreeMap<u64, Vec<(usize, News)>>,
    /// Times between which a host does nothing.
    pauses: Vec<(usize, u64, u64)>,
    /// Requests by upstream: when they arrived, and from which host.
    arrived: Vec<Vec<(u64, usize)>>,
}

fn upstream(n: usize, state: model::UpstreamState, cold_ms: u64) -> model::Upstream {
    model::Upstream {
        name: format!("u{n}").as_str().into(),
        service: "llm".into(),
        address: ([10, 0, 0, n as u8], 80).into(),
        dc: DCS[n % 6].into(),
        state,
        preemptible: false,
        started_at: 1,
        cold_left: clock::Millis(cold_ms),
        slots: 16,
    }
}

fn read_hosts(fleet: &mut fleet::Fleet, without: Option<usize>, now: clock::Millis) {
    let item = |n: usize| ports::Item {
        key: format!("hosts/h{n}"),
        value: format!(
            r#"{{"host":"h{n}","dc":"{}","peer":"10.0.1.{n}:1"}}"#,
            DCS[n % 6]
        )
        .into(),
        revision: revision::Revision::without_era(1),
        created: revision::Revision::without_era(1),
        lease: Some(0),
        fault: None,
    };
    let items: Vec<_> = (0..HOSTS)
        .filter(|n| Some(*n) != without)
        .map(item)
        .collect();
    let mut membership = membership::Membership::default();
    membership.update_hosts(&items, now);
    fleet.warm_up.update_hosts(&membership, now);
}

impl Simulation {
    /// Creates hosts that know each other and all upstreams; the data centres `drained` are drained.
    fn new(seed: u64, drained: &[usize]) -> Self {
        let tolerance = host::ColdTolerance {
            factor: 1.5,
            extra: 5.0,
        };
        let service = model::Service {
            name: "llm".into(),
            engine: None,
            scaling: None,
            cold_limit: Some(model::ColdLimit {
                period: clock::Millis(PERIOD_MS),
                requests_per_s: 9.5,
            }),
        };
        let fleet = |n: usize| {
            let location = location::Location {
                dc: DCS[n % 6].into(),
                regions: DCS
                    .map(|d| (d.into(), if d < "d" { "x" } else { "y" }.into()))
                    .into(),
            };
            let mut fleet = fleet::Fleet::new(location, clock::Millis(2_500));
            fleet.warm_up = warm_up::WarmUp::new(format!("h{n}").as_str().into(), Some(tolerance));
            fleet.warm_up.set_limits(iter::once(&service));
            // At equal cost the first one listed is selected; the hosts' requests must spread.
            for u in (0..UPSTREAMS).map(|u| (u + n * 19) % UPSTREAMS) {
                let state = if drained.contains(&(u % 6)) {
                    model::UpstreamState::Leaving
                } else {
                    model::UpstreamState::Ready
                };
                fleet.put_entry(upstream(u, state, 0), true, clock::Millis(0));
            }
            read_hosts(&mut fleet, None, clock::Millis(0));
            fleet
        };
        Self {
            rng: rngs::SmallRng::seed_from_u64(seed),
            fleets: (0..HOSTS).map(fleet).collect(),
            news: collections::BTreeMap::new(),
            pauses: Vec::new(),
            arrived: vec![Vec::new(); UPSTREAMS],
        }
    }

    /// Tells each host after a delay of `delay_ms`, and a paused one after its pause.
    fn tell(&mut self, at: u64, delay_ms: u64, news: &News) {
        for host in 0..HOSTS {
            let mut heard = at + self.rng.random_range(0..=delay_ms);
            for (_, from, until) in self.pauses.iter().filter(|(h, ..)| *h == host) {
                if (*from..*until).contains(&heard) {
                    heard = until + 200;
                }
            }
            self.news
                .entry(heard)
                .or_default()
                .push((host, news.clone()));
        }
    }

    fn apply(&mut self, host: usize, news: News, now: clock::Millis) {
        let fleet = &mut self.fleets[host];
        match news {
            News::Hosts(without) => read_hosts(fleet, without, now),
            News::Cold(cold) => {
                for u in cold {
                    let entry = upstream(u, model::UpstreamState::Ready, PERIOD_MS);
                    fleet.put_entry(entry, true, now);
                }
            }
            News::DrainEnd(dcs) => {
                for dc in dcs {
                    for u in (dc..UPSTREAMS).step_by(6) {
                        let entry = upstream(u, model::UpstreamState::Ready, 0);
                        fleet.put_entry(entry, true, now);
                    }
                    fleet.mark_dc_cold(&DCS[dc].into(), now);
                }
            }
        }
    }

    /// Sends requests from `from` to `until`. A paused host sends those of its pause at its end.
    fn run(&mut self, from: u64, until: u64) {
        let service = name::Service::from("llm");
        let mut running = vec![0; UPSTREAMS];
        let mut ends: collections::BTreeMap<u64, Vec<(usize, name::Upstream, usize)>> =
            Default::default();
        let mut waiting: collections::BTreeMap<u64, Vec<usize>> = Default::default();
        for t in from..until {
            let now = clock::Millis(t);
            while let Some(told) = self.news.first_entry()
                && *told.key() <= t
            {
                let (at, told) = told.remove_entry();
                for (host, news) in told {
                    self.apply(host, news, clock::Millis(at));
                }
            }
            for (host, upstream, n) in ends.remove(&t).unwrap_or_default() {
                running[n] -= 1;
                let load = ports::LoadReport {
                    running: running[n],
                    slots: 16,
                    ..ports::LoadReport::default()
                };
                self.fleets[host].record_end(&upstream);
                self.fleets[host].record_load(&upstream, load, now);
            }
            let mut hosts = waiting.remove(&t).unwrap_or_default();
            for _ in 0..3 {
                if self.rng.random::<f64>() < LOAD * UPSTREAMS as f64 / 3_000.0 {
                    hosts.push(self.rng.random_range(0..HOSTS));
                }
            }
            for host in hosts {
                let mut pauses = self.pauses.iter();
                if let Some((_, _, end)) =
                    pauses.find(|(h, a, b)| *h == host && (*a..*b).contains(&t))
                {
                    waiting.entry(*end).or_default().push(host);
                    continue;
                }
                // Half of the requests share a prefix with others.
                let parts = [self.rng.random_range(0..20_000), self.rng.random()];
                let parts = parts.map(|id| ports::PromptPart { id, tokens: 800 });
                let parts = &parts[usize::from(self.rng.random_bool(0.5))..];
                let criteria = selection::Criteria {
                    id: "q",
                    service: &service,
                    prompt_parts: parts,
                    prompt_tokens: parts.iter().map(|p| p.tokens).sum(),
                    tier: 0,
                    stream_class: stream_class::StreamClass::Other,
                    excluded: &[],
                    homes: None,
                    is_retryable: self.rng.random_bool(0.9),
                };
                let fleet = &mut self.fleets[host];
                let Some(selected) = fleet.select(&criteria, now) else {
                    continue;
                };
                fleet.record_sent(&selected, parts, now);
                fleet.record_prompt_read(&selected.name, selected.unread_tokens);
                let n: usize = selected.name.as_str()[1..].parse().unwrap();
                let arrival = t + self.rng.random_range(1..30);
                self.arrived[n].push((arrival, host));
                ends.entry(t + WORK_MS)
                    .or_default()
                    .push((host, selected.name, n));
                running[n] += 1;
            }
        }
    }

    /// Checks the bound for the cold `upstreams` and returns the number of requests that they got.
    fn check(&mut self, upstreams: impl Iterator<Item = usize>, from: u64, until: u64) -> usize {
        let mut total = 0;
        for u in upstreams {
            self.arrived[u].sort_unstable();
            let times = self.arrived[u].iter().map(|(t, _)| *t);
            let times: Vec<u64> = times.filter(|t| (from..until).contains(t)).collect();
            for (i, t) in times.iter().enumerate() {
                let count = times[i..].iter().take_while(|x| **x < t + 1_000).count();
                assert!(count <= BOUND, "u{u} gets {count} in the second from {t}");
            }
            total += times.len();
        }
        total
    }
}

fn of_dcs(dcs: &[usize]) -> Vec<usize> {
    (0..UPSTREAMS).filter(|u| dcs.contains(&(u % 6))).collect()
}

/// Guards against 76 hosts that find the idle upstreams of a returned data centre at once, and against a
/// limit that keeps these from being used at all.
#[test]
fn data_centre_that_returns_from_a_drain_under_full_load_gets_what_it_bears() {
    for seed in 1..=3 {
        let mut simulation = Simulation::new(seed, &[2]);
        simulation.tell(6_000, 1_500, &News::DrainEnd(vec![2]));
        simulation.run(4_000, 9_000);
        let count = simulation.check(of_dcs(&[2]).into_iter(), 6_000, 9_000);
        assert!(count > UPSTREAMS / 6 * 4, "seed {seed}: {count} requests");
    }
}

/// Guards against hosts that have not heard yet and the owner passing the bound together.
#[test]
fn several_data_centres_that_turn_cold_in_service_get_what_they_bear() {
    for seed in 1..=3 {
        let mut simulation = Simulation::new(seed, &[]);
        let cold = of_dcs(&[0, 3]);
        simulation.tell(6_000, 1_500, &News::Cold(cold.clone()));
        simulation.run(4_000, 9_000);
        simulation.check(cold.iter().copied(), 6_000, 9_000);
        // When all hosts know, the owners send.
        let count = simulation.check(cold.iter().copied(), 7_530, 9_000);
        assert!(count > cold.len(), "seed {seed}: {count} requests");
    }
}

/// Guards against a second owner that passes the bound with the first, which may live on unregistered, and
/// against upstreams that nobody sends to after their owner is lost.
#[test]
fn lost_owner_is_replaced_and_two_owners_stay_within_the_bound() {
    for is_alive in [false, true] {
        let mut simulation = Simulation::new(7, &[2]);
        let lost = 2;
        if !is_alive {
            simulation.pauses.push((lost, 5_000, 60_000));
        }
        simulation.tell(6_000, 6_000, &News::Hosts(Some(lost)));
        if is_alive {
            let all = simulation.news.values_mut();
            all.for_each(|told| told.retain(|(host, _)| *host != lost));
        }
        for at in [9_000, 16_000] {
            simulation.tell(at, 1_500, &News::DrainEnd(vec![2]));
        }
        simulation.run(8_000, 17_800);
        simulation.check(of_dcs(&[2]).into_iter(), 9_000, 12_000);
        simulation.check(of_dcs(&[2]).into_iter(), 16_000, 17_800);
        // A host that may send within a second is an owner: all periods last for longer.
        let now = clock::Millis(17_800);
        for u in of_dcs(&[2]) {
            let name = upstream(u, model::UpstreamState::Ready, 0).name;
            let is_owner = |host: &usize| {
                let fleet = &simulation.fleets[*host];
                let process = fleet.get(&name).unwrap().process();
                match fleet.warm_up.gate(&"llm".into()).admission(process, now) {
                    warm_up::Admission::Held(wait) => wait < clock::Millis(1_100),
                    _ => true,
                }
            };
            let owners: Vec<usize> = (0..HOSTS).filter(|h| *h != lost).filter(is_owner).collect();
            assert_eq!(owners.len(), 1, "u{u}, lost host alive: {is_alive}");
        }
    }
}

/// Guards against a host that resumes with an old view and sends what waited in its pause at once, and
/// against a period that ends although the upstream has turned cold again.
#[test]
fn upstreams_that_turn_cold_again_while_a_host_is_paused_get_what_they_bear() {
    let mut simulation = Simulation::new(11, &[]);
    simulation.pauses.push((8, 5_500, 8_500));
    let cold = of_dcs(&[2]);
    simulation.tell(6_000, 1_500, &News::Cold(cold.clone()));
    simulation.tell(8_000, 1_500, &News::Cold(cold.clone()));
    simulation.run(4_000, 11_000);
    simulation.check(cold.into_iter(), 6_000, 11_000);
}
