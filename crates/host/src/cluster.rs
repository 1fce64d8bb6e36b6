//! Connections of this host to the other hosts, and the state that is exchanged over them:
//! heartbeats, configuration, load summaries, usage copies and blocked keys.

use std::collections;
use std::sync;
use std::time;

use base::{clock, name};
use peer::{link, message};
use policy::{dc_link, pool, request, scale, usage};
use ports::hosts;

use crate::{admission, blocked_keys, config_sync, context, load_summaries, stop};

/// Interval between heartbeats to the connected hosts.
const HEARTBEAT_INTERVAL: clock::Millis = clock::Millis(400);
/// Interval at which the list of hosts and upstreams is read from the platform.
const LIST_READ_INTERVAL: clock::Millis = clock::Millis(2_000);
/// Number of hosts per data centre that keep connections to other data centres.
const RELAYS_PER_DC: usize = 2;
/// Interval at which a host sends the load of the services that it dispatches.
const SUMMARY_INTERVAL: clock::Millis = clock::Millis(1_200);
/// Time after the loss of its connection at which a host that is still unreachable counts as lost:
/// its requests are then removed from the dispatchers.
const LOST_HOST_TIMEOUT: clock::Millis = clock::Millis(5_000);

/// Connections of this host and the state that the other hosts have sent.
pub struct Cluster {
    context: sync::Arc<context::Context>,
    config_sync: sync::Arc<config_sync::ConfigSync>,
    host_list: sync::Mutex<hosts::HostList>,
    host_source: Box<dyn hosts::HostSource>,
    links: sync::OnceLock<link::Links>,
    lost_hosts: sync::Mutex<collections::HashMap<name::Host, clock::Millis>>,
    load_summaries: load_summaries::LoadSummaries,
    draining: sync::Mutex<(Vec<name::Upstream>, clock::Millis)>,
    announced_records: sync::Mutex<usage::NumberSet>,
    link_budget: sync::Mutex<dc_link::LinkBudget>,
}

/// Recipients of a broadcast.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Scope {
    /// All connected hosts of this data centre.
    Dc,
    /// All connected hosts in any data centre.
    All,
}

impl Cluster {
    /// Creates the cluster state from the peers in the settings, without any connection.
    pub fn new(
        context: sync::Arc<context::Context>,
        config_sync: sync::Arc<config_sync::ConfigSync>,
        host_source: Box<dyn hosts::HostSource>,
    ) -> Self {
        let mut list = hosts::HostList::default();
        for p in &context.settings.peers {
            list.hosts.push(hosts::Host {
                name: p.name.clone(),
                dc: p.dc.clone(),
                address: p.address,
                state: hosts::State::Live,
            });
        }
        let (dc, region) = (context.settings.dc.clone(), context.settings.region.clone());
        let rate = context.settings.limits.link_rate / 1_000;
        let link_budget = dc_link::LinkBudget::new(rate, context.clock.now());
        Self {
            context,
            config_sync,
            host_list: sync::Mutex::new(list),
            host_source,
            links: sync::OnceLock::new(),
            lost_hosts: sync::Mutex::default(),
            load_summaries: load_summaries::LoadSummaries::new(dc, region),
            draining: sync::Mutex::default(),
            announced_records: sync::Mutex::default(),
            link_budget: sync::Mutex::new(link_budget),
        }
    }

    /// Binds the peer address and starts to connect to the other hosts.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer address can't be bound.
    pub fn connect(self: &sync::Arc<Self>) -> std::io::Result<()> {
        let settings = &self.context.settings;
        let identity = link::Identity {
            host: settings.host.clone(),
            dc: settings.dc.clone(),
            secret: settings.secret.clone(),
        };
        let weak = sync::Arc::downgrade(self);
        let handler: sync::Weak<dyn link::MessageHandler> = weak.clone();
        let outbox: sync::Weak<dyn admission::Outbox> = weak.clone();
        let class_lookup: sync::Weak<dyn admission::ClassLookup> = weak.clone();
        self.config_sync.set_listener(weak.clone());
        let links = link::Links::start(identity, settings.peer_listen, handler)?;
        let _ = self.links.set(links);
        self.context.admission.connect(outbox, class_lookup, weak);
        self.update_connections();
        Ok(())
    }

    fn host_list(&self) -> sync::MutexGuard<'_, hosts::HostList> {
        self.host_list
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Sends heartbeats and summaries, and keeps connections and dispatchers up to date, until
    /// stopped.
    pub fn run(&self, stop: &stop::StopFlag) {
        let mut list_read_at = clock::Millis::ZERO;
        let mut summary_sent_at = clock::Millis::ZERO;
        while !stop.wait(HEARTBEAT_INTERVAL.duration()) {
            let now = self.context.clock.now();
            if now.since(list_read_at) >= LIST_READ_INTERVAL || list_read_at == clock::Millis::ZERO
            {
                list_read_at = now;
                self.read_host_list();
            }
            self.update_connections();
            self.configure_dispatchers();
            self.send_heartbeat();
            self.send_blocked_keys();
            self.context.admission.send_digests();
            if now.since(summary_sent_at) >= SUMMARY_INTERVAL {
                summary_sent_at = now;
                self.send_summary(now);
            }
            self.remove_lost_hosts(now);
            self.context
                .metrics
                .set_peer_traffic(self.transferred_bytes());
        }
    }

    /// Runs the time-outs of the local dispatchers until stopped.
    pub fn run_dispatch_timer(&self, stop: &stop::StopFlag) {
        const TICK_INTERVAL: time::Duration = time::Duration::from_millis(10);
        while !stop.wait(TICK_INTERVAL) {
            self.context.admission.tick();
        }
    }

    fn transferred_bytes(&self) -> (u64, u64) {
        self.links
            .get()
            .map_or((0, 0), link::Links::transferred_bytes)
    }

    fn read_host_list(&self) {
        let Ok(list) = self.host_source.read() else {
            return;
        };
        if list.hosts.is_empty() {
            // The platform may list only upstreams; the hosts then come from the settings.
            self.host_list().upstreams = list.upstreams;
            return;
        }
        let listed: Vec<_> = list.hosts.iter().map(|h| h.name.clone()).collect();
        *self.host_list() = list;
        let now = self.context.clock.now();
        for host in self.context.directory.remove_unlisted(&listed, now) {
            tracing::info!(event = "host_unlisted", host = %host);
            if let Some(links) = self.links.get() {
                links.remove(&host);
            }
        }
    }

    /// Sets the hosts to connect to: all hosts of this data centre, and the relays of other data
    /// centres if this host is a relay. Of two hosts, the one whose name sorts first connects.
    fn update_connections(&self) {
        let Some(links) = self.links.get() else {
            return;
        };
        let own_name = &self.context.settings.host;
        let dc = &self.context.settings.dc;
        let list = self.host_list().clone();
        let connected: collections::HashSet<name::Host> = links
            .connected()
            .into_iter()
            .map(|(host, _)| host)
            .collect();
        let mut other_dcs: collections::BTreeMap<&name::Dc, Vec<&hosts::Host>> =
            collections::BTreeMap::new();
        for host in &list.hosts {
            self.context.directory.record_dc(&host.name, &host.dc);
            if &host.dc != dc {
                other_dcs.entry(&host.dc).or_default().push(host);
            } else if own_name < &host.name {
                links.keep_connected(&host.name, &host.dc, host.address);
            }
        }
        if !self.is_relay() {
            return;
        }
        for hosts in other_dcs.values_mut() {
            hosts.sort_by(|a, b| a.name.cmp(&b.name));
            let mut connected_relays = 0;
            for host in hosts.iter().take(RELAYS_PER_DC * 2) {
                if own_name < &host.name {
                    links.keep_connected(&host.name, &host.dc, host.address);
                }
                connected_relays += usize::from(connected.contains(&host.name));
                if connected_relays == RELAYS_PER_DC {
                    break;
                }
            }
        }
    }

    /// Whether this host is a relay: one that watches the store and connects to other data centres.
    pub fn is_relay(&self) -> bool {
        let (index, _) = self.context.directory.rank(self.context.clock.now());
        (index as usize) < RELAYS_PER_DC
    }

    fn broadcast(&self, scope: Scope, message: &message::Message) {
        let Some(links) = self.links.get() else {
            return;
        };
        for (host, dc) in links.connected() {
            if scope == Scope::All || dc == self.context.settings.dc {
                links.send(&host, message.clone());
            }
        }
    }

    fn heartbeat(&self) -> message::Message {
        // A host that is still reading the configuration has only a part of it.
        let ready = self.context.is_ready();
        let revision = if ready {
            self.context.view().revision
        } else {
            0
        };
        let draining = !self.context.phase.is_serving();
        message::Message::Heartbeat(message::Heartbeat { revision, draining })
    }

    /// Sends the configuration revision and the draining state of this host to all connected hosts.
    pub fn send_heartbeat(&self) {
        self.broadcast(Scope::All, &self.heartbeat());
    }

    /// Sends the digests of the blocked keys to all connected hosts.
    fn send_blocked_keys(&self) {
        let blocked = self.context.blocked_keys.list();
        if !blocked.is_empty() {
            self.broadcast(Scope::All, &message::Message::BlockedKeys(blocked));
        }
    }

    /// Configures the local dispatcher of every service with the upstreams of this data centre that
    /// accept new requests.
    pub fn configure_dispatchers(&self) {
        let dc = &self.context.settings.dc;
        let now = self.context.clock.now();
        let list = self.host_list().clone();
        let services: Vec<_> = self.context.view().services().cloned().collect();
        for service in services {
            let mut upstreams = Vec::new();
            for u in &service.upstreams {
                if &u.dc != dc || !accepts_requests(&list, u) || self.is_draining(&u.name, now) {
                    continue;
                }
                upstreams.push(pool::UpstreamConfig {
                    name: u.name.clone(),
                    slots: u.slots,
                    price: u.price,
                    preemptible: u.preemptible,
                });
            }
            self.context.admission.configure(&service.name, &upstreams);
        }
    }

    /// Sends the load of the services that this host dispatches to the hosts of this data centre
    /// and to the connected relays of others.
    fn send_summary(&self, now: clock::Millis) {
        let Some(links) = self.links.get() else {
            return;
        };
        let summary = message::LoadSummary {
            dc: self.context.settings.dc.clone(),
            region: self.context.settings.region.clone(),
            host: self.context.settings.host.clone(),
            address: links.address(),
            services: self.context.admission.loads(),
        };
        if summary.services.is_empty() {
            return;
        }
        self.broadcast(Scope::All, &message::Message::LoadSummary(summary.clone()));
        self.load_summaries.insert(summary, now);
    }

    /// Demand for slots of a service in this data centre, from the latest load summaries.
    pub fn demand(&self, service: &name::Service) -> scale::Demand {
        self.load_summaries
            .demand(service, self.context.clock.now())
    }

    /// Announces to all hosts of this data centre the upstreams that must not get new requests. The
    /// list replaces the previous one.
    pub fn drain_upstreams(&self, upstreams: Vec<name::Upstream>) {
        self.broadcast(
            Scope::Dc,
            &message::Message::DrainUpstreams(upstreams.clone()),
        );
        self.set_draining(upstreams);
    }

    fn draining(&self) -> sync::MutexGuard<'_, (Vec<name::Upstream>, clock::Millis)> {
        self.draining
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    fn set_draining(&self, upstreams: Vec<name::Upstream>) {
        *self.draining() = (upstreams, self.context.clock.now());
    }

    fn is_draining(&self, upstream: &name::Upstream, now: clock::Millis) -> bool {
        let draining = self.draining();
        now.since(draining.1) < load_summaries::SUMMARY_TTL && draining.0.contains(upstream)
    }

    fn remove_lost_hosts(&self, now: clock::Millis) {
        let mut expired = Vec::new();
        let mut lost_hosts = self
            .lost_hosts
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        lost_hosts.retain(|host, since| {
            let is_expired = now.since(*since) >= LOST_HOST_TIMEOUT;
            if is_expired {
                expired.push(host.clone());
            }
            !is_expired
        });
        drop(lost_hosts);
        for host in expired {
            if !self.context.directory.is_reachable(&host, now) {
                tracing::info!(event = "host_gone", host = %host);
                self.context.admission.remove_host(&host);
            }
        }
    }

    /// Upstreams that the platform lists as running or about to stop.
    pub fn upstream_list(&self) -> Vec<hosts::Upstream> {
        self.host_list().upstreams.clone()
    }

    /// Sends all peers the numbers of the usage records of this host that are in the store, if they
    /// have changed, so that the peers drop their copies.
    pub fn broadcast_written(&self) {
        let records = self.context.ledger.written_records();
        let mut announced = self
            .announced_records
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        if *announced == records {
            return;
        }
        announced.clone_from(&records);
        drop(announced);
        self.broadcast(
            Scope::All,
            &message::Message::UsageStored(self.context.incarnation, records),
        );
    }

    /// Stores a load summary. A summary that its own host in another data centre sent to this relay
    /// is forwarded to the hosts of this data centre.
    fn handle_summary(&self, host: &name::Host, summary: message::LoadSummary) {
        let is_remote = summary.dc != self.context.settings.dc;
        if is_remote && &summary.host == host {
            self.broadcast(Scope::Dc, &message::Message::LoadSummary(summary.clone()));
        }
        self.load_summaries
            .insert(summary, self.context.clock.now());
    }

    fn handle_heartbeat(&self, host: &name::Host, heartbeat: &message::Heartbeat) {
        let now = self.context.clock.now();
        self.context
            .directory
            .record_heartbeat(host, heartbeat.revision, heartbeat.draining, now);
        self.context.record_contact();
        let own_revision = self.context.view().revision;
        if own_revision > 0 && own_revision >= heartbeat.revision {
            self.context.set_ready();
        }
        if heartbeat.revision > own_revision {
            admission::Outbox::send(self, host, message::Message::FetchConfig(own_revision + 1));
        }
    }
}

impl config_sync::ChangeListener for Cluster {
    fn config_changed(&self) {
        self.configure_dispatchers();
        self.send_heartbeat();
    }
}

/// Whether an upstream accepts new requests: it does if the platform lists it as running, or if it
/// is not listed and always runs (is not managed).
fn accepts_requests(list: &hosts::HostList, u: &config::document::Upstream) -> bool {
    match list.upstreams.iter().find(|l| l.name == u.name) {
        Some(l) => l.state == hosts::State::Live,
        None => !u.managed,
    }
}

impl admission::Outbox for Cluster {
    fn send(&self, host: &name::Host, message: message::Message) -> bool {
        self.links
            .get()
            .is_some_and(|links| links.send(host, message))
    }
}

impl admission::ClassLookup for Cluster {
    fn class_settings(
        &self,
        class: &name::Class,
        team: &name::Team,
    ) -> Option<(request::ClassSettings, u32)> {
        let view = self.context.view();
        let class = view.class(class.as_str())?;
        let weight = view.team(team.as_str()).map_or(1, |t| t.weight);
        let settings = request::ClassSettings {
            name: class.name.clone(),
            tier: class.tier,
            ttft_target: class.ttft_target,
            max_wait: class.max_wait,
            min_share: class.min_share,
            evictable: class.evictable,
        };
        Some((settings, weight))
    }
}

impl admission::SpillTargets for Cluster {
    fn find(
        &self,
        service: &name::Service,
        wait: clock::Millis,
        slack: clock::Millis,
        bytes: u64,
    ) -> Option<name::Host> {
        let links = self.links.get()?;
        let now = self.context.clock.now();
        let mut best: Option<(bool, u32, name::Host)> = None;
        for mut candidate in self.load_summaries.remote_dispatchers(service) {
            let sent = self.context.admission.spilled_since(
                &candidate.host,
                service,
                candidate.received_at,
            );
            candidate.state.free_slots = candidate.state.free_slots.saturating_sub(sent);
            if !candidate.state.is_better(wait, slack, now) {
                continue;
            }
            links.keep_connected(&candidate.host, &candidate.dc, candidate.address);
            self.context
                .directory
                .record_dc(&candidate.host, &candidate.dc);
            let score = (
                !candidate.state.metered,
                candidate.state.free_slots - candidate.state.waiting,
                candidate.host,
            );
            if best.as_ref().is_none_or(|b| score > *b) {
                best = Some(score);
            }
        }
        let (is_free, _, host) = best?;
        let mut budget = self
            .link_budget
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        let granted = is_free || budget.try_spend(bytes, now);
        granted.then_some(host)
    }
}

impl link::MessageHandler for Cluster {
    fn message(&self, host: &name::Host, message: message::Message) {
        match message {
            message::Message::Heartbeat(heartbeat) => self.handle_heartbeat(host, &heartbeat),
            message::Message::FetchConfig(from) => {
                for update in self.config_sync.updates_since(&self.context, from) {
                    admission::Outbox::send(self, host, update);
                }
            }
            message::Message::ConfigEntries(entries) => {
                for entry in entries {
                    self.config_sync.advance(&self.context, entry);
                }
            }
            message::Message::ConfigSegment(segment) => {
                self.config_sync.receive_segment(&self.context, segment)
            }
            message::Message::UsageCopy(incarnation, record) => {
                let number = record.number;
                let incarnation_id = usage::Incarnation::new(host, incarnation);
                self.context.ledger.store_copy(host, incarnation_id, record);
                admission::Outbox::send(self, host, message::Message::UsageCopied(number));
            }
            message::Message::UsageCopied(number) => self.context.ledger.acknowledge_copy(number),
            message::Message::UsageStored(incarnation, records) => {
                let incarnation_id = usage::Incarnation::new(host, incarnation);
                self.context.ledger.drop_copies(&incarnation_id, &records);
            }
            message::Message::LoadSummary(summary) => self.handle_summary(host, summary),
            message::Message::BlockedKeys(digests) => {
                for digest in &digests {
                    blocked_keys::block(&self.context, digest);
                }
            }
            message::Message::DrainUpstreams(upstreams) => self.set_draining(upstreams),
            other => self.context.admission.handle_message(host, other),
        }
    }

    fn opened(&self, host: &name::Host) {
        let connected = self
            .links
            .get()
            .map(link::Links::connected)
            .unwrap_or_default();
        if let Some((_, dc)) = connected.iter().find(|(name, _)| name == host) {
            self.context.directory.record_dc(host, dc);
        }
        admission::Outbox::send(self, host, self.heartbeat());
    }

    fn closed(&self, host: &name::Host) {
        let now = self.context.clock.now();
        self.context.directory.record_disconnect(host);
        self.context.ledger.record_disconnect(host, now);
        let mut lost_hosts = self
            .lost_hosts
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        lost_hosts.insert(host.clone(), now);
    }
}
