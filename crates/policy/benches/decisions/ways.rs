//! Scheduling strategies: the dispatcher of this crate, simpler strategies, and an oracle.

use std::collections::{BTreeMap, HashMap};

use base::{clock::Millis, name};
use policy::{dispatch, pool, request, share};

use crate::engine::{Action, Simulation, Slot};
use crate::load::{Request, Workload};

/// Number of hosts that share the slots when the dispatcher is down.
pub(crate) const HOST_COUNT: usize = 8;
/// Times at which the dispatcher fails, each during a burst.
pub(crate) const OUTAGE_STARTS_MS: [u64; 3] = [28_000, 68_000, 108_000];
/// Duration of each outage of the dispatcher.
pub(crate) const OUTAGE_MS: u64 = 1_500;

/// A scheduling strategy: decides when requests are sent to engines, refused or stopped.
pub(crate) trait Strategy {
    fn submit(&mut self, r: &Request, sim: &Simulation, out: &mut Vec<Action>);
    fn on_end(&mut self, _: &Request, _: request::Outcome, _: &Simulation, _: &mut Vec<Action>) {}
    fn tick(&mut self, sim: &Simulation, out: &mut Vec<Action>);
}

fn upstream(n: usize) -> name::Upstream {
    format!("e{n}").as_str().into()
}

fn engine_of(u: &name::Upstream) -> usize {
    u.as_str()[1..].parse().unwrap_or_default()
}

fn slot_request(r: &Request, sim: &Simulation) -> request::SlotRequest {
    let (name, tier, ttft_target, mean_tokens, _) = sim.workload.1[r.class];
    let waited = if r.received_tokens > 0 {
        0
    } else {
        sim.now - r.arrived_at
    };
    let ttft_target = Millis(ttft_target);
    let max_wait = Millis(8_000);
    let name = name.into();
    let class = request::ClassSettings {
        name,
        tier,
        ttft_target,
        max_wait,
        min_share: 20,
        evictable: tier > 0,
    };
    request::SlotRequest {
        ticket: request::Ticket(r.id << 8 | r.sends),
        team: format!("t{}", r.team).as_str().into(),
        weight: 1,
        class,
        waited: Millis(waited),
        prompt_tokens: 50,
        max_tokens: (mean_tokens * 20.0) as u32,
        prefix_hash: 0,
        resumable: sim.workload.6,
        received_tokens: r.received_tokens,
        excluded: r.excluded.iter().map(|e| upstream(*e)).collect(),
    }
}

/// Dispatchers of this crate: dispatcher 0 has all slots; dispatchers 1 to `HOST_COUNT` belong to
/// one host each and have the host's share of the slots.
pub(crate) struct PolicyDispatcher {
    dispatchers: Vec<dispatch::Dispatcher>,
    configs: Vec<Vec<pool::UpstreamConfig>>,
    /// Dispatcher and time of the grant, by request.
    grants: HashMap<u64, (usize, u64)>,
    /// Dispatcher at which each request waits.
    waiting: BTreeMap<u64, usize>,
    /// Whether hosts grant their share of the slots all the time, without dispatcher 0.
    hosts_only: bool,
    /// Whether dispatcher 0 has outages.
    has_outages: bool,
}

impl PolicyDispatcher {
    pub(crate) fn new(workload: &Workload, hosts_only: bool, has_outages: bool) -> Self {
        let mut configs = vec![Vec::new(); HOST_COUNT + 1];
        for (dispatcher, upstreams) in configs.iter_mut().enumerate() {
            for n in 0..workload.2 {
                let share = share::host_slots(
                    workload.3,
                    HOST_COUNT as u32,
                    ((dispatcher + n) % HOST_COUNT) as u32,
                );
                let slots = if dispatcher == 0 { workload.3 } else { share };
                let preemptible = n == 2 && workload.6;
                upstreams.push(pool::UpstreamConfig {
                    name: upstream(n),
                    slots,
                    price: 1,
                    preemptible,
                });
            }
            upstreams.retain(|u| u.slots > 0);
        }
        let dispatchers = configs
            .iter()
            .map(|_| dispatch::Dispatcher::default())
            .collect();
        let grants = HashMap::new();
        Self {
            dispatchers,
            configs,
            grants,
            waiting: BTreeMap::new(),
            hosts_only,
            has_outages,
        }
    }

    fn is_outage(&self, now: u64) -> bool {
        self.has_outages
            && OUTAGE_STARTS_MS
                .iter()
                .any(|t| (*t..t + OUTAGE_MS).contains(&now))
    }

    fn dispatcher(&self, id: u64, now: u64) -> usize {
        if self.hosts_only || self.is_outage(now) {
            id as usize % HOST_COUNT + 1
        } else {
            0
        }
    }

    fn submit_to_dispatcher(
        &mut self,
        id: u64,
        request: request::SlotRequest,
        sim: &Simulation,
        out: &mut Vec<Action>,
    ) {
        let dispatcher = self.dispatcher(id, sim.now);
        self.waiting.insert(id, dispatcher);
        let mut decisions = Vec::new();
        self.dispatchers[dispatcher].submit(request, Millis(sim.now), &mut decisions);
        self.apply_decisions(dispatcher, decisions, sim, out);
    }

    fn apply_decisions(
        &mut self,
        dispatcher: usize,
        decisions: Vec<request::Decision>,
        sim: &Simulation,
        out: &mut Vec<Action>,
    ) {
        for d in decisions {
            let id = d.ticket().0 >> 8;
            if !matches!(d, request::Decision::Preempt(_)) {
                self.waiting.remove(&id);
            }
            out.push(match d {
                request::Decision::Grant(_, u) => {
                    self.grants.insert(id, (dispatcher, sim.now));
                    Action::Send(id, engine_of(&u))
                }
                request::Decision::Refuse(..) => Action::Refuse(id),
                request::Decision::Preempt(_) => Action::Stop(id),
            });
        }
    }

    /// Handles the start or the end of an outage of the dispatcher: waiting requests are submitted
    /// again, and the new dispatchers adopt the running requests.
    fn fail_over(&mut self, sim: &Simulation, out: &mut Vec<Action>) {
        let now = Millis(sim.now);
        let is_outage = self.is_outage(sim.now);
        let waiting = std::mem::take(&mut self.waiting);
        for (id, dispatcher) in &waiting {
            self.dispatchers[*dispatcher].cancel(slot_request(&sim.requests[id], sim).ticket);
        }
        if !is_outage {
            // The new dispatcher is that of a host, which has observed responses granted by others.
            self.dispatchers.swap(0, 1);
            self.dispatchers[1] = dispatch::Dispatcher::default();
            self.dispatchers[0].configure(&self.configs[0], now, &mut Vec::new());
        }
        for (n, e) in sim.engines.iter().enumerate() {
            for s in e.running.iter().chain(e.queued.values()) {
                let mut r = sim.requests[&s.id].clone();
                r.sends -= 1;
                // Without the dispatcher, each host counts its running requests against its own
                // share.
                let dispatcher = if is_outage {
                    s.id as usize % HOST_COUNT + 1
                } else {
                    0
                };
                self.dispatchers[dispatcher].adopt(slot_request(&r, sim), &upstream(n), now);
                self.grants.entry(s.id).and_modify(|g| g.0 = dispatcher);
            }
        }
        for id in waiting.into_keys() {
            self.submit_to_dispatcher(id, slot_request(&sim.requests[&id], sim), sim, out);
        }
    }
}

impl Strategy for PolicyDispatcher {
    fn submit(&mut self, r: &Request, sim: &Simulation, out: &mut Vec<Action>) {
        self.submit_to_dispatcher(r.id, slot_request(r, sim), sim, out);
    }

    fn on_end(
        &mut self,
        r: &Request,
        outcome: request::Outcome,
        sim: &Simulation,
        out: &mut Vec<Action>,
    ) {
        let Some((dispatcher, granted_at)) = self.grants.remove(&r.id) else {
            return;
        };
        let ttft = Millis(r.first_token_at.map_or(0, |f| f.saturating_sub(granted_at)));
        let total = Millis(sim.now - granted_at);
        let stats = request::RunStats {
            outcome,
            tokens: r.generated_tokens,
            ttft,
            total,
        };
        let ticket = request::Ticket(r.id << 8 | (r.sends - 1));
        let mut decisions = Vec::new();
        self.dispatchers[dispatcher].finish(ticket, &stats, Millis(sim.now), &mut decisions);
        self.apply_decisions(dispatcher, decisions, sim, out);
        // The dispatchers of the hosts observe responses that the main dispatcher granted.
        if dispatcher == 0 && outcome == request::Outcome::Completed {
            self.dispatchers[1 + r.id as usize % HOST_COUNT].observe(&slot_request(r, sim), &stats);
        }
    }

    fn tick(&mut self, sim: &Simulation, out: &mut Vec<Action>) {
        if self.has_outages
            && OUTAGE_STARTS_MS
                .iter()
                .any(|t| *t == sim.now || t + OUTAGE_MS == sim.now)
        {
            self.fail_over(sim, out);
        }
        for n in 0..self.dispatchers.len() {
            let mut decisions = Vec::new();
            if sim.now.is_multiple_of(500) {
                let mut configs = self.configs[n].clone();
                configs.retain(|c| !sim.engines[engine_of(&c.name)].draining);
                self.dispatchers[n].configure(&configs, Millis(sim.now), &mut decisions);
            }
            self.dispatchers[n].tick(Millis(sim.now), &mut decisions);
            self.apply_decisions(n, decisions, sim, out);
        }
    }
}

/// Strategy that sends each request on arrival, either round robin or to the engine with the lowest
/// reported load, and refuses none.
pub(crate) struct Immediate {
    pub(crate) next_engine: usize,
    pub(crate) least_loaded: bool,
}

impl Strategy for Immediate {
    fn submit(&mut self, r: &Request, sim: &Simulation, out: &mut Vec<Action>) {
        let mut usable: Vec<usize> = (0..sim.engines.len()).collect();
        usable.retain(|e| !sim.engines[*e].draining && r.excluded != Some(*e));
        self.next_engine += 1;
        let next_engine = self.next_engine % usable.len();
        usable.rotate_left(next_engine);
        let reported = |e: &&usize| sim.engines[**e].reports.front().map_or(0, |x| x.1);
        let least_loaded = usable.iter().min_by_key(reported);
        let chosen = if self.least_loaded {
            least_loaded
        } else {
            usable.first()
        };
        out.extend(chosen.map(|e| Action::Send(r.id, *e)));
    }

    fn tick(&mut self, _: &Simulation, _: &mut Vec<Action>) {}
}

/// Strategy with a single queue: first come, first served, or the order of an oracle that knows
/// the state of all engines and the length of all responses.
pub(crate) struct CentralQueue {
    pub(crate) waiting: Vec<u64>,
    pub(crate) oracle: bool,
    pub(crate) served_tokens: HashMap<(u8, usize), f64>,
}

impl CentralQueue {
    fn send_waiting(&mut self, sim: &Simulation, out: &mut Vec<Action>) {
        let mut free: Vec<(usize, usize)> = Vec::new();
        for (n, e) in sim.engines.iter().enumerate() {
            let is_unusable = e.draining || self.oracle && (e.down || e.slowdown > 1.5);
            let free_slots = (sim.workload.3 as usize).saturating_sub(e.load());
            if !is_unusable && free_slots > 0 {
                free.push((n, free_slots));
            }
        }
        while !self.waiting.is_empty() && !free.is_empty() {
            let next = if self.oracle { self.next_index(sim) } else { 0 };
            let r = &sim.requests[&self.waiting.remove(next)];
            let rank = |f: &usize| (r.excluded != Some(free[*f].0), free[*f].1);
            let Some(index) = (0..free.len()).max_by_key(rank) else {
                return;
            };
            let tier = sim.workload.1[r.class].1;
            *self.served_tokens.entry((tier, r.team)).or_default() +=
                f64::from(r.length_tokens - r.received_tokens);
            out.push(Action::Send(r.id, free[index].0));
            free[index].1 -= 1;
            free.retain(|f| f.1 > 0);
        }
    }

    /// Index of the next request: the highest tier first, then resumed responses, then the team
    /// with the least service.
    fn next_index(&self, sim: &Simulation) -> usize {
        let rank = |index: &usize| {
            let r = &sim.requests[&self.waiting[*index]];
            let tier = sim.workload.1[r.class].1;
            let served = self
                .served_tokens
                .get(&(tier, r.team))
                .copied()
                .unwrap_or_default();
            (tier, r.received_tokens == 0, served as u64, r.arrived_at)
        };
        (0..self.waiting.len()).min_by_key(rank).unwrap_or_default()
    }

    /// Refuses requests that can't meet their target, and stops requests of lower tiers for those
    /// that otherwise could not.
    fn refuse_and_preempt(&mut self, sim: &Simulation, out: &mut Vec<Action>) {
        let running: Vec<&Slot> = sim.engines.iter().flat_map(|e| &e.running).collect();
        let mut stopping = running.iter().filter(|s| s.stop_at.is_some()).count();
        self.waiting
            .sort_by_key(|id| sim.workload.1[sim.requests[id].class].1);
        self.waiting.retain(|id| {
            let r = &sim.requests[id];
            let (_, tier, target_ms, ..) = sim.workload.1[r.class];
            let slack_ms = (r.arrived_at + target_ms).saturating_sub(sim.now + 80);
            if r.received_tokens > 0 || slack_ms >= 100 {
                return true;
            }
            if slack_ms == 0 {
                out.push(Action::Refuse(*id));
            } else if stopping > 0 {
                stopping -= 1;
            } else if sim.workload.6 {
                let lower_tiers = running
                    .iter()
                    .filter(|s| s.tier > tier && s.stop_at.is_none());
                out.extend(
                    lower_tiers
                        .max_by_key(|s| s.tier)
                        .map(|v| Action::Stop(v.id)),
                );
            }
            slack_ms > 0
        });
    }
}

impl Strategy for CentralQueue {
    fn submit(&mut self, r: &Request, sim: &Simulation, out: &mut Vec<Action>) {
        self.waiting.push(r.id);
        self.send_waiting(sim, out);
    }

    fn tick(&mut self, sim: &Simulation, out: &mut Vec<Action>) {
        if self.oracle {
            self.refuse_and_preempt(sim, out);
        }
        self.send_waiting(sim, out);
    }
}
