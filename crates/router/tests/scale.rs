//! Orders for upstreams.

use std::collections;

use base::{clock, name};
use router::{membership, model, ports, scale};

const SERVICE: &str = "llm";

fn scaling() -> model::Scaling {
    let prices = [("a", 1.0), ("b", 0.8), ("c", 1.25)];
    model::Scaling {
        min: 1,
        max: 6,
        startup_time: clock::Millis(4_000),
        preemptible_price: Some(0.18),
        on_demand_prices: prices.iter().map(|(d, p)| ((*d).into(), *p)).collect(),
    }
}

type Fleet = collections::BTreeMap<name::Dc, scale::UpstreamCount>;

fn fleet(counts: [(u32, u32); 3]) -> Fleet {
    let dcs = ["a", "b", "c"].map(name::Dc::from);
    let running = counts.map(|(firm, cheap)| scale::UpstreamCount {
        on_demand: firm,
        preemptible: cheap,
    });
    dcs.into_iter().zip(running).collect()
}

/// Plans at `now`; cheap orders are answered by `cheap`.
fn plan(
    scaler: &mut scale::Scaler,
    running: &Fleet,
    demand: &membership::Demand,
    now: u64,
    cheap: Result<(), ports::OrderError>,
) -> Vec<ports::Order> {
    let now = clock::Millis(now);
    let service = name::Service::from(SERVICE);
    let scaling = scaling();
    let Some(need) = scaler.target_engines(running, demand, now) else {
        return Vec::new();
    };
    let mut orders = scaler.plan_preemptible(&service, &scaling, need, now);
    for order in &orders {
        scaler.record_result(order, running[&order.dc], cheap, now);
    }
    let firm = scaler.plan_on_demand(&service, &scaling, running, demand, need, now);
    for order in &firm {
        scaler.record_result(order, running[&order.dc], Ok(()), now);
    }
    orders.extend(firm);
    orders
}

fn firm(orders: &[ports::Order]) -> u32 {
    orders
        .iter()
        .filter(|o| !o.preemptible)
        .map(|o| o.count)
        .sum()
}

#[test]
fn cheap_engines_replace_firm_ones_without_a_gap() {
    let mut scaler = scale::Scaler::with_provisioned(9.0);
    let mut some = membership::Demand::default();
    (some.prompt_tokens, some.in_flight) = (5e4, 10.0);
    let before = fleet([(3, 0), (3, 0), (3, 0)]);
    let mut ordered = 0;
    for s in 0..4 {
        let orders = plan(&mut scaler, &before, &some, 10_000 + s * 1_000, Ok(()));
        ordered += orders
            .iter()
            .filter(|o| o.preemptible)
            .map(|o| o.count)
            .sum::<u32>();
        let kept = orders.iter().filter(|o| !o.preemptible);
        assert!(kept.map(|o| o.count).all(|n| n >= 3), "{orders:?}");
    }
    assert!(ordered >= 9, "{ordered} ordered");
    let running = fleet([(3, 5), (3, 4), (3, 5)]);
    let later: Vec<_> = (0..4)
        .flat_map(|s| plan(&mut scaler, &running, &some, 20_000 + s * 1_000, Ok(())))
        .collect();
    assert_eq!(firm(&later), 1, "one firm engine stays: {later:?}");
}

#[test]
fn firm_engines_fill_in_while_none_are_cheap() {
    let mut scaler = scale::Scaler::with_provisioned(9.0);
    let idle = membership::Demand::default();
    let all = fleet([(0, 5), (1, 4), (0, 5)]);
    plan(&mut scaler, &all, &idle, 10_000, Ok(()));
    // A data centre is reclaimed, and nowhere are more to be had.
    let left = fleet([(0, 0), (1, 4), (0, 0)]);
    let none = Err(ports::OrderError::NoneLeft);
    let now = plan(&mut scaler, &left, &idle, 17_000, none);
    assert!(firm(&now) >= 5, "{now:?}");
    // Asking again in vain does not stop those that start.
    for s in 1..8 {
        let again = plan(&mut scaler, &left, &idle, 17_000 + s * 1_000, none);
        assert!(
            again
                .iter()
                .all(|o| o.preemptible || o.count > 0 || o.dc.as_str() == "b"),
            "{again:?}"
        );
    }
}

#[test]
fn engines_reclaimed_just_after_their_order_do_not_count() {
    let mut scaler = scale::Scaler::with_provisioned(9.0);
    let idle = membership::Demand::default();
    plan(
        &mut scaler,
        &fleet([(0, 5), (1, 4), (0, 5)]),
        &idle,
        10_000,
        Ok(()),
    );
    let left = fleet([(0, 0), (1, 0), (0, 0)]);
    let now = plan(
        &mut scaler,
        &left,
        &idle,
        11_000,
        Err(ports::OrderError::NoneLeft),
    );
    assert!(firm(&now) >= 9, "{now:?}");
}

#[test]
fn limits_hold_for_both_kinds_together() {
    let mut scaler = scale::Scaler::with_provisioned(9.0);
    let mut heavy = membership::Demand::default();
    (heavy.prompt_tokens, heavy.in_flight) = (9e6, 900.0);
    let running = fleet([(0, 6), (1, 5), (0, 6)]);
    for s in 0..10 {
        let orders = plan(&mut scaler, &running, &heavy, 10_000 + s * 1_000, Ok(()));
        for order in orders {
            assert!(order.count <= 6, "{order:?}");
            if !order.preemptible {
                assert!(
                    order.count + running[&order.dc].preemptible <= 6,
                    "{order:?}"
                );
            }
        }
    }
}

#[test]
fn the_first_holder_looks_before_it_orders() {
    let mut scaler = scale::Scaler::default();
    let idle = membership::Demand::default();
    let some = fleet([(1, 0), (0, 0), (0, 0)]);
    assert_eq!(plan(&mut scaler, &some, &idle, 10_000, Ok(())), []);
    let all = fleet([(3, 0), (3, 0), (3, 0)]);
    assert_eq!(plan(&mut scaler, &all, &idle, 12_000, Ok(())), []);
    let orders = plan(&mut scaler, &all, &idle, 13_000, Ok(()));
    assert!(!orders.is_empty());
}

#[test]
fn engines_that_show_up_late_are_provided_too() {
    let mut scaler = scale::Scaler::default();
    let idle = membership::Demand::default();
    plan(
        &mut scaler,
        &fleet([(1, 0), (1, 0), (0, 0)]),
        &idle,
        10_000,
        Ok(()),
    );
    let first = plan(
        &mut scaler,
        &fleet([(1, 0), (1, 0), (0, 0)]),
        &idle,
        12_600,
        Ok(()),
    );
    let later = plan(
        &mut scaler,
        &fleet([(3, 0), (3, 0), (3, 0)]),
        &idle,
        13_600,
        Ok(()),
    );
    let cheap = |orders: &[ports::Order]| -> u32 {
        orders
            .iter()
            .filter(|o| o.preemptible)
            .map(|o| o.count)
            .sum()
    };
    assert!(cheap(&later) > cheap(&first), "{first:?} {later:?}");
}
