//! Tests of what leaves for other data centres, one for each load that the decision is made for.

use base::{clock, hash, name};
use policy::dc_link::{self, Distance};
use policy::offload::{self, Permission};

const SPEED: offload::Speed = offload::Speed {
    tokens_per_ms: 64.0,
    ms_per_request: 1.0,
    slots: 16,
    bytes: 80_000,
};
/// Requests per second that an engine with 16 slots serves, each running for two seconds.
const ENGINE_RATE: f64 = 8.0;
const ENGINES: u32 = 10;
const ROUND_MS: u64 = 100;

fn path(distance: Distance) -> dc_link::Path {
    dc_link::Path {
        distance,
        ..dc_link::Path::default()
    }
}

/// Two data centres, whose own clients send `demand` times what the data centre can serve. The figures
/// that `hosts` hosts of the first one decide by are `figure_age` old.
struct Site {
    now: clock::Millis,
    demand: [f64; 2],
    requests: [f64; 2],
    path: dc_link::Path,
    figure_age: clock::Millis,
    figures: Vec<[offload::DcLoad; 2]>,
    hosts: Vec<offload::Shares>,
    there: name::Dc,
}

impl Site {
    fn new(demand: [f64; 2], distance: Distance, hosts: usize, figure_age: u64) -> Self {
        Self {
            now: clock::Millis(100_000),
            demand,
            // Requests that run with this demand, up to the data centre's slots.
            requests: demand.map(|d| d.min(1.0) * f64::from(ENGINES * SPEED.slots)),
            path: path(distance),
            figure_age: clock::Millis(figure_age),
            figures: Vec::new(),
            hosts: vec![offload::Shares::default(); hosts],
            there: "there".into(),
        }
    }

    /// Part of the flow that leaves, over all hosts.
    fn share(&self) -> f64 {
        let sum: f64 = self.hosts.iter().map(offload::Shares::total).sum();
        sum / self.hosts.len().max(1) as f64
    }

    fn step(&mut self) {
        self.now = self.now + clock::Millis(ROUND_MS);
        let seconds = ROUND_MS as f64 / 1_000.0;
        let capacity = f64::from(ENGINES) * ENGINE_RATE;
        let leaving = self.demand[0] * self.share();
        let arriving = [self.demand[0] - leaving, self.demand[1] + leaving];
        for (requests, arriving) in self.requests.iter_mut().zip(arriving) {
            // Each running request ends after two seconds.
            let served = (*requests / 2.0).min(capacity);
            *requests = (*requests + (arriving * capacity - served) * seconds).max(0.0);
        }
        self.figures.push(self.requests.map(|r| offload::DcLoad {
            engines: ENGINES,
            running: r as u32,
            unread_tokens: 0,
            at: self.now,
        }));
        let delay = (self.figure_age.0 / ROUND_MS) as usize + 1;
        let Some(seen) = self.figures.len().checked_sub(delay) else {
            return;
        };
        let [here, there] = self.figures[seen];
        let destination = offload::Destination {
            dc: &self.there,
            path: self.path,
            load: Some(there),
        };
        for shares in &mut self.hosts {
            shares.update(Some(here), &[destination], &SPEED, self.now);
        }
    }

    fn run(&mut self, seconds: u64) {
        (0..seconds * 1_000 / ROUND_MS).for_each(|_| self.step());
    }

    /// Wait in the first data centre in milliseconds.
    fn wait_here(&self) -> f64 {
        self.figures.last().unwrap()[0].wait_ms(&SPEED)
    }
}

#[test]
fn one_data_centre_at_twice_its_capacity_next_to_an_idle_one() {
    let mut site = Site::new([2.0, 0.0], Distance::SameRegion, 1, 500);
    site.run(30);
    // 0.8 of the other one's slots take 0.4 of the flow.
    assert!((0.35..0.45).contains(&site.share()), "{}", site.share());
    let mut alone = Site::new([2.0, 0.0], Distance::SameRegion, 0, 500);
    alone.run(30);
    let (wait, wait_alone) = (site.wait_here(), alone.wait_here());
    assert!(wait < wait_alone / 3.0, "{wait} instead of {wait_alone}");
    site.demand = [0.2, 0.0];
    site.run(90);
    assert_eq!(site.share(), 0.0, "the flow returns when the load is over");
}

#[test]
fn region_at_its_peak_while_the_other_is_at_its_low() {
    let mut site = Site::new([1.5, 0.2], Distance::OtherRegion, 1, 1_000);
    site.run(30);
    assert!((0.25..0.5).contains(&site.share()), "{}", site.share());
    // The room that is left there after its own clients' need.
    let there = site.figures.last().unwrap()[1];
    assert!(
        there.running <= ENGINES * SPEED.slots,
        "{there:?} is over its capacity"
    );
}

#[test]
fn nothing_leaves_when_both_are_full() {
    for demand in [[1.5, 1.0], [2.0, 2.0]] {
        let mut site = Site::new(demand, Distance::SameRegion, 1, 1_000);
        site.run(30);
        assert_eq!(site.share(), 0.0, "{demand:?}");
    }
}

#[test]
fn burst_of_two_seconds_moves_little() {
    let mut site = Site::new([0.5, 0.0], Distance::SameRegion, 1, 500);
    site.run(10);
    site.demand = [4.0, 0.0];
    let (mut left, mut sent) = (0.0, 0.0);
    for _ in 0..20 {
        site.step();
        left += site.share() * site.demand[0];
        sent += site.demand[0];
    }
    assert!(left / sent < 0.05, "{} of the burst left", left / sent);
}

#[test]
fn link_at_half_its_bandwidth() {
    let mut site = Site::new([2.0, 0.0], Distance::OtherRegion, 1, 500);
    site.path.link_use = Some(0.45);
    site.run(20);
    let before = site.share();
    assert!(before > 0.3, "{before}");
    let usual = site.path.cost_ms(0);
    // The same bytes take up twice as much of a link that has half its bandwidth.
    site.path.link_use = Some(0.9);
    assert!(site.path.cost_ms(0) > 2.0 * usual);
    site.run(2);
    assert!(
        site.share() < before / 4.0,
        "{} after two seconds",
        site.share()
    );
}

/// Guards against hosts that all move at once by the same old figures and return as fast.
#[test]
fn figures_two_seconds_old_at_a_hundred_hosts() {
    let mut site = Site::new([1.4, 0.3], Distance::SameRegion, 100, 2_000);
    let mut reversals = 0;
    let (mut lowest, mut highest) = (1.0_f64, 0.0_f64);
    let mut last_rise = 0.0;
    for second in 0..120 {
        let before = site.share();
        site.run(1);
        let rise = site.share() - before;
        assert!(rise.abs() <= 0.08 + 1e-9, "{rise} in second {second}");
        if second < 30 {
            continue;
        }
        lowest = lowest.min(site.share());
        highest = highest.max(site.share());
        reversals += u32::from(rise * last_rise < 0.0);
        last_rise = rise;
    }
    assert!(
        highest - lowest < 0.15,
        "{lowest} to {highest}, {reversals} reversals"
    );
    assert!(lowest > 0.15, "{lowest}");
}

/// Guards against bytes over a billed link that gain less than they cost.
#[test]
fn price_keeps_requests_in_their_region() {
    let mut site = Site::new([2.0, 0.0], Distance::OtherRegion, 1, 500);
    site.path.ms_per_byte = 1.0;
    site.run(20);
    assert_eq!(site.share(), 0.0);
    let near = dc_link::Path {
        distance: Distance::SameRegion,
        ..site.path
    };
    assert_eq!(near.cost_ms(80_000), 6.0, "traffic within a region is free");
}

#[test]
fn usual_costs_without_figures_measurements_and_settings() {
    let shares = offload::Shares::default();
    for (distance, expected) in [
        (Distance::SameDc, 0.0),
        (Distance::SameRegion, 6.0),
        (Distance::OtherRegion, 60.0),
    ] {
        let permission = shares.permission(7, &"there".into());
        assert_eq!(permission, Permission::Unlimited);
        let cost = offload::cost_ms(&path(distance), 80_000, 0.0, permission);
        assert_eq!(cost, expected);
    }
}

#[test]
fn cached_prompt_part_still_moves_a_request_outside_the_share() {
    let far = path(Distance::OtherRegion);
    let withheld = Permission::Withheld(500.0);
    assert_eq!(offload::cost_ms(&far, 0, 116.0, withheld), 60.0);
    assert!(offload::cost_ms(&far, 0, 30.0, withheld) > 1_000.0);
}

/// Guards against a request that changes its side between attempts, and a share that is not met.
#[test]
fn share_selects_requests_by_their_id() {
    let mut site = Site::new([2.0, 0.0], Distance::SameRegion, 2, 500);
    site.run(20);
    let is_granted = |shares: &offload::Shares, n: u32| {
        let id_hash = hash::stable_hash(&n.to_le_bytes());
        matches!(
            shares.permission(id_hash, &site.there),
            Permission::Granted(_)
        )
    };
    let granted = (0..10_000)
        .filter(|n| is_granted(&site.hosts[0], *n))
        .count();
    assert!(
        (granted as f64 / 10_000.0 - site.share()).abs() < 0.02,
        "{granted}"
    );
    assert!((0..100).all(|n| is_granted(&site.hosts[0], n) == is_granted(&site.hosts[1], n)));
}

#[test]
fn figures_that_are_absent_or_old_end_the_shift() {
    let mut site = Site::new([2.0, 0.0], Distance::SameRegion, 1, 500);
    site.run(20);
    assert!(site.share() > 0.3);
    let (there, here) = (site.there.clone(), site.figures.last().unwrap()[0]);
    for _ in 0..40 {
        site.now = site.now + offload::STEP_PERIOD;
        let destination = offload::Destination {
            dc: &there,
            path: site.path,
            load: None,
        };
        let shares = &mut site.hosts[0];
        shares.update(Some(here), &[destination], &SPEED, site.now);
    }
    assert_eq!(site.share(), 0.0);
    assert_eq!(site.hosts[0].permission(7, &there), Permission::Unlimited);
}

#[test]
fn slow_or_lossy_link_costs_more_within_two_seconds_and_less_slowly() {
    let slow = (Some(90.0), 40.0..60.0);
    let lost = (None, 1_000.0..=2_000.0);
    for (delay_ms, low, high) in [
        (slow.0, slow.1.start, slow.1.end),
        (lost.0, *lost.1.start(), *lost.1.end()),
    ] {
        let mut link = dc_link::LinkHealth::default();
        let mut now = clock::Millis(100_000);
        for n in 0..20 {
            link.record(n, Some(40.0), 45.0, now);
            now = now + clock::Millis(250);
        }
        assert_eq!(link.excess_ms(now), 0.0);
        for n in 0..8 {
            link.record(n, delay_ms, 45.0, now);
            now = now + clock::Millis(250);
        }
        let raised = link.excess_ms(now);
        assert!((low..=high).contains(&raised), "{raised}");
        // A few fast connections do not end it at once.
        link.record(1, Some(40.0), 45.0, now);
        let after = |s| link.excess_ms(now + clock::Millis::secs(s));
        assert!(after(5) > raised * 0.5 && after(120) == 0.0);
    }
}

/// Guards against a link that is taken to be lost because one machine behind it ended, or slow because
/// of one slow connection.
#[test]
fn one_machine_does_not_raise_the_cost_of_a_link() {
    let mut link = dc_link::LinkHealth::default();
    let now = clock::Millis(100_000);
    link.record(1, None, 6.0, now);
    link.record(1, None, 6.0, now);
    link.record(2, Some(200.0), 6.0, now);
    assert_eq!(link.excess_ms(now), 0.0);
}
