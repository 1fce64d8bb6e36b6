//! Tests of the orders that the scaler plans.

use std::collections;

use base::{clock, name};
use router::{membership, model, order_scope, ports, scale};

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

type ReadyEngines = collections::BTreeMap<name::Dc, scale::UpstreamCount>;

fn ready_engines(counts: [(u32, u32); 3]) -> ReadyEngines {
    let dcs = ["a", "b", "c"].map(name::Dc::from);
    let ready = counts.map(|(on_demand, preemptible)| scale::UpstreamCount {
        on_demand,
        preemptible,
    });
    dcs.into_iter().zip(ready).collect()
}

/// Plans all orders at `now`. Orders for preemptible engines get `preemptible_result`; other orders
/// succeed.
fn plan(
    scaler: &mut scale::Scaler,
    ready: &ReadyEngines,
    demand: &membership::Demand,
    now: u64,
    preemptible_result: Result<(), ports::OrderError>,
) -> Vec<ports::Order> {
    plan_with(scaler, &scaling(), ready, demand, now, preemptible_result)
}

/// Like `plan`, with these limits and prices.
fn plan_with(
    scaler: &mut scale::Scaler,
    scaling: &model::Scaling,
    ready: &ReadyEngines,
    demand: &membership::Demand,
    now: u64,
    preemptible_result: Result<(), ports::OrderError>,
) -> Vec<ports::Order> {
    let now = clock::Millis(now);
    let service = name::Service::from(SERVICE);
    let Some(target) = scaler.target_engines(ready, demand, now) else {
        return Vec::new();
    };
    let mut orders = scaler.plan_preemptible(&service, scaling, target, now);
    for order in &orders {
        scaler.record_result(order, ready[&order.dc], preemptible_result, now);
    }
    let on_demand = scaler.plan_on_demand(&service, scaling, ready, demand, target, now);
    for order in &on_demand {
        scaler.record_result(order, ready[&order.dc], Ok(()), now);
    }
    orders.extend(on_demand);
    orders
}

fn count_on_demand(orders: &[ports::Order]) -> u32 {
    orders
        .iter()
        .filter(|o| !o.preemptible)
        .map(|o| o.count)
        .sum()
}

#[test]
fn on_demand_engines_stay_until_preemptible_ones_are_ready() {
    let mut scaler = scale::Scaler::with_provisioned(9.0);
    let mut demand = membership::Demand::default();
    (demand.prompt_tokens, demand.in_flight) = (5e4, 10.0);
    let before = ready_engines([(3, 0), (3, 0), (3, 0)]);
    let mut ordered = 0;
    for s in 0..4 {
        let orders = plan(&mut scaler, &before, &demand, 10_000 + s * 1_000, Ok(()));
        ordered += orders
            .iter()
            .filter(|o| o.preemptible)
            .map(|o| o.count)
            .sum::<u32>();
        let kept = orders.iter().filter(|o| !o.preemptible);
        assert!(kept.map(|o| o.count).all(|n| n >= 3), "{orders:?}");
    }
    assert!(ordered >= 9, "{ordered} ordered");
    let ready = ready_engines([(3, 5), (3, 4), (3, 5)]);
    let later: Vec<_> = (0..4)
        .flat_map(|s| plan(&mut scaler, &ready, &demand, 20_000 + s * 1_000, Ok(())))
        .collect();
    assert_eq!(
        count_on_demand(&later),
        1,
        "one on-demand engine stays: {later:?}"
    );
}

#[test]
fn on_demand_engines_replace_unavailable_preemptible_ones() {
    let mut scaler = scale::Scaler::with_provisioned(9.0);
    let idle = membership::Demand::default();
    let all = ready_engines([(0, 5), (1, 4), (0, 5)]);
    plan(&mut scaler, &all, &idle, 10_000, Ok(()));
    // Two data centres are reclaimed, and no preemptible engines are available anywhere.
    let left = ready_engines([(0, 0), (1, 4), (0, 0)]);
    let none = Err(ports::OrderError::NoneLeft);
    let now = plan(&mut scaler, &left, &idle, 17_000, none);
    assert!(count_on_demand(&now) >= 5, "{now:?}");
    // Further refused orders must not stop the on-demand engines that are starting.
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
fn engines_reclaimed_soon_after_their_order_are_replaced() {
    let mut scaler = scale::Scaler::with_provisioned(9.0);
    let idle = membership::Demand::default();
    plan(
        &mut scaler,
        &ready_engines([(0, 5), (1, 4), (0, 5)]),
        &idle,
        10_000,
        Ok(()),
    );
    let left = ready_engines([(0, 0), (1, 0), (0, 0)]);
    let now = plan(
        &mut scaler,
        &left,
        &idle,
        11_000,
        Err(ports::OrderError::NoneLeft),
    );
    assert!(count_on_demand(&now) >= 9, "{now:?}");
}

#[test]
fn the_maximum_holds_for_both_kinds_together() {
    let mut scaler = scale::Scaler::with_provisioned(9.0);
    let mut heavy = membership::Demand::default();
    (heavy.prompt_tokens, heavy.in_flight) = (9e6, 900.0);
    let ready = ready_engines([(0, 6), (1, 5), (0, 6)]);
    for s in 0..10 {
        let orders = plan(&mut scaler, &ready, &heavy, 10_000 + s * 1_000, Ok(()));
        for order in orders {
            assert!(order.count <= 6, "{order:?}");
            if !order.preemptible {
                assert!(order.count + ready[&order.dc].preemptible <= 6, "{order:?}");
            }
        }
    }
}

#[test]
fn the_first_leader_observes_before_it_orders() {
    let mut scaler = scale::Scaler::default();
    let idle = membership::Demand::default();
    let some = ready_engines([(1, 0), (0, 0), (0, 0)]);
    assert_eq!(plan(&mut scaler, &some, &idle, 10_000, Ok(())), []);
    let all = ready_engines([(3, 0), (3, 0), (3, 0)]);
    assert_eq!(plan(&mut scaler, &all, &idle, 12_000, Ok(())), []);
    let orders = plan(&mut scaler, &all, &idle, 13_000, Ok(()));
    assert!(!orders.is_empty());
}

#[test]
fn engines_that_start_late_count_as_provisioned() {
    let mut scaler = scale::Scaler::default();
    let idle = membership::Demand::default();
    plan(
        &mut scaler,
        &ready_engines([(1, 0), (1, 0), (0, 0)]),
        &idle,
        10_000,
        Ok(()),
    );
    let first = plan(
        &mut scaler,
        &ready_engines([(1, 0), (1, 0), (0, 0)]),
        &idle,
        12_600,
        Ok(()),
    );
    let later = plan(
        &mut scaler,
        &ready_engines([(3, 0), (3, 0), (3, 0)]),
        &idle,
        13_600,
        Ok(()),
    );
    let count_preemptible = |orders: &[ports::Order]| -> u32 {
        orders
            .iter()
            .filter(|o| o.preemptible)
            .map(|o| o.count)
            .sum()
    };
    assert!(
        count_preemptible(&later) > count_preemptible(&first),
        "{first:?} {later:?}"
    );
}

/// Guards against orders in a data centre that is being drained, against a plan that counts its
/// engines, and against one that reduces the others before its engines are warm again.
#[test]
fn other_data_centres_make_up_for_a_drained_one() {
    let mut scaler = scale::Scaler::with_provisioned(9.0);
    let mut scope = order_scope::OrderScope::default();
    let idle = membership::Demand::default();
    let all = ready_engines([(0, 5), (1, 4), (0, 5)]);
    let mut plan_at = |ready: &ReadyEngines, drained: &[&str], now: u64| {
        let drained = drained.iter().map(|dc| (*dc).into()).collect();
        scope.update(&drained, clock::Millis(now));
        let ready = scope.limit(ready);
        let scaling = scope.limit_scaling(&scaling());
        plan_with(&mut scaler, &scaling, &ready, &idle, now, Ok(()))
    };
    // Engines ordered by data centre and kind: an order stays in force until the next one.
    let mut ordered = collections::BTreeMap::new();
    let mut per_dc = |orders: &[ports::Order]| -> [u32; 3] {
        for order in orders {
            ordered.insert((order.dc.to_string(), order.preemptible), order.count);
        }
        ["a", "b", "c"].map(|dc| {
            let kinds = [true, false].map(|kind| ordered.get(&(dc.to_owned(), kind)));
            kinds.into_iter().flatten().sum()
        })
    };
    assert_eq!(per_dc(&plan_at(&all, &[], 10_000)), [5, 5, 5]);
    let drained = plan_at(&all, &["b"], 11_000);
    assert!(drained.iter().all(|o| o.dc.as_str() != "b"), "{drained:?}");
    assert_eq!(per_dc(&drained), [6, 5, 6], "both at their maximum");
    for now in [12_000, 15_900] {
        assert_eq!(plan_at(&all, &[], now), [], "at {now}");
    }
    assert_eq!(per_dc(&plan_at(&all, &[], 16_000)), [5, 5, 5]);
    assert_eq!(plan_at(&all, &["a", "b", "c"], 17_000), []);
}
