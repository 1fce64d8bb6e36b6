//! Refusals after a time in which a dispatcher granted nothing although slots were free: its process
//! was paused, or its waiting requests were cancelled.

use base::clock;
use policy::{dispatch, pool, request};

const SLOTS: u32 = 4;
const RUN_MS: u64 = 200;
/// Interval at which a running host calls the dispatcher.
const TICK_MS: u64 = 10;
const TARGET_MS: u64 = 10_000;

/// One dispatcher whose running requests end after `RUN_MS`.
struct Host {
    dispatcher: dispatch::Dispatcher,
    now: u64,
    next_ticket: u64,
    running: Vec<(u64, request::Ticket)>,
    refused: usize,
}

impl Host {
    fn new() -> Self {
        let mut dispatcher = dispatch::Dispatcher::default();
        let upstream = pool::UpstreamConfig {
            name: "e".into(),
            slots: SLOTS,
            price: 100,
            preemptible: false,
        };
        dispatcher.configure(&[upstream], clock::Millis(1_000), &mut Vec::new());
        Self {
            dispatcher,
            now: 1_000,
            next_ticket: 0,
            running: Vec::new(),
            refused: 0,
        }
    }

    fn apply(&mut self, decisions: Vec<request::Decision>) {
        for decision in decisions {
            match decision {
                request::Decision::Grant(ticket, _) => {
                    self.running.push((self.now + RUN_MS, ticket));
                }
                request::Decision::Refuse(..) => self.refused += 1,
                request::Decision::Preempt(_) => {}
            }
        }
    }

    fn submit(&mut self, count: u64) -> Vec<request::Ticket> {
        let mut tickets = Vec::new();
        for _ in 0..count {
            self.next_ticket += 1;
            let ticket = request::Ticket(self.next_ticket);
            tickets.push(ticket);
            let request = request::SlotRequest {
                ticket,
                team: "quotes".into(),
                weight: 1,
                class: request::ClassSettings {
                    name: "chat".into(),
                    tier: 0,
                    ttft_target: clock::Millis(TARGET_MS),
                    max_wait: clock::Millis(30_000),
                    min_share: 0,
                    evictable: true,
                },
                waited: clock::Millis::ZERO,
                prompt_tokens: 100,
                max_tokens: 100,
                prefix_hash: 0,
                resumable: true,
                received_tokens: 0,
                excluded: Default::default(),
            };
            let mut out = Vec::new();
            self.dispatcher
                .submit(request, clock::Millis(self.now), &mut out);
            self.apply(out);
        }
        tickets
    }

    fn finish_due(&mut self) {
        let due: Vec<_> = self
            .running
            .extract_if(.., |(end, _)| *end <= self.now)
            .collect();
        for (_, ticket) in due {
            let stats = request::RunStats {
                outcome: request::Outcome::Completed,
                tokens: 100,
                ttft: clock::Millis(5),
                total: clock::Millis(RUN_MS),
            };
            let mut out = Vec::new();
            self.dispatcher
                .finish(ticket, &stats, clock::Millis(self.now), &mut out);
            self.apply(out);
        }
    }

    fn run_for(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.now += TICK_MS;
            self.finish_due();
            let mut out = Vec::new();
            self.dispatcher.tick(clock::Millis(self.now), &mut out);
            self.apply(out);
        }
    }

    fn drain(&mut self) {
        while self.dispatcher.waiting() + self.dispatcher.running() > 0 {
            self.run_for(TICK_MS);
        }
    }
}

/// A dispatcher that was paused for some seconds measured one grant in all that time. It then
/// expected a wait of many seconds with most of its slots free, and refused requests that had time.
#[test]
fn a_paused_dispatcher_refuses_no_request_for_which_there_is_room() {
    for pause_ms in [700, 1_500, 2_900, 5_000] {
        let mut host = Host::new();
        host.submit(40);
        host.run_for(300);
        host.now += pause_ms;
        host.finish_due();
        host.submit(40);
        host.drain();
        assert_eq!(host.refused, 0, "pause of {pause_ms} ms");
    }
}

/// Waiting requests that are cancelled free no slot. The time until the next grant once counted as
/// the time that a slot takes to become free.
#[test]
fn a_cancelled_queue_leaves_no_slow_grant_rate_behind() {
    for idle_ms in [700, 1_500, 2_900, 5_000] {
        let mut host = Host::new();
        let tickets = host.submit(40);
        host.run_for(300);
        for ticket in tickets {
            host.dispatcher.cancel(ticket);
        }
        host.run_for(idle_ms);
        host.submit(60);
        host.drain();
        assert_eq!(host.refused, 0, "idle for {idle_ms} ms");
    }
}
