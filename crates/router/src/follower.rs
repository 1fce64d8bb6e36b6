//! Following another host, which relays the configuration and the list of upstreams from the store.

use std::collections;
use std::net;
use std::rc;

use base::{clock, hash};
use tokio::time;

use crate::{dc_drain, digest, host, link, relay, revision, sources, store_watch};

/// Delay before another host is tried after the connection to one was lost.
const RETRY_DELAY: clock::Millis = clock::Millis(200);
/// Longest delay while no other host has newer information than this one.
const MAX_RETRY_DELAY: clock::Millis = clock::Millis(1_600);

/// Time for which a host that closed the connection at a handshake is followed with an earlier one: it is of
/// an earlier release.
const EARLIER_HANDSHAKE_PERIOD: clock::Millis = clock::Millis::secs(300);

/// What a host that is followed sends, by its release.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Dialect {
    /// Revisions with their era, and digests.
    Eras,
    /// Digests.
    Digests,
    Plain,
}

impl Dialect {
    fn earlier(self) -> Option<Self> {
        match self {
            Self::Eras => Some(Self::Digests),
            Self::Digests => Some(Self::Plain),
            Self::Plain => None,
        }
    }
}

/// Hosts of earlier releases, and until when they are taken for such.
type EarlierReleases = collections::HashMap<net::SocketAddr, (Dialect, clock::Millis)>;

/// Result of following a host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum End {
    /// This host needs no other one, or a better suited one is there.
    Replaced,
    /// The host can't be followed any longer.
    Failed {
        failure: sources::Failure,
        /// Whether the host knew the store's contents up to a recent time before.
        was_followed: bool,
    },
}

/// Follows another host while the store does not answer this one, or while other hosts watch the
/// store on its behalf.
pub async fn follow_peers(host: rc::Rc<host::Host>) {
    let mut delay = RETRY_DELAY;
    let mut sources = sources::Sources::default();
    let mut earlier = EarlierReleases::new();
    loop {
        if !needs_peer(&host) {
            host.store_health.set_following(false);
            host.store_health.wait_for_change().await;
            delay = RETRY_DELAY;
            continue;
        }
        let source = sources.choose(
            &host.settings,
            &host.membership.borrow(),
            host.now(),
            rand::random,
        );
        let was_followed = match source {
            Some(source) => match follow(&host, &source, &sources, &mut earlier).await {
                End::Replaced => continue,
                End::Failed {
                    failure,
                    was_followed,
                } => {
                    sources.record_failure(source.address, failure, host.now());
                    was_followed
                }
            },
            None => false,
        };
        if was_followed {
            // What it relayed stays recent enough for the time in which the next host is tried.
            delay = RETRY_DELAY;
        } else {
            host.store_health.set_following(false);
            delay = MAX_RETRY_DELAY.min(delay + delay);
        }
        time::sleep(delay.duration()).await;
    }
}

fn needs_peer(host: &host::Host) -> bool {
    host.store_health.is_lost() || !host.is_watcher()
}

async fn follow(
    host: &rc::Rc<host::Host>,
    source: &sources::Source,
    sources: &sources::Sources,
    earlier: &mut EarlierReleases,
) -> End {
    let now = host.now();
    earlier.retain(|_, (_, until)| now < *until);
    let release = earlier.get(&source.address).copied();
    let Ok(mut session) = Session::open(host, source, release).await else {
        return End::Failed {
            failure: sources::Failure::Lost,
            was_followed: false,
        };
    };
    let Err(failure) = session.run(sources).await else {
        return End::Replaced;
    };
    let bytes = session.link.receiver.received_bytes;
    let lasted = host.now().since(session.opened_at);
    if bytes == 0
        && lasted < relay::HEARTBEAT_TIMEOUT
        && let Some(dialect) = session.dialect.earlier()
    {
        let until = host.now() + EARLIER_HANDSHAKE_PERIOD;
        earlier.insert(source.address, (dialect, until));
        return End::Replaced;
    }
    tracing::info!(event = "peer_lost", peer = %source.address, ?failure, bytes);
    End::Failed {
        failure,
        was_followed: session.was_followed,
    }
}

/// Connection to a host that is followed.
struct Session<'a> {
    host: &'a rc::Rc<host::Host>,
    source: &'a sources::Source,
    link: link::Link,
    /// Configuration that differences refer to: the one known at the handshake or received last.
    config: Option<rc::Rc<[u8]>>,
    /// Keys of the entries in the first list.
    listed: collections::HashSet<String>,
    is_first_list: bool,
    opened_at: clock::Millis,
    dialect: Dialect,
    /// When a source of an earlier release is to be tried with the latest handshake again.
    retry_at: Option<clock::Millis>,
    /// Era of what the source has sent, by the latest complete list.
    source_era: u64,
    /// Whether changes in the store reach the source, by its latest heartbeat.
    source_learns: bool,
    /// Whether the source has known the store's contents up to a recent time.
    was_followed: bool,
}

impl<'a> Session<'a> {
    async fn open(
        host: &'a rc::Rc<host::Host>,
        source: &'a sources::Source,
        release: Option<(Dialect, clock::Millis)>,
    ) -> Result<Self, link::Closed> {
        let mut link = link::open(source.address).await?;
        let config = host.store_cache.config();
        let config_hash = config.as_ref().map(|bytes| hash::stable_hash(bytes));
        let dialect = release.map_or(Dialect::Eras, |(dialect, _)| dialect);
        let handshake = match (dialect, config_hash) {
            (Dialect::Eras, config_hash) => relay::Handshake::FollowEras { config_hash },
            (Dialect::Digests, config_hash) => relay::Handshake::FollowWith { config_hash },
            (Dialect::Plain, Some(config_hash)) => relay::Handshake::FollowFrom(config_hash),
            (Dialect::Plain, None) => relay::Handshake::Follow,
        };
        link.sender.send(&handshake).await?;
        Ok(Self {
            host,
            source,
            link,
            config,
            listed: collections::HashSet::new(),
            is_first_list: true,
            opened_at: host.now(),
            dialect,
            retry_at: release.map(|(_, until)| until),
            source_era: 0,
            source_learns: false,
            was_followed: false,
        })
    }

    /// Applies updates until this host needs no other one or a better suited one is there.
    ///
    /// # Errors
    ///
    /// Why the source is not followed any longer.
    async fn run(&mut self, sources: &sources::Sources) -> Result<(), sources::Failure> {
        let mut questions = time::interval(self.host.freshness.ask_interval().duration());
        questions.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        let mut heard_at = self.host.now();
        while needs_peer(self.host) {
            let now = self.host.now();
            if now.since(heard_at) >= relay::HEARTBEAT_TIMEOUT {
                return Err(sources::Failure::Lost);
            }
            if self.retry_at.is_some_and(|at| now >= at) {
                return Ok(());
            }
            tokio::select! {
                _ = questions.tick() => {
                    let asked = self.link.sender.send(&now).await;
                    asked.map_err(|link::Closed| sources::Failure::Lost)?;
                }
                update = self.link.receiver.next() => {
                    heard_at = self.host.now();
                    self.apply(update.map_err(|link::Closed| sources::Failure::Lost)?)?;
                    if self.was_followed && self.has_better(sources) {
                        return Ok(());
                    }
                }
            }
        }
        Ok(())
    }

    fn has_better(&self, sources: &sources::Sources) -> bool {
        let membership = self.host.membership.borrow();
        let now = self.host.now();
        sources.has_better(&self.host.settings, &membership, self.source, now)
    }

    fn apply(&mut self, update: relay::Update) -> Result<(), sources::Failure> {
        let host = self.host;
        match update {
            relay::Update::Config(bytes) => self.apply_config(bytes),
            relay::Update::ConfigDelta(delta) => {
                let bytes = self.config.as_deref().and_then(|old| delta.apply(old));
                let Some(bytes) = bytes else {
                    tracing::warn!(event = "delta_unusable", peer = %self.source.address);
                    return Err(sources::Failure::Lost);
                };
                self.apply_config(bytes);
            }
            relay::Update::Put(entry) => {
                let revision = self.known_revision(entry.revision);
                store_watch::apply_entry(host, &entry.key, revision, &entry.value);
                if self.is_first_list {
                    self.listed.insert(entry.key);
                }
            }
            relay::Update::Removed(key, at) => {
                let at = self.known_revision(at);
                if at.era() < host.store_cache.revision().era() {
                    return Err(sources::Failure::Behind);
                }
                store_watch::apply_removal(host, &key, at);
            }
            relay::Update::Complete(at) => self.complete_list(self.known_revision(at)),
            relay::Update::Leader(leader) => host.leader.set(leader),
            relay::Update::DrainedDcs(mut drained) => {
                drained.revision = self.known_revision(drained.revision);
                dc_drain::apply_relayed(host, drained);
            }
            relay::Update::Digest(digest) => {
                digest::apply(host, &digest);
            }
            relay::Update::Known { asked_at, age } => return self.record_known(asked_at, age),
            relay::Update::Heartbeat(learns_changes) => {
                self.source_learns = learns_changes;
                // What the source knows may be recent still, but another host may know changes.
                if self.was_followed && !learns_changes {
                    return Err(sources::Failure::Behind);
                }
            }
        }
        Ok(())
    }

    fn apply_config(&mut self, bytes: Vec<u8>) {
        store_watch::apply_config(self.host, &bytes, "peer");
        self.config = Some(bytes.into());
    }

    /// The revision as the source knows it. Of a source that doesn't send the era, the latest one known to this
    /// host is assumed.
    fn known_revision(&self, sent: revision::Revision) -> revision::Revision {
        if self.dialect == Dialect::Eras {
            return sent;
        }
        let era = self.host.store_cache.revision().era();
        revision::Revision::new(era, sent.number()).unwrap_or(sent)
    }

    fn complete_list(&mut self, at: revision::Revision) {
        self.source_era = at.era();
        // A source of an earlier era may lack entries that were written since.
        let is_behind = at.era() < self.host.store_cache.revision().era();
        if !is_behind && std::mem::take(&mut self.is_first_list) {
            let listed = std::mem::take(&mut self.listed);
            for key in self.host.store_cache.keys() {
                if !listed.contains(&key) {
                    store_watch::apply_removal(self.host, &key, at);
                }
            }
        }
        self.host.store_cache.advance_to(at);
        self.host.upstreams_listed.set(true);
    }

    /// Records that the source knew the store's contents until `age` before `asked_at`. A source
    /// that has just started is given time to read them.
    fn record_known(
        &mut self,
        asked_at: clock::Millis,
        age: clock::Millis,
    ) -> Result<(), sources::Failure> {
        let host = self.host;
        let now = host.now();
        let until = clock::Millis(asked_at.min(now).since(age).0);
        let is_recent = host.freshness.is_recent(until, now)
            && self.source_learns
            && self.source_era >= host.store_cache.revision().era();
        if !is_recent || !host.upstreams_listed.get() {
            if age == relay::UNKNOWN_AGE && now.since(self.opened_at) < relay::HEARTBEAT_TIMEOUT {
                return Ok(());
            }
            let age_ms = now.since(until).0;
            tracing::info!(event = "peer_behind", peer = %self.source.address, age_ms);
            return Err(sources::Failure::Behind);
        }
        host.freshness.record_relayed(until);
        self.was_followed = true;
        if !host.store_health.set_following(true) {
            tracing::info!(event = "peer_followed", peer = %self.source.address);
        }
        Ok(())
    }
}
