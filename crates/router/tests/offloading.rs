//! Tests of what leaves a host's data centre, by load figures, links and settings.

use base::{clock, name};
use policy::offload;
use router::{fleet, location, model, offloading, ports, selection, stream_class};

const START: clock::Millis = clock::Millis(100_000);

fn location() -> location::Location {
    let regions = [("a", "x"), ("b", "x"), ("c", "y")];
    location::Location {
        dc: "a".into(),
        regions: regions.map(|(d, r)| (d.into(), r.into())).into(),
    }
}

/// Two engines in each data centre.
fn engines() -> fleet::Fleet {
    let mut fleet = fleet::Fleet::new(location(), clock::Millis(2_500));
    for (n, dc) in ["a", "a", "b", "b", "c", "c"].into_iter().enumerate() {
        fleet.put(model::Upstream {
            name: format!("{dc}{n}").as_str().into(),
            service: "llm".into(),
            address: ([10, 0, 0, n as u8], 80).into(),
            dc: dc.into(),
            state: model::UpstreamState::Ready,
            preemptible: false,
            started_at: 1,
            cold_left: clock::Millis::ZERO,
            slots: 16,
        });
    }
    fleet
}

fn prompt(shared_id: u64) -> [ports::PromptPart; 2] {
    [(shared_id, 13_000), (77, 3_000)].map(|(id, tokens)| ports::PromptPart { id, tokens })
}

fn select(
    fleet: &fleet::Fleet,
    id: &str,
    parts: &[ports::PromptPart],
    now: clock::Millis,
) -> selection::Selection {
    let criteria = selection::Criteria {
        service: &name::Service::from("llm"),
        prompt_parts: parts,
        prompt_tokens: parts.iter().map(|p| p.tokens).sum(),
        tier: 0,
        stream_class: stream_class::StreamClass::Other,
        excluded: &[],
        homes: None,
        is_retryable: true,
        id,
    };
    fleet.select(&criteria, now).expect("an upstream")
}

/// A prompt that nothing of is cached anywhere.
fn unshared() -> [ports::PromptPart; 1] {
    [ports::PromptPart {
        id: 5,
        tokens: 3_000,
    }]
}

fn record_loads(fleet: &mut fleet::Fleet, running: [u32; 3], now: clock::Millis) {
    for (dc, running) in ["a", "b", "c"].into_iter().zip(running) {
        let load = offload::DcLoad {
            engines: 2,
            running,
            unread_tokens: 0,
            at: now,
        };
        fleet.record_dc_load(&"llm".into(), &dc.into(), load);
    }
}

/// Distances of the upstreams selected for 200 requests.
fn distances(fleet: &fleet::Fleet, now: clock::Millis) -> [usize; 3] {
    let mut counts = [0; 3];
    for n in 0..200 {
        let selection = select(fleet, &format!("r{n}"), &unshared(), now);
        counts[selection.details.distance as usize] += 1;
    }
    counts
}

/// Sends and ends one request a tenth of a second, with these figures twice a second.
fn run(fleet: &mut fleet::Fleet, running: Option<[u32; 3]>, rounds: u64, now: &mut clock::Millis) {
    for round in 0..rounds {
        if let Some(running) = running
            && round % 5 == 0
        {
            record_loads(fleet, running, *now);
        }
        let selection = select(fleet, "r", &unshared(), *now);
        fleet.record_sent(&selection, &unshared(), *now);
        fleet.record_prompt_read(&selection.name, selection.unread_tokens);
        fleet.record_end(&selection.name);
        *now = *now + clock::Millis(100);
    }
}

#[test]
fn short_data_centre_sends_a_rising_part_of_its_flow_away() {
    let mut fleet = engines();
    let mut now = START;
    run(&mut fleet, Some([20, 5, 5]), 20, &mut now);
    assert_eq!(distances(&fleet, now), [200, 0, 0], "nobody waits");
    run(&mut fleet, Some([90, 5, 5]), 20, &mut now);
    let [_, after_two_seconds, _] = distances(&fleet, now);
    run(&mut fleet, Some([90, 5, 5]), 60, &mut now);
    let [stay, near, far] = distances(&fleet, now);
    assert!(after_two_seconds < 40, "{after_two_seconds}");
    assert!(
        near > after_two_seconds + 20 && stay > 50,
        "{stay} {near} {far}"
    );
    let left = (0..200).map(|n| select(&fleet, &format!("r{n}"), &unshared(), now).details);
    let left: Vec<_> = left
        .filter(|d| d.distance != location::Distance::SameDc)
        .collect();
    assert!(left.iter().all(|d| d.leaves_by == Some("share")));
    assert!(
        left.iter()
            .all(|d| d.figures_age <= Some(clock::Millis(600)) && d.cost_here_ms.is_some())
    );
}

/// Guards against figures that keep requests from the engine which has their prompt cached.
#[test]
fn cached_prompt_leaves_whatever_the_figures_say() {
    let mut fleet = engines();
    let cached_at = |fleet: &fleet::Fleet| {
        let ids = (0..40).map(|id| select(fleet, "r", &prompt(id), START));
        ids.map(|s| s.name).collect::<Vec<_>>()
    };
    let before = cached_at(&fleet);
    assert!(before.iter().any(|name| !name.as_str().starts_with('a')));
    let mut now = START;
    run(&mut fleet, Some([20, 5, 5]), 2, &mut now);
    assert_eq!(cached_at(&fleet), before);
}

/// Guards against links that lose connections or delay them, while requests go on leaving over them.
#[test]
fn slow_link_keeps_requests_at_home_for_a_while() {
    let mut fleet = engines();
    let preferred_there = (0..40)
        .map(prompt)
        .find(|p| select(&fleet, "r", p, START).name.as_str().starts_with('b'));
    let parts = preferred_there.expect("a prompt cached in b");
    let mut now = START;
    for n in 0..8 {
        now = now + clock::Millis(200);
        let delay = Some(clock::Millis(600));
        fleet.offloading.record_delay(&"b".into(), n, delay, now);
    }
    assert!(
        select(&fleet, "r", &parts, now)
            .name
            .as_str()
            .starts_with('a')
    );
    let later = now + clock::Millis::secs(90);
    assert!(
        select(&fleet, "r", &parts, later)
            .name
            .as_str()
            .starts_with('b')
    );
    // A host without processor time is as slow at home, which says nothing about the link.
    let mut fleet = engines();
    for n in 0..8 {
        for dc in ["a", "b"] {
            let delay = Some(clock::Millis(600));
            fleet.offloading.record_delay(&dc.into(), n, delay, now);
        }
    }
    assert!(
        select(&fleet, "r", &parts, now)
            .name
            .as_str()
            .starts_with('b')
    );
}

/// Guards against more bytes than a link between regions carries, and against hosts that count one
/// region's bytes against the link to another.
#[test]
fn busy_link_between_regions_costs_more() {
    let mut fleet = engines();
    fleet.offloading.configure(offloading::Settings {
        link_bytes_per_s: Some(7.5e6),
        ..offloading::Settings::default()
    });
    let service = name::Service::from("llm");
    let mut criteria = selection::Criteria {
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
    criteria.tier = 1;
    let mut now = START;
    for _ in 0..21 {
        // Ten hosts with 70,000 bytes in 100 ms each: 7 MB a second.
        let sent = |dc: &str| (name::Dc::from(dc), 70_000);
        for (dc, bytes) in ["a", "b", "c"].map(sent) {
            fleet.offloading.record_bytes(&dc, bytes, || 10, now);
        }
        now = now + clock::Millis(100);
    }
    let cost = |dc: &str| fleet.offloading.cost_ms(&criteria, &dc.into(), 0.0, now);
    assert_eq!((cost("a"), cost("b")), (0.0, 6.0));
    assert!(cost("c") > 150.0, "{}", cost("c"));
}

/// Guards against a change for deployments that set nothing: reports of upstreams alone move nothing.
#[test]
fn own_view_counts_only_where_the_settings_say_so() {
    for by_load in [false, true] {
        let mut fleet = engines();
        fleet.offloading.configure(offloading::Settings {
            by_load,
            ..offloading::Settings::default()
        });
        let mut now = START;
        for _ in 0..10 {
            for name in fleet.names() {
                let (running, waiting) = match name.as_str().starts_with('a') {
                    true => (16, 100),
                    false => (4, 0),
                };
                let load = ports::LoadReport {
                    running,
                    waiting,
                    slots: 16,
                    slowdown_percent: None,
                };
                fleet.record_load(&name, load, now);
            }
            run(&mut fleet, None, 5, &mut now);
        }
        let [stay, near, _] = distances(&fleet, now);
        if by_load {
            assert!(near > 0 && stay > 100, "{stay} {near}");
        } else {
            assert_eq!((stay, near), (0, 200), "load moves all as soon as it shows");
        }
    }
}
