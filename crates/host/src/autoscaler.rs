//! Orders the upstreams of this data centre, while this host holds the data centre's lease.
//!
//! An upstream to be stopped first gets no new work; the order goes out once it reports no work.

use std::collections;
use std::sync;
use std::time;

use base::{clock, name};
use config::document;
use policy::scale;
use ports::{hosts, orders};

use crate::{cluster, context, leader, stop};

/// Hosts of a data centre that stand by for its lease, the holder included.
const CANDIDATES: u32 = 3;
/// How often the lease is looked at.
const STEP: time::Duration = time::Duration::from_millis(200);
/// How often the demand is sampled and orders are made.
const PLAN: clock::Millis = clock::Millis(1_000);
/// No upstream is stopped sooner after its retirement was told: the news must reach all dispatchers.
const TOLD: clock::Millis = clock::Millis(3_000);
/// A retired upstream that reports no load is stopped after this at the latest.
const MAX_RETIRED: clock::Millis = clock::Millis(120_000);
/// Time for a load report.
const REPORT: clock::Millis = clock::Millis(1_000);

/// The key of a data centre's lease.
pub fn lease_key(dc: &name::Dc) -> String {
    format!("lease/orders/{dc}")
}

#[derive(Default)]
struct Plan {
    scalers: collections::HashMap<name::Service, scale::Scaler>,
    retired: collections::HashMap<name::Upstream, clock::Millis>,
}

/// Orders upstreams until stopped.
pub fn run(
    context: &context::Context,
    cluster: &cluster::Cluster,
    orders: &dyn orders::OrderSender,
    stop: &stop::StopFlag,
) {
    let settings = &context.settings;
    let mut leader = leader::Leader::new(
        lease_key(&settings.dc),
        context.store.clone(),
        context.clock.clone(),
        &settings.host,
        context.incarnation,
        settings.durations.lease_ttl,
    );
    let mut plan = Plan::default();
    let mut planned = clock::Millis::ZERO;
    let agent = ports::http::agent(REPORT);
    while !stop.wait(STEP) {
        let (index, _) = context.directory.rank(context.clock.now());
        if index >= CANDIDATES && !leader.is_holding() {
            continue;
        }
        let Some(term) = leader.step() else {
            plan = Plan::default();
            continue;
        };
        let now = context.clock.now();
        if now.since(planned) < PLAN {
            continue;
        }
        planned = now;
        plan.step(context, cluster, orders, term, &agent);
    }
    leader.release();
}

impl Plan {
    fn step(
        &mut self,
        context: &context::Context,
        cluster: &cluster::Cluster,
        orders: &dyn orders::OrderSender,
        term: orders::Term,
        agent: &ureq::Agent,
    ) {
        let now = context.clock.now();
        let dc = &context.settings.dc;
        let listed = cluster.upstream_list();
        let services: Vec<_> = context.view().services().cloned().collect();
        for service in services {
            let sites = sites(&service, dc, &listed);
            if !sites.iter().any(|s| s.managed) {
                continue;
            }
            let demand = cluster.demand(&service.name);
            let scaler = self.scalers.entry(service.name.clone()).or_default();
            scaler.sample(demand);
            for order in scaler.orders(&sites, now) {
                match order {
                    scale::Order::Start(upstream) => {
                        self.retired.remove(&upstream);
                        self.send(context, orders, term, &upstream, orders::Action::Start);
                    }
                    scale::Order::Stop(upstream) => {
                        self.retired.entry(upstream).or_insert(now);
                    }
                }
            }
        }
        cluster.retire(self.retired.keys().cloned().collect());
        self.stop_idle(context, orders, term, agent);
    }

    /// Sends the stop orders of retired upstreams that have no work left.
    fn stop_idle(
        &mut self,
        context: &context::Context,
        orders: &dyn orders::OrderSender,
        term: orders::Term,
        agent: &ureq::Agent,
    ) {
        let now = context.clock.now();
        let retired: Vec<_> = self
            .retired
            .iter()
            .map(|(u, at)| (u.clone(), *at))
            .collect();
        for (upstream, at) in retired {
            if now.since(at) < TOLD {
                continue;
            }
            let Some(address) = address(context, &upstream) else {
                self.retired.remove(&upstream);
                continue;
            };
            let idle = is_idle(agent, address);
            if !idle && now.since(at) < MAX_RETIRED {
                continue;
            }
            if self.send(context, orders, term, &upstream, orders::Action::Stop) {
                self.retired.remove(&upstream);
            }
        }
    }

    fn send(
        &self,
        context: &context::Context,
        orders: &dyn orders::OrderSender,
        term: orders::Term,
        upstream: &name::Upstream,
        action: orders::Action,
    ) -> bool {
        let order = orders::Order {
            dc: context.settings.dc.clone(),
            upstream: upstream.clone(),
            action,
            fence: term.epoch,
            holder: context.settings.host.as_str().to_owned(),
        };
        let sent = orders.send(&order, term);
        tracing::info!(event = "ordered", upstream = %upstream, action = ?action, fence = term.epoch, result = ?sent);
        sent.is_ok()
    }
}

fn address(context: &context::Context, upstream: &name::Upstream) -> Option<std::net::SocketAddr> {
    let view = context.view();
    let mut all = view.services().flat_map(|s| s.upstreams.iter());
    all.find(|u| &u.name == upstream).map(|u| u.address)
}

/// Whether an upstream itself reports that it runs nothing.
fn is_idle(agent: &ureq::Agent, address: std::net::SocketAddr) -> bool {
    #[derive(serde::Deserialize)]
    struct Load {
        running: u32,
        waiting: u32,
    }
    let Ok(mut answer) = agent.get(format!("http://{address}/load")).call() else {
        return false;
    };
    let Ok(bytes) = answer.body_mut().read_to_vec() else {
        return false;
    };
    let load = serde_json::from_slice::<Load>(&bytes);
    load.is_ok_and(|l| l.running == 0 && l.waiting == 0)
}

fn sites(
    service: &sync::Arc<document::Service>,
    dc: &name::Dc,
    listed: &[hosts::Upstream],
) -> Vec<scale::UpstreamState> {
    let mut out = Vec::new();
    for u in &service.upstreams {
        if &u.dc != dc {
            continue;
        }
        let listed = listed.iter().find(|l| l.name == u.name);
        let running = match listed {
            Some(l) => l.state == hosts::State::Live,
            None => !u.managed,
        };
        out.push(scale::UpstreamState {
            name: u.name.clone(),
            slots: u.slots,
            price: u.price,
            preemptible: u.preemptible,
            managed: u.managed,
            running,
        });
    }
    out
}
