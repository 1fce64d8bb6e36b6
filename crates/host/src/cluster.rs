//! This host among the others: who is connected, what they tell, what they are told.

use std::collections;
use std::sync;
use std::time;

use base::{clock, name};
use peer::{link, message};
use policy::{pool, request, scale, spill, usage};
use ports::hosts;

use crate::{admission, blocked_keys, config_sync, context, load_summaries, stop};

/// How often heartbeats go out.
const BEAT: clock::Millis = clock::Millis(400);
/// How often the platform's list is read.
const LIST: clock::Millis = clock::Millis(2_000);
/// Hosts of each data centre that keep connections to other data centres.
const RELAYS: usize = 2;
/// How often a host tells what it dispatches.
const SUMMARY: clock::Millis = clock::Millis(1_200);
/// A host silent for this long is gone: its requests leave the dispatchers.
const GONE: clock::Millis = clock::Millis(5_000);

/// This host's connections and what is learnt through them.
pub struct Cluster {
    context: sync::Arc<context::Context>,
    config_sync: sync::Arc<config_sync::ConfigSync>,
    list: sync::Mutex<hosts::HostList>,
    platform: Box<dyn hosts::HostSource>,
    links: sync::OnceLock<link::Links>,
    gone: sync::Mutex<collections::HashMap<name::Host, clock::Millis>>,
    load_summaries: load_summaries::LoadSummaries,
    retired: sync::Mutex<(Vec<name::Upstream>, clock::Millis)>,
    told: sync::Mutex<usage::NumberSet>,
    link: sync::Mutex<spill::LinkBudget>,
}

/// Who a message is for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Scope {
    /// The connected hosts of this data centre.
    Dc,
    /// All connected hosts.
    All,
}

impl Cluster {
    /// A node that is not connected yet.
    pub fn new(
        context: sync::Arc<context::Context>,
        config_sync: sync::Arc<config_sync::ConfigSync>,
        platform: Box<dyn hosts::HostSource>,
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
        let link = spill::LinkBudget::new(rate, context.clock.now());
        Self {
            context,
            config_sync,
            list: sync::Mutex::new(list),
            platform,
            links: sync::OnceLock::new(),
            gone: sync::Mutex::default(),
            load_summaries: load_summaries::LoadSummaries::new(dc, region),
            retired: sync::Mutex::default(),
            told: sync::Mutex::default(),
            link: sync::Mutex::new(link),
        }
    }

    /// Starts listening and connecting.
    ///
    /// # Errors
    ///
    /// The peer address can't be bound.
    pub fn connect(self: &sync::Arc<Self>) -> std::io::Result<()> {
        let settings = &self.context.settings;
        let identity = link::Identity {
            host: settings.host.clone(),
            dc: settings.dc.clone(),
            secret: settings.secret.clone(),
        };
        let weak = sync::Arc::downgrade(self);
        let sink: sync::Weak<dyn link::MessageHandler> = weak.clone();
        let outbox: sync::Weak<dyn admission::Outbox> = weak.clone();
        let terms: sync::Weak<dyn admission::Terms> = weak.clone();
        self.config_sync.set_listener(weak.clone());
        let links = link::Links::start(identity, settings.peer_listen, sink)?;
        let _ = self.links.set(links);
        self.context.admission.connect(outbox, terms, weak);
        self.want_peers();
        Ok(())
    }

    fn list(&self) -> sync::MutexGuard<'_, hosts::HostList> {
        self.list
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Keeps heartbeats, connections and dispatchers up to date until stopped.
    pub fn run(&self, stop: &stop::StopFlag) {
        let mut listed = clock::Millis::ZERO;
        let mut summarized = clock::Millis::ZERO;
        while !stop.wait(BEAT.duration()) {
            let now = self.context.clock.now();
            if now.since(listed) >= LIST || listed == clock::Millis::ZERO {
                listed = now;
                self.read_list();
            }
            self.want_peers();
            self.configure_dispatchers();
            self.send_heartbeat();
            self.tell_blocked();
            self.context.admission.tell_holding();
            if now.since(summarized) >= SUMMARY {
                summarized = now;
                self.summarize(now);
            }
            self.forget_gone(now);
            self.context.metrics.set_peer_traffic(self.bytes());
        }
    }

    /// Lets time pass at the dispatchers until stopped.
    pub fn run_dispatch_timer(&self, stop: &stop::StopFlag) {
        const TICK: time::Duration = time::Duration::from_millis(10);
        while !stop.wait(TICK) {
            self.context.admission.tick();
        }
    }

    fn bytes(&self) -> (u64, u64) {
        self.links
            .get()
            .map_or((0, 0), link::Links::transferred_bytes)
    }

    fn read_list(&self) {
        let Ok(list) = self.platform.read() else {
            return;
        };
        if list.hosts.is_empty() {
            // The platform may list only upstreams; hosts then come from the settings.
            self.list().upstreams = list.upstreams;
            return;
        }
        let listed: Vec<_> = list.hosts.iter().map(|h| h.name.clone()).collect();
        *self.list() = list;
        let now = self.context.clock.now();
        for host in self.context.directory.remove_unlisted(&listed, now) {
            tracing::info!(event = "host_unlisted", host = %host);
            if let Some(links) = self.links.get() {
                links.remove(&host);
            }
        }
    }

    /// Hosts to be connected with: all of this data centre; between data centres only relays. Of
    /// a pair the one with the lesser name dials.
    fn want_peers(&self) {
        let Some(links) = self.links.get() else {
            return;
        };
        let own = &self.context.settings.host;
        let dc = &self.context.settings.dc;
        let list = self.list().clone();
        let connected: collections::HashSet<name::Host> = links
            .connected()
            .into_iter()
            .map(|(host, _)| host)
            .collect();
        let mut others: collections::BTreeMap<&name::Dc, Vec<&hosts::Host>> =
            collections::BTreeMap::new();
        for host in &list.hosts {
            self.context.directory.record_dc(&host.name, &host.dc);
            if &host.dc != dc {
                others.entry(&host.dc).or_default().push(host);
            } else if own < &host.name {
                links.keep_connected(&host.name, &host.dc, host.address);
            }
        }
        if !self.is_relay() {
            return;
        }
        for hosts in others.values_mut() {
            hosts.sort_by(|a, b| a.name.cmp(&b.name));
            let mut up = 0;
            for host in hosts.iter().take(RELAYS * 2) {
                if own < &host.name {
                    links.keep_connected(&host.name, &host.dc, host.address);
                }
                up += usize::from(connected.contains(&host.name));
                if up == RELAYS {
                    break;
                }
            }
        }
    }

    /// Whether this host is one of those that watch the store and other data centres.
    pub fn is_relay(&self) -> bool {
        let (index, _) = self.context.directory.rank(self.context.clock.now());
        (index as usize) < RELAYS
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
        // A host that is still reading knows only a part.
        let ready = self.context.is_ready();
        let revision = if ready {
            self.context.view().revision
        } else {
            0
        };
        let leaving = !self.context.phase.is_serving();
        message::Message::Heartbeat(message::Heartbeat {
            revision,
            draining: leaving,
        })
    }

    /// Tells all connected hosts what this one has in force.
    pub fn send_heartbeat(&self) {
        self.broadcast(Scope::All, &self.heartbeat());
    }

    /// Tells all connected hosts which keys are blocked.
    fn tell_blocked(&self) {
        let blocked = self.context.blocked_keys.list();
        if !blocked.is_empty() {
            self.broadcast(Scope::All, &message::Message::BlockedKeys(blocked));
        }
    }

    /// Sets the upstreams of every service at its dispatcher: those of this data centre that run.
    pub fn configure_dispatchers(&self) {
        let dc = &self.context.settings.dc;
        let now = self.context.clock.now();
        let list = self.list().clone();
        let services: Vec<_> = self.context.view().services().cloned().collect();
        for service in services {
            let mut sites = Vec::new();
            for u in &service.upstreams {
                if &u.dc != dc || !is_usable(&list, u) || self.is_retired(&u.name, now) {
                    continue;
                }
                sites.push(pool::UpstreamConfig {
                    name: u.name.clone(),
                    slots: u.slots,
                    price: u.price,
                    preemptible: u.preemptible,
                });
            }
            self.context.admission.configure(&service.name, &sites);
        }
    }

    /// Tells the hosts of this data centre, and relays of others, what this host dispatches.
    fn summarize(&self, now: clock::Millis) {
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

    /// Slots wanted of a service in this data centre.
    pub fn demand(&self, service: &name::Service) -> scale::Demand {
        self.load_summaries
            .demand(service, self.context.clock.now())
    }

    /// Tells all hosts of this data centre which upstreams get no new work.
    pub fn retire(&self, upstreams: Vec<name::Upstream>) {
        self.broadcast(
            Scope::Dc,
            &message::Message::DrainUpstreams(upstreams.clone()),
        );
        self.keep_retired(upstreams);
    }

    fn retired(&self) -> sync::MutexGuard<'_, (Vec<name::Upstream>, clock::Millis)> {
        self.retired
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    fn keep_retired(&self, upstreams: Vec<name::Upstream>) {
        *self.retired() = (upstreams, self.context.clock.now());
    }

    fn is_retired(&self, upstream: &name::Upstream, now: clock::Millis) -> bool {
        let retired = self.retired();
        now.since(retired.1) < load_summaries::SUMMARY_TTL && retired.0.contains(upstream)
    }

    fn forget_gone(&self, now: clock::Millis) {
        let mut lost = Vec::new();
        let mut gone = self
            .gone
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        gone.retain(|host, since| {
            let over = now.since(*since) >= GONE;
            if over {
                lost.push(host.clone());
            }
            !over
        });
        drop(gone);
        for host in lost {
            if !self.context.directory.is_reachable(&host, now) {
                tracing::info!(event = "host_gone", host = %host);
                self.context.admission.forget(&host);
            }
        }
    }

    /// The upstreams that the platform lists as running or leaving.
    pub fn upstream_list(&self) -> Vec<hosts::Upstream> {
        self.list().upstreams.clone()
    }

    /// Tells the peers which records of this host stand in the store.
    pub fn broadcast_written(&self) {
        let records = self.context.ledger.standing();
        let mut told = self
            .told
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        if *told == records {
            return;
        }
        told.clone_from(&records);
        drop(told);
        self.broadcast(
            Scope::All,
            &message::Message::UsageStored(self.context.incarnation, records),
        );
    }

    /// Keeps a summary; a relay passes one from another data centre on in its own.
    fn on_summary(&self, host: &name::Host, summary: message::LoadSummary) {
        let foreign = summary.dc != self.context.settings.dc;
        if foreign && &summary.host == host {
            self.broadcast(Scope::Dc, &message::Message::LoadSummary(summary.clone()));
        }
        self.load_summaries
            .insert(summary, self.context.clock.now());
    }

    fn on_heartbeat(&self, host: &name::Host, beat: &message::Heartbeat) {
        let now = self.context.clock.now();
        self.context
            .directory
            .record_heartbeat(host, beat.revision, beat.draining, now);
        self.context.record_contact();
        let own = self.context.view().revision;
        if own > 0 && own >= beat.revision {
            self.context.set_ready();
        }
        if beat.revision > own {
            admission::Outbox::send(self, host, message::Message::FetchConfig(own + 1));
        }
    }
}

impl config_sync::ChangeListener for Cluster {
    fn config_changed(&self) {
        self.configure_dispatchers();
        self.send_heartbeat();
    }
}

/// An upstream takes new work unless it is listed as leaving, or starts on order and is not
/// listed.
fn is_usable(list: &hosts::HostList, u: &config::document::Upstream) -> bool {
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

impl admission::Terms for Cluster {
    fn terms(
        &self,
        class: &name::Class,
        team: &name::Team,
    ) -> Option<(request::ClassSettings, u32)> {
        let view = self.context.view();
        let class = view.class(class.as_str())?;
        let weight = view.team(team.as_str()).map_or(1, |t| t.weight);
        let terms = request::ClassSettings {
            name: class.name.clone(),
            tier: class.tier,
            ttft_target: class.ttft_target,
            max_wait: class.max_wait,
            min_share: class.min_share,
            evictable: class.evictable,
        };
        Some((terms, weight))
    }
}

impl admission::Neighbours for Cluster {
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
        for mut e in self.load_summaries.remote_dispatchers(service) {
            let sent = self.context.admission.away_since(&e.host, service, e.told);
            e.state.free_slots = e.state.free_slots.saturating_sub(sent);
            if !spill::should_spill(&e.state, wait, slack, now) {
                continue;
            }
            links.keep_connected(&e.host, &e.dc, e.address);
            self.context.directory.record_dc(&e.host, &e.dc);
            let rank = (
                !e.state.metered,
                e.state.free_slots - e.state.waiting,
                e.host,
            );
            if best.as_ref().is_none_or(|b| rank > *b) {
                best = Some(rank);
            }
        }
        let (free_of_charge, _, host) = best?;
        let mut link = self
            .link
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        let granted = free_of_charge || link.try_spend(bytes, now);
        granted.then_some(host)
    }
}

impl link::MessageHandler for Cluster {
    fn message(&self, host: &name::Host, message: message::Message) {
        match message {
            message::Message::Heartbeat(beat) => self.on_heartbeat(host, &beat),
            message::Message::FetchConfig(from) => {
                for part in self.config_sync.updates_since(&self.context, from) {
                    admission::Outbox::send(self, host, part);
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
                let start = usage::Incarnation::new(host, incarnation);
                self.context.ledger.keep(host, start, record);
                admission::Outbox::send(self, host, message::Message::UsageCopied(number));
            }
            message::Message::UsageCopied(number) => self.context.ledger.copied(number),
            message::Message::UsageStored(incarnation, records) => {
                let start = usage::Incarnation::new(host, incarnation);
                self.context.ledger.drop_copies(&start, &records);
            }
            message::Message::LoadSummary(summary) => self.on_summary(host, summary),
            message::Message::BlockedKeys(digests) => {
                for digest in &digests {
                    blocked_keys::block(&self.context, digest);
                }
            }
            message::Message::DrainUpstreams(upstreams) => self.keep_retired(upstreams),
            other => self.context.admission.message(host, other),
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
        self.context.ledger.lost(host, now);
        let mut gone = self
            .gone
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        gone.insert(host.clone(), now);
    }
}
