//! Reports of a host to the leader: counts, demand, and crashes of upstreams.

use std::net;
use std::rc;

use base::clock;
use serde::{Deserialize, Serialize};
use tokio::{task, time};

use crate::{attempt, digest, host, link, membership, quarantine, relay};

/// Longest time between two reports.
const REPORT_INTERVAL: clock::Millis = clock::Millis(1_000);
/// Counts and demand are reported at least this many times per report deadline.
const REPORTS_PER_DEADLINE: u64 = 10;
/// Delay before an extra report, in which more crashes of upstreams are gathered.
const EXTRA_REPORT_DELAY: clock::Millis = clock::Millis(150);
/// Time for which a request that may become a trial waits for the leader.
const TRIAL_REQUEST_TIMEOUT: clock::Millis = clock::Millis(500);
/// Largest number of consecutive reports that are not written into the store while it does not
/// answer.
const MAX_SKIPPED_WRITES: u32 = 3;
/// Time for which a leader that closed the connection at the first report with the load gets reports
/// without it.
const NO_LOAD_PERIOD: clock::Millis = clock::Millis::secs(30);
/// Time within which a report must be acknowledged.
const ACK_TIMEOUT: clock::Millis = clock::Millis(800);

/// Message to the leader.
#[derive(Debug, Serialize, Deserialize)]
pub struct Report {
    /// Random number that identifies the reporting process.
    pub process: u64,
    /// Counts and demand; `None` in a report that only tells of a crash.
    pub counts: Option<membership::HostReport>,
    /// Crashes of upstreams, and what the leader asked for.
    pub findings: quarantine::Findings,
}

/// Message to the leader after the handshake [`relay::Handshake::ReportLoad`].
#[derive(Debug, Serialize, Deserialize)]
pub struct LoadReport {
    /// The report as other hosts send it.
    pub report: Report,
    /// Load of the reporting host; `None` in a report that only tells of a crash.
    pub load: Option<digest::HostLoad>,
}

/// What the leader answers to a [`LoadReport`].
#[derive(Debug, Serialize, Deserialize)]
pub struct LoadAnswer {
    /// The answer to the report.
    pub ruling: quarantine::Ruling,
    /// Digest that is newer than the one known to the host; `None` if there is none, or the host did
    /// not ask.
    pub digest: Option<rc::Rc<digest::Digest>>,
}

/// Receives reports of counts and demand alone, as hosts of earlier releases send them.
pub async fn receive_counts(host: &host::Host, link: &mut link::Link) -> Result<(), link::Closed> {
    loop {
        let limit = REPORT_INTERVAL + relay::HEARTBEAT_TIMEOUT;
        let report: membership::HostReport = link.receiver.receive(limit).await?;
        // A host that is not the leader may become it, so it records reports too.
        host.membership
            .borrow_mut()
            .record_report(report, host.now());
        link.sender.send(&host.is_leader.get()).await?;
    }
}

/// Receives the reports of another host.
pub async fn receive(host: &host::Host, link: &mut link::Link) -> Result<(), link::Closed> {
    loop {
        let limit = REPORT_INTERVAL + relay::HEARTBEAT_TIMEOUT;
        let report: Report = link.receiver.receive(limit).await?;
        let ruling = rule_on(host, report);
        link.sender.send(&ruling).await?;
    }
}

/// Receives the reports of another host with its load.
pub async fn receive_load(host: &host::Host, link: &mut link::Link) -> Result<(), link::Closed> {
    loop {
        let limit = REPORT_INTERVAL + relay::HEARTBEAT_TIMEOUT;
        let report: LoadReport = link.receiver.receive(limit).await?;
        let answer = answer(host, report);
        link.sender.send(&answer).await?;
    }
}

/// Records a report with its load and returns the answer to it.
fn answer(host: &host::Host, LoadReport { report, load }: LoadReport) -> LoadAnswer {
    let process = report.process;
    let ruling = rule_on(host, report);
    let mut digest = None;
    if let Some(load) = load {
        if load.wants_digest && host.is_leader.get() {
            digest = host.digest.get().filter(|d| load.known < d.version);
        }
        let mut loads = host.reported_loads.borrow_mut();
        loads.record(process, load, host.now());
    }
    LoadAnswer { ruling, digest }
}

/// Returns the load of this host in the period since the last call.
fn load(host: &host::Host) -> digest::HostLoad {
    let fleet = host.fleet.borrow();
    let mut meter = host.load_meter.borrow_mut();
    let (period, services) = meter.report(&fleet, host.now());
    digest::HostLoad {
        period,
        services,
        wants_digest: digest::is_wanted(host),
        known: host.digest.version(),
    }
}

/// Records a report and returns the answer to it.
fn rule_on(host: &host::Host, report: Report) -> quarantine::Ruling {
    let now = host.now();
    let mut membership = host.membership.borrow_mut();
    if let Some(counts) = report.counts {
        membership.record_report(counts, now);
    }
    let is_only_host = membership.host_count() == 1;
    let wanted = report.findings.wanted.clone();
    let mut leader = host.quarantine_leader.borrow_mut();
    leader.record(report.process, report.findings, is_only_host, now);
    leader.ruling(report.process, &wanted, host.is_leader.get(), now)
}

/// Connection to the host that this one reports to.
#[derive(Default)]
struct Uplink {
    /// Address and connection; no connection if this host reports to itself.
    target: Option<(net::SocketAddr, Option<link::Link>)>,
    /// Number of the latest crash that was told on this connection.
    told_crash: u64,
    /// Whether nothing was told on this connection yet.
    is_first: bool,
    /// Whether the reports on this connection contain the load.
    has_load: bool,
    /// Leader that gets reports without the load, and until when.
    without_load: Option<(net::SocketAddr, clock::Millis)>,
}

impl Uplink {
    /// Reports to the leader, and takes over its answer.
    ///
    /// # Errors
    ///
    /// There is no leader, it does not answer, or the host that answers is not the leader any more.
    async fn report(
        &mut self,
        host: &host::Host,
        counts: Option<&membership::HostReport>,
        load: Option<&digest::HostLoad>,
    ) -> Result<(), link::Closed> {
        let begin = host.now();
        let mut result = self.exchange(host, counts, load).await;
        let now = host.now();
        let is_closed = result.is_err() && now.since(begin) < ACK_TIMEOUT;
        if let Some((leader, Some(_))) = self.target
            && is_closed
            && self.is_first
            && self.has_load
        {
            // A leader of an earlier release closes the stream at a handshake that it doesn't know.
            self.without_load = Some((leader, now + NO_LOAD_PERIOD));
            result = self.exchange(host, counts, load).await;
        }
        if result.is_err() {
            self.target = None;
        }
        result
    }

    async fn exchange(
        &mut self,
        host: &host::Host,
        counts: Option<&membership::HostReport>,
        load: Option<&digest::HostLoad>,
    ) -> Result<(), link::Closed> {
        let leader = host.leader.get().ok_or(link::Closed)?;
        let now = host.now();
        let is_without = |(to, until)| to == leader && now < until;
        let has_load = !self.without_load.is_some_and(is_without);
        let is_other = self.target.as_ref().is_none_or(|(to, _)| *to != leader);
        if is_other || self.has_load != has_load {
            self.has_load = has_load;
            self.target = None;
            self.target = Some((leader, self.open(host, leader).await?));
            self.told_crash = 0;
            self.is_first = true;
        }
        let reported_at = host.now();
        let findings = self.findings(host, reported_at);
        let told_crash = findings.crashes.last().map(|c| c.number);
        let report = Report {
            process: host.boot_id,
            counts: counts.cloned(),
            findings,
        };
        let load = load.cloned();
        let LoadAnswer { ruling, digest } = match &mut self.target {
            Some((_, Some(link))) if self.has_load => {
                link.sender.send(&LoadReport { report, load }).await?;
                link.receiver.receive(ACK_TIMEOUT).await?
            }
            Some((_, Some(link))) => {
                link.sender.send(&report).await?;
                LoadAnswer {
                    ruling: link.receiver.receive(ACK_TIMEOUT).await?,
                    digest: None,
                }
            }
            _ => answer(host, LoadReport { report, load }),
        };
        self.is_first = false;
        self.told_crash = told_crash.unwrap_or(self.told_crash);
        let is_leader = ruling.is_leader;
        if let Some(digest) = digest {
            digest::apply(host, &digest);
        }
        host.quarantine
            .borrow_mut()
            .apply(ruling, reported_at, host.now());
        host.rulings.send_modify(|n| *n += 1);
        if is_leader { Ok(()) } else { Err(link::Closed) }
    }

    fn findings(&self, host: &host::Host, now: clock::Millis) -> quarantine::Findings {
        let mut quarantine = host.quarantine.borrow_mut();
        let log = host.crash_log.borrow();
        let (crashes, answers) = log.findings(self.told_crash, quarantine.questions(), now);
        quarantine::Findings {
            crashes,
            answers,
            ..quarantine.findings(self.is_first, now)
        }
    }

    async fn open(
        &self,
        host: &host::Host,
        leader: net::SocketAddr,
    ) -> Result<Option<link::Link>, link::Closed> {
        if leader == host.settings.peer_address {
            return Ok(None);
        }
        let mut link = link::open(leader).await?;
        let handshake = if self.has_load {
            relay::Handshake::ReportLoad
        } else {
            relay::Handshake::ReportFindings
        };
        link.sender.send(&handshake).await?;
        Ok(Some(link))
    }
}

/// Asks the leader for a trial of the request if it is withheld and a trial is due, and waits briefly
/// for the answer, which is recorded in the quarantine.
pub async fn request_trial(host: &host::Host, call: &attempt::Call) {
    let parts = call.shared_parts();
    let is_due = {
        let mut quarantine = host.quarantine.borrow_mut();
        quarantine.is_trial_due(&parts, call.team_hash(), host.now())
    };
    if !is_due {
        return;
    }
    let mut rulings = host.rulings.subscribe();
    host.report_wanted.notify_one();
    // Without an answer the request is withheld.
    let _ = time::timeout(TRIAL_REQUEST_TIMEOUT.duration(), rulings.changed()).await;
}

/// Waits until a rule is added that concerns the request.
pub async fn wait_for_rule(host: &host::Host, call: &attempt::Call) {
    let (parts, team) = (call.shared_parts(), call.team_hash());
    let rule = || host.quarantine.borrow().rule_for(&parts, team);
    let known = rule();
    let mut rulings = host.rulings.subscribe();
    loop {
        if rulings.changed().await.is_err() {
            return std::future::pending().await;
        }
        if rule().is_some_and(|id| Some(id) != known) {
            return;
        }
    }
}

/// Reports to the leader every second, and soon after a crash of an upstream. If a report fails, the
/// counts are written into the store, less often while the store does not answer either. Each report
/// contains all counts, so a skipped one loses nothing.
pub async fn run(host: rc::Rc<host::Host>, writer: rc::Rc<membership::ReportWriter>) {
    let mut uplink = Uplink::default();
    let mut remaining_skips = 0;
    let mut skip_count = 0;
    loop {
        let counts = writer.report(&host);
        let load = load(&host);
        if uplink
            .report(&host, Some(&counts), Some(&load))
            .await
            .is_ok()
        {
            skip_count = 0;
        } else if remaining_skips > 0 {
            remaining_skips -= 1;
        } else if counts.windows.0.is_empty() {
            // A process without counts loses nothing, and at the start of a system no host
            // knows the leader.
        } else if writer.write(&host, &counts).await {
            skip_count = 0;
        } else {
            skip_count = (2 * skip_count + 1).min(MAX_SKIPPED_WRITES);
            remaining_skips = skip_count;
        }
        let interval = clock::Millis(host.settings.timing.report_deadline.0 / REPORTS_PER_DEADLINE);
        let pause = time::sleep(REPORT_INTERVAL.min(interval).duration());
        tokio::pin!(pause);
        // New questions are answered at once, but those in the reply to that wait.
        let mut may_answer = true;
        loop {
            let is_asked = may_answer && host.quarantine.borrow().has_new_questions();
            if is_asked {
                may_answer = false;
            } else {
                tokio::select! {
                    () = &mut pause => break,
                    () = host.report_wanted.notified() => {}
                }
            }
            time::sleep(EXTRA_REPORT_DELAY.duration()).await;
            // A report that fails is repeated with the next counts.
            let _ = uplink.report(&host, None, None).await;
        }
    }
}

/// Sends this host's counts, and all reports that it received, to the hosts that may become leader
/// next, to all of them at once: a stopping host has no time to wait for each that does not answer.
pub async fn hand_over(host: &host::Host, writer: &membership::ReportWriter) {
    host.membership
        .borrow_mut()
        .record_report(writer.report(host), host.now());
    let reports = rc::Rc::new(host.membership.borrow().reports());
    let watchers = host.membership.borrow().watcher_addresses();
    let mut sending = task::JoinSet::new();
    for address in watchers {
        if address == host.settings.peer_address {
            continue;
        }
        let reports = reports.clone();
        sending.spawn_local(async move { send_counts_to(address, &reports).await });
    }
    let results = sending.join_all().await;
    tracing::info!(
        event = "counts_handed_over",
        entries = reports.len(),
        hosts = results.iter().filter(|r| r.is_ok()).count()
    );
}

async fn send_counts_to(
    address: net::SocketAddr,
    reports: &[membership::HostReport],
) -> Result<(), link::Closed> {
    let mut link = link::open(address).await?;
    link.sender.send(&relay::Handshake::Report).await?;
    for report in reports {
        link.sender.send(report).await?;
        let _is_leader: bool = link.receiver.receive(ACK_TIMEOUT).await?;
    }
    Ok(())
}
