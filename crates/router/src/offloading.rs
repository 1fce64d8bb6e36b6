//! State behind the decision what leaves for other data centres: links as measured by this host, load
//! by data centre, and the shares of each service. [`policy::offload`] decides.

use std::collections;

use base::{clock, hash, name};
use policy::{dc_link, offload};
use smallvec::SmallVec;

use crate::{digest, fleet, host, http_client, location, model, selection, tracked};

/// Assumed bytes of a prompt token in a request's body.
const BYTES_PER_PROMPT_TOKEN: u64 = 5;
/// Assumed bytes of a response: 400 events of 200 bytes, or an ordinary plain response.
const STREAM_BYTES: u64 = 80_000;
const PLAIN_BYTES: u64 = 2_000;
/// Prompt tokens assumed for the shares of a service.
const TYPICAL_PROMPT_TOKENS: u64 = 16_000;
/// Period in which the bytes on a link between regions are counted.
const RATE_PERIOD: clock::Millis = clock::Millis(1_000);

/// Settings of the traffic between data centres.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Settings {
    /// Price of a byte to another region, in milliseconds of waiting; 0 if traffic is free.
    pub ms_per_byte: f64,
    /// Capacity of the link to another region in bytes per second; `None` if unknown.
    pub link_bytes_per_s: Option<f64>,
    /// Whether this host's own view of upstreams counts as load figures while no others are known.
    pub by_load: bool,
}

/// Bytes that this host moves over the link to one region.
#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    began_at: clock::Millis,
    bytes: u64,
    /// Bytes per second in the last complete period, of all hosts of this region.
    total_per_s: f64,
}

#[derive(Debug, Default)]
struct ServiceState {
    /// Figures by data centre, as collected from all hosts.
    loads: collections::HashMap<name::Dc, offload::DcLoad>,
    /// Times of the figures that the shares were last decided by.
    decided_by: collections::HashMap<name::Dc, clock::Millis>,
    shares: offload::Shares,
    updated_at: clock::Millis,
}

/// What this host knows about other data centres, and what of its flow may leave for them.
#[derive(Debug)]
pub struct Offloading {
    location: location::Location,
    settings: Settings,
    links: collections::HashMap<name::Dc, dc_link::LinkHealth>,
    rates: collections::HashMap<name::Region, Rate>,
    services: collections::HashMap<name::Service, ServiceState>,
}

/// This host's own view of a service's upstreams.
#[derive(Clone, Debug)]
pub struct View {
    speed: offload::Speed,
    loads: SmallVec<[(name::Dc, offload::DcLoad); 4]>,
}

impl View {
    /// Summarizes `upstreams`. `speed` holds the tokens that one reads in a millisecond and the delay
    /// by each request in milliseconds. Data centres without a load report of an upstream have no
    /// figures: an upstream that this host sends nothing to would look idle.
    pub fn new<'a>(
        upstreams: impl Iterator<Item = &'a tracked::TrackedUpstream>,
        speed: (f64, f64),
        now: clock::Millis,
    ) -> Self {
        #[derive(Default)]
        struct Sum {
            engines: u32,
            reported: u32,
            running: u64,
            unread_tokens: u64,
            age_ms: u64,
        }
        let mut sums: collections::BTreeMap<&name::Dc, Sum> = collections::BTreeMap::new();
        let (mut slots, mut count) = (0, 0);
        for tracked in upstreams {
            if tracked.upstream.state != model::UpstreamState::Ready {
                continue;
            }
            slots += u64::from(tracked.upstream.slots);
            count += 1;
            let sum = sums.entry(&tracked.upstream.dc).or_default();
            sum.engines += 1;
            sum.unread_tokens += tracked.unread_tokens;
            let (requests, age_ms) = tracked.reported_load.latest(now);
            let is_reported = tracked.reported_load != Default::default();
            if is_reported && age_ms <= offload::MAX_FIGURE_AGE.0 {
                sum.reported += 1;
                sum.running += u64::from(requests);
                sum.age_ms = sum.age_ms.max(age_ms);
            }
        }
        let mut loads = SmallVec::new();
        for (dc, sum) in sums {
            if sum.reported == 0 {
                continue;
            }
            let running = sum.running * u64::from(sum.engines) / u64::from(sum.reported);
            let load = offload::DcLoad {
                engines: sum.engines,
                running: u32::try_from(running).unwrap_or(u32::MAX),
                unread_tokens: sum.unread_tokens,
                at: clock::Millis(now.0.saturating_sub(sum.age_ms)),
            };
            loads.push((dc.clone(), load));
        }
        let is_engine = speed.0.is_finite();
        Self {
            speed: offload::Speed {
                tokens_per_ms: speed.0,
                ms_per_request: speed.1,
                slots: u32::try_from(slots / count.max(1)).unwrap_or(u32::MAX),
                bytes: bytes_of(if is_engine { TYPICAL_PROMPT_TOKENS } else { 0 }),
            },
            loads,
        }
    }
}

/// Estimates the bytes of a request with a prompt of `prompt_tokens`, 0 without one, and its response.
fn bytes_of(prompt_tokens: u64) -> u64 {
    match prompt_tokens {
        0 => PLAIN_BYTES,
        tokens => tokens.saturating_mul(BYTES_PER_PROMPT_TOKEN) + STREAM_BYTES,
    }
}

impl Offloading {
    /// Creates the state of a host at `location` without settings, measurements and figures.
    pub fn new(location: location::Location) -> Self {
        Self {
            location,
            settings: Settings::default(),
            links: collections::HashMap::new(),
            rates: collections::HashMap::new(),
            services: collections::HashMap::new(),
        }
    }

    /// Sets the price and the links.
    pub fn configure(&mut self, settings: Settings) {
        self.settings = settings;
    }

    fn path(&self, dc: &name::Dc, now: clock::Millis) -> dc_link::Path {
        let distance = self.location.distance(dc);
        let is_far = distance == location::Distance::OtherRegion;
        dc_link::Path {
            distance,
            excess_delay_ms: self.links.get(dc).map_or(0.0, |l| l.excess_ms(now)),
            link_use: is_far.then(|| self.link_use(dc, now)).flatten(),
            ms_per_byte: self.settings.ms_per_byte,
        }
    }

    fn link_use(&self, dc: &name::Dc, now: clock::Millis) -> Option<f64> {
        let capacity = self.settings.link_bytes_per_s?;
        let rate = self.rates.get(self.location.regions.get(dc)?)?;
        let is_recent = now.since(rate.began_at).0 < 2 * RATE_PERIOD.0;
        is_recent.then_some(rate.total_per_s / capacity)
    }

    /// Cost in milliseconds that is added for an upstream in the data centre `dc`. `saving_ms` is the
    /// time saved by the part of the prompt that is cached there.
    pub fn cost_ms(
        &self,
        criteria: &selection::Criteria<'_>,
        dc: &name::Dc,
        saving_ms: f64,
        now: clock::Millis,
    ) -> f64 {
        if *dc == self.location.dc {
            return 0.0;
        }
        let path = self.path(dc, now);
        let bytes = bytes_of(u64::from(criteria.prompt_tokens));
        offload::cost_ms(&path, bytes, saving_ms, self.permission(criteria, dc))
    }

    fn permission(&self, criteria: &selection::Criteria<'_>, dc: &name::Dc) -> offload::Permission {
        match self.services.get(criteria.service) {
            None => offload::Permission::Unlimited,
            Some(service) => {
                let id_hash = hash::stable_hash(criteria.id.as_bytes());
                service.shares.permission(id_hash, dc)
            }
        }
    }

    /// Adds to `details` how far the selected upstream is, and what allowed the request to leave.
    pub fn explain(
        &self,
        details: selection::Details,
        criteria: &selection::Criteria<'_>,
        selected: &tracked::TrackedUpstream,
        now: clock::Millis,
    ) -> selection::Details {
        let dc = &selected.upstream.dc;
        let distance = self.location.distance(dc);
        if distance == location::Distance::SameDc {
            return selection::Details {
                distance,
                ..details
            };
        }
        let leaves_by = match self.permission(criteria, dc) {
            _ if details.cost_here_ms.is_none() => "none_here",
            _ if details.prefix_cached => "cached",
            offload::Permission::Granted(_) => "share",
            offload::Permission::Withheld(_) | offload::Permission::Unlimited => "cost",
        };
        let service = self.services.get(criteria.service);
        let at = |dc| service.and_then(|s| s.decided_by.get(dc).copied());
        let oldest = at(dc).zip(at(&self.location.dc)).map(|(a, b)| a.min(b));
        selection::Details {
            distance,
            leaves_by: Some(leaves_by),
            figures_age: oldest.map(|at| now.since(at)),
            ..details
        }
    }

    /// Records the load of a service in a data centre, as collected from all hosts. Older figures than
    /// the known ones are ignored.
    pub fn record_load(&mut self, service: &name::Service, dc: &name::Dc, load: offload::DcLoad) {
        let state = self.services.entry(service.clone()).or_default();
        let known = state.loads.entry(dc.clone()).or_insert(load);
        if known.at <= load.at {
            *known = load;
        }
    }

    /// Whether the shares of `service` are to be decided again.
    pub fn is_due(&self, service: &name::Service, now: clock::Millis) -> bool {
        match self.services.get(service) {
            None => self.settings.by_load,
            Some(state) => now.since(state.updated_at) >= offload::STEP_PERIOD,
        }
    }

    /// Moves the shares of `service` by one step, from the figures of all hosts or, without current
    /// ones, from this host's own `view`. Logs each share that changes.
    pub fn update(&mut self, service: &name::Service, view: &View, now: clock::Millis) {
        let mut state = self.services.remove(service).unwrap_or_default();
        state.updated_at = now;
        state
            .loads
            .retain(|_, load| now.since(load.at) <= offload::MAX_FIGURE_AGE);
        let mut loads = state.loads.clone();
        if loads.is_empty() && self.settings.by_load {
            loads.extend(view.loads.iter().cloned());
        }
        let mut destinations: SmallVec<[offload::Destination<'_>; 8]> = SmallVec::new();
        for (dc, load) in &loads {
            if *dc == self.location.dc {
                continue;
            }
            destinations.push(offload::Destination {
                dc,
                path: self.path(dc, now),
                load: Some(*load),
            });
        }
        let here = loads.get(&self.location.dc).copied();
        let changes = state.shares.update(here, &destinations, &view.speed, now);
        for change in changes {
            let destination = destinations.iter().find(|d| *d.dc == change.dc);
            let there = destination.and_then(|d| d.load);
            let wait = |load: Option<offload::DcLoad>| load.map(|l| l.wait_ms(&view.speed) as u64);
            let age = |load: Option<offload::DcLoad>| load.map(|l| now.since(l.at).0);
            tracing::info!(
                event = "offload_share",
                %service,
                dc = %change.dc,
                old = change.old,
                share = change.new,
                wait_here_ms = wait(here),
                here_age_ms = age(here),
                wait_there_ms = wait(there),
                there_age_ms = age(there),
                way_ms = destination.map(|d| d.path.cost_ms(view.speed.bytes) as u64),
                link_use = destination.and_then(|d| d.path.link_use),
            );
        }
        let times = loads.iter().map(|(dc, load)| (dc.clone(), load.at));
        state.decided_by = times.collect();
        self.services.insert(service.clone(), state);
    }

    /// Records a connection to `dc` that was opened in `delay`, or that timed out (`None`).
    pub fn record_delay(
        &mut self,
        dc: &name::Dc,
        address: u64,
        delay: Option<clock::Millis>,
        now: clock::Millis,
    ) {
        // What the host itself adds, as when it lacks processor time, delays all connections.
        let own = self.links.get(&self.location.dc);
        let own_ms = own.and_then(|l| l.round_trip(now)).map_or(0.0, |r| r.0);
        let usual_ms = self.location.distance(dc).usual_cost_ms() + own_ms;
        let link = self.links.entry(dc.clone()).or_default();
        let before = link.excess_ms(now);
        link.record(address, delay.map(|d| d.0 as f64), usual_ms, now);
        let excess = link.excess_ms(now);
        if *dc != self.location.dc && before == 0.0 && excess > 0.0 {
            let delay_ms = delay.map(|d| d.0);
            tracing::info!(event = "link_slow", %dc, excess_ms = excess as u64, delay_ms);
        }
    }

    /// Counts bytes between this host and `dc`. `hosts` returns the number of hosts of this region,
    /// which are taken to send as much each.
    pub fn record_bytes(
        &mut self,
        dc: &name::Dc,
        bytes: u64,
        hosts: impl FnOnce() -> usize,
        now: clock::Millis,
    ) {
        let is_far = self.location.distance(dc) == location::Distance::OtherRegion;
        let Some(region) = self.location.regions.get(dc).filter(|_| is_far) else {
            return;
        };
        let rate = self.rates.entry(region.clone()).or_default();
        let elapsed = now.since(rate.began_at);
        if elapsed >= RATE_PERIOD {
            let per_s = rate.bytes as f64 * 1_000.0 / elapsed.0 as f64;
            rate.total_per_s = per_s * hosts().max(1) as f64;
            (rate.bytes, rate.began_at) = (0, now);
        }
        rate.bytes += bytes;
    }
}

/// Records how long a connection to the selected upstream took to open, begun at `began_at`. A refused
/// connection says nothing about the link.
pub fn record_connection(
    host: &host::Host,
    selection: &selection::Selection,
    began_at: clock::Millis,
    result: Result<(), http_client::OpenError>,
) {
    let now = host.now();
    let delay = match result {
        Ok(()) => Some(now.since(began_at)),
        Err(http_client::OpenError::TimedOut) => None,
        Err(http_client::OpenError::Refused) => return,
    };
    let mut fleet = host.fleet.borrow_mut();
    let Some(tracked) = fleet.get(&selection.name) else {
        return;
    };
    let dc = tracked.upstream.dc.clone();
    let address = hash::stable_hash(selection.address.to_string().as_bytes());
    fleet.offloading.record_delay(&dc, address, delay, now);
}

/// Counts bytes of a request or a response between this host and `dc`.
pub fn record_bytes(host: &host::Host, dc: &name::Dc, bytes: u64) {
    let location = &host.settings.location;
    let hosts = || {
        let region = location.regions.get(&location.dc);
        let membership = host.membership.borrow();
        let registered = membership.registered().iter();
        registered
            .filter(|(r, _)| location.regions.get(&r.dc) == region)
            .count()
    };
    let mut fleet = host.fleet.borrow_mut();
    fleet.offloading.record_bytes(dc, bytes, hosts, host.now());
}

impl fleet::Fleet {
    /// Records the load of a service in a data centre, as collected from all hosts.
    pub fn record_dc_load(
        &mut self,
        service: &name::Service,
        dc: &name::Dc,
        load: offload::DcLoad,
    ) {
        self.offloading.record_load(service, dc, load);
    }

    /// Records the load of a service by data centre over all hosts, which is taken to be that of `now`.
    pub(crate) fn record_dc_loads(
        &mut self,
        service: &name::Service,
        loads: &[(name::Dc, digest::DcLoad)],
        now: clock::Millis,
    ) {
        for (dc, load) in loads {
            let engines = self.of_service(service).filter(|tracked| {
                tracked.upstream.dc == *dc && tracked.upstream.state == model::UpstreamState::Ready
            });
            let load = offload::DcLoad {
                engines: engines.count() as u32,
                running: load.running,
                unread_tokens: load.unread_tokens,
                at: now,
            };
            self.record_dc_load(service, dc, load);
        }
    }

    /// Moves the shares of `service` that leave for other data centres, if that is due. `is_engine`
    /// tells whether its requests have prompts.
    pub(crate) fn update_offloading(
        &mut self,
        service: &name::Service,
        is_engine: bool,
        now: clock::Millis,
    ) {
        if !self.offloading.is_due(service, now) {
            return;
        }
        let speed = if is_engine {
            (fleet::PREFILL_TOKENS_PER_MS, fleet::ACTIVE_REQUEST_COST_MS)
        } else {
            (f64::INFINITY, fleet::PLAIN_REQUEST_COST_MS)
        };
        let view = View::new(self.of_service(service), speed, now);
        self.offloading.update(service, &view, now);
    }
}
