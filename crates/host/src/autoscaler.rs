//! Starts and stops the managed upstreams of this data centre by demand, while this host holds the
//! lease of the data centre.
//!
//! An upstream that is to be stopped is drained first: it gets no new requests, and the stop order
//! is sent once the upstream reports that it runs none.

use std::collections;
use std::sync;
use std::time;

use base::{clock, name};
use config::document;
use policy::scale;
use ports::{hosts, orders};

use crate::{cluster, context, leader, stop};

/// Number of hosts per data centre that try to acquire its lease, the holder included.
const CANDIDATES_PER_DC: u32 = 3;
/// Interval at which the lease is checked.
const LEASE_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(200);
/// Interval at which the demand is sampled and orders are sent.
const SCALING_INTERVAL: clock::Millis = clock::Millis(1_000);
/// Least time between the announcement that an upstream is draining and its stop order: all
/// dispatchers must have received the announcement.
const DRAIN_NOTICE_DELAY: clock::Millis = clock::Millis(3_000);
/// Age at which a draining upstream is stopped even if it reports no load or running requests.
const MAX_DRAIN_AGE: clock::Millis = clock::Millis(120_000);
/// Time limit of a request for the load of an upstream.
const LOAD_REPORT_TIMEOUT: clock::Millis = clock::Millis(1_000);

/// Store key of the lease for the orders of a data centre.
pub fn lease_key(dc: &name::Dc) -> String {
    format!("lease/orders/{dc}")
}

#[derive(Default)]
struct Autoscaler {
    scalers: collections::HashMap<name::Service, scale::Scaler>,
    /// Upstreams that are to be stopped, with the time at which draining began.
    draining: collections::HashMap<name::Upstream, clock::Millis>,
}

/// Scales the managed upstreams of this data centre until stopped, while this host holds the lease.
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
    let mut autoscaler = Autoscaler::default();
    let mut scaled_at = clock::Millis::ZERO;
    let client = ports::http::agent(LOAD_REPORT_TIMEOUT);
    while !stop.wait(LEASE_CHECK_INTERVAL) {
        let (index, _) = context.directory.rank(context.clock.now());
        if index >= CANDIDATES_PER_DC && !leader.is_holding() {
            continue;
        }
        let Some(term) = leader.step() else {
            autoscaler = Autoscaler::default();
            continue;
        };
        let now = context.clock.now();
        if now.since(scaled_at) < SCALING_INTERVAL {
            continue;
        }
        scaled_at = now;
        autoscaler.step(context, cluster, orders, term, &client);
    }
    leader.release();
}

impl Autoscaler {
    fn step(
        &mut self,
        context: &context::Context,
        cluster: &cluster::Cluster,
        orders: &dyn orders::OrderSender,
        term: orders::Term,
        client: &ureq::Agent,
    ) {
        let now = context.clock.now();
        let dc = &context.settings.dc;
        let platform_list = cluster.upstream_list();
        let services: Vec<_> = context.view().services().cloned().collect();
        for service in services {
            let upstreams = upstream_states(&service, dc, &platform_list);
            if !upstreams.iter().any(|u| u.managed) {
                continue;
            }
            let demand = cluster.demand(&service.name);
            let scaler = self.scalers.entry(service.name.clone()).or_default();
            scaler.sample(demand);
            for order in scaler.orders(&upstreams, now) {
                match order {
                    scale::Order::Start(upstream) => {
                        self.draining.remove(&upstream);
                        self.send_order(context, orders, term, &upstream, orders::Action::Start);
                    }
                    scale::Order::Stop(upstream) => {
                        self.draining.entry(upstream).or_insert(now);
                    }
                }
            }
        }
        cluster.drain_upstreams(self.draining.keys().cloned().collect());
        self.stop_idle(context, orders, term, client);
    }

    /// Sends stop orders for the draining upstreams that run no requests or have reached
    /// `MAX_DRAIN_AGE`.
    fn stop_idle(
        &mut self,
        context: &context::Context,
        orders: &dyn orders::OrderSender,
        term: orders::Term,
        client: &ureq::Agent,
    ) {
        let now = context.clock.now();
        let draining: Vec<_> = self
            .draining
            .iter()
            .map(|(u, since)| (u.clone(), *since))
            .collect();
        for (upstream, since) in draining {
            if now.since(since) < DRAIN_NOTICE_DELAY {
                continue;
            }
            let Some(address) = upstream_address(context, &upstream) else {
                self.draining.remove(&upstream);
                continue;
            };
            let idle = is_idle(client, address);
            if !idle && now.since(since) < MAX_DRAIN_AGE {
                continue;
            }
            if self.send_order(context, orders, term, &upstream, orders::Action::Stop) {
                self.draining.remove(&upstream);
            }
        }
    }

    fn send_order(
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

fn upstream_address(
    context: &context::Context,
    upstream: &name::Upstream,
) -> Option<std::net::SocketAddr> {
    let view = context.view();
    let mut all = view.services().flat_map(|s| s.upstreams.iter());
    all.find(|u| &u.name == upstream).map(|u| u.address)
}

/// Whether an upstream reports that it has no running or waiting requests.
fn is_idle(client: &ureq::Agent, address: std::net::SocketAddr) -> bool {
    #[derive(serde::Deserialize)]
    struct Load {
        running: u32,
        waiting: u32,
    }
    let Ok(mut response) = client.get(format!("http://{address}/load")).call() else {
        return false;
    };
    let Ok(bytes) = response.body_mut().read_to_vec() else {
        return false;
    };
    let load = serde_json::from_slice::<Load>(&bytes);
    load.is_ok_and(|l| l.running == 0 && l.waiting == 0)
}

fn upstream_states(
    service: &sync::Arc<document::Service>,
    dc: &name::Dc,
    platform_list: &[hosts::Upstream],
) -> Vec<scale::UpstreamState> {
    let mut out = Vec::new();
    for u in &service.upstreams {
        if &u.dc != dc {
            continue;
        }
        let listed = platform_list.iter().find(|l| l.name == u.name);
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
