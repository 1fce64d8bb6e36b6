//! In-memory store as one host of a test sees it.

use std::cell;
use std::rc;

use base::clock;
use router::{ports, revision};
use tokio::sync::watch;
use tokio::time;

use super::Cluster;

/// Time limit of a call other than a watch.
const CALL_TIMEOUT: time::Duration = time::Duration::from_millis(1_000);
/// Time added to the wait of a watch before its client gives up.
const WATCH_MARGIN: time::Duration = time::Duration::from_millis(400);

/// How the store answers one host.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum StoreMode {
    #[default]
    Available,
    /// Calls are refused and have no effect.
    Unavailable,
    /// Writes are done, but the responses to them are lost.
    LosesResponses,
    /// Calls have no effect and end at the client's time limit, as behind a partition.
    Silent,
}

/// Client of the store for one host.
pub struct Store {
    pub cluster: rc::Rc<Cluster>,
    pub mode: rc::Rc<cell::Cell<StoreMode>>,
    /// Era by the latest response to this host.
    pub era: watch::Sender<u64>,
    /// Number of calls refused to this host.
    pub refused_calls: rc::Rc<cell::Cell<u32>>,
    /// Number of reads of keys and lists by this host.
    pub read_calls: rc::Rc<cell::Cell<u32>>,
    /// Number of watch calls of this host.
    pub watch_calls: rc::Rc<cell::Cell<u32>>,
}

impl Store {
    async fn check_reached(&self) -> Result<(), ports::StoreError> {
        if self.mode.get() == StoreMode::Silent {
            time::sleep(CALL_TIMEOUT).await;
            return Err(ports::StoreError::Unknown);
        }
        self.check_available()
    }

    fn check_available(&self) -> Result<(), ports::StoreError> {
        if self.mode.get() == StoreMode::Unavailable {
            self.refused_calls.set(self.refused_calls.get() + 1);
            return Err(ports::StoreError::Refused);
        }
        Ok(())
    }

    /// Checks that the era on which a call rests has not ended.
    fn check_era(&self, era: u64, ended: ports::StoreError) -> Result<(), ports::StoreError> {
        if era == self.record_era() {
            Ok(())
        } else {
            Err(ended)
        }
    }

    fn record_era(&self) -> u64 {
        let current = self.cluster.era.get();
        self.era
            .send_if_modified(|known| std::mem::replace(known, current) != current);
        current
    }

    /// Records the era of a response and returns the store's revision.
    fn revision(&self) -> revision::Revision {
        self.record_era();
        self.cluster.revision_at(self.cluster.revision.get())
    }

    fn respond<T>(&self, value: T) -> Result<T, ports::StoreError> {
        if self.mode.get() == StoreMode::LosesResponses {
            return Err(ports::StoreError::Unknown);
        }
        Ok(value)
    }

    fn do_commit(
        &self,
        transaction: &ports::Transaction,
    ) -> Result<revision::Revision, ports::StoreError> {
        let cluster = &self.cluster;
        for (key, revision) in &transaction.expected {
            let at = cluster
                .items
                .borrow()
                .get(key)
                .map_or(revision::Revision::NONE, |(i, _)| {
                    cluster.revision_at(i.revision.number())
                });
            if at != *revision {
                return Err(ports::StoreError::Conflict);
            }
        }
        for write in &transaction.writes {
            let Some(lease) = write.lease else {
                continue;
            };
            self.check_era(lease.era, ports::StoreError::NoLease)?;
            if !cluster.leases.borrow().contains_key(&lease.id) {
                return Err(ports::StoreError::NoLease);
            }
        }
        let revision = cluster.next_revision();
        for write in &transaction.writes {
            let lease = write.lease.map_or(0, |l| l.id);
            cluster.write(&write.key, &write.value, lease, revision);
        }
        for key in &transaction.removes {
            cluster.remove(key);
        }
        self.record_era();
        Ok(cluster.revision_at(revision))
    }
}

impl ports::Store for Store {
    fn era(&self) -> watch::Receiver<u64> {
        self.era.subscribe()
    }

    fn get<'a>(&'a self, key: &'a str) -> ports::LocalFuture<'a, ports::Read<Option<ports::Item>>> {
        Box::pin(async move {
            self.check_reached().await?;
            self.read_calls.set(self.read_calls.get() + 1);
            let item = self.cluster.items.borrow().get(key).map(|(i, _)| i.clone());
            let item = item.map(|item| self.cluster.labelled(&item));
            Ok((item, self.revision()))
        })
    }

    fn list<'a>(
        &'a self,
        prefix: &'a str,
        _: bool,
    ) -> ports::LocalFuture<'a, ports::Read<Vec<ports::Item>>> {
        Box::pin(async move {
            self.check_reached().await?;
            self.read_calls.set(self.read_calls.get() + 1);
            let items = self.cluster.items.borrow();
            let items = items.iter().filter(|(k, _)| k.starts_with(prefix));
            let items = items.map(|(_, (i, _))| self.cluster.labelled(i)).collect();
            Ok((items, self.revision()))
        })
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: revision::Revision,
        wait: clock::Millis,
    ) -> ports::LocalFuture<'a, ports::Read<Vec<ports::WatchEvent>>> {
        Box::pin(async move {
            self.watch_calls.set(self.watch_calls.get() + 1);
            let end = self.cluster.clock.now() + wait;
            loop {
                if self.mode.get() == StoreMode::Silent {
                    let remaining = end.since(self.cluster.clock.now());
                    time::sleep(remaining.duration() + WATCH_MARGIN).await;
                    return Err(ports::StoreError::Unknown);
                }
                self.check_available()?;
                self.check_era(after.era(), ports::StoreError::Compacted)?;
                if after.number() + 1 < self.cluster.oldest_revision.get() {
                    return Err(ports::StoreError::Compacted);
                }
                let events = self.cluster.events_since(prefix, after.number());
                if !events.is_empty() || self.cluster.clock.now() >= end {
                    return Ok((events, self.revision()));
                }
                time::sleep(time::Duration::from_millis(5)).await;
            }
        })
    }

    fn commit<'a>(
        &'a self,
        transaction: &'a ports::Transaction,
    ) -> ports::LocalFuture<'a, Result<revision::Revision, ports::StoreError>> {
        Box::pin(async move {
            self.check_reached().await?;
            let revision = self.do_commit(transaction)?;
            self.respond(revision)
        })
    }

    fn grant_lease(
        &self,
        ttl: clock::Millis,
    ) -> ports::LocalFuture<'_, Result<ports::Lease, ports::StoreError>> {
        Box::pin(async move {
            self.check_reached().await?;
            let id = self.cluster.next_revision();
            let end = self.cluster.clock.now() + ttl;
            self.cluster.leases.borrow_mut().insert(id, (end, ttl));
            let era = self.revision().era();
            Ok(ports::Lease { id, era })
        })
    }

    fn renew_lease(
        &self,
        lease: ports::Lease,
    ) -> ports::LocalFuture<'_, Result<(), ports::StoreError>> {
        Box::pin(async move {
            self.check_reached().await?;
            self.check_era(lease.era, ports::StoreError::NoLease)?;
            let now = self.cluster.clock.now();
            let mut leases = self.cluster.leases.borrow_mut();
            let Some((end, ttl)) = leases.get_mut(&lease.id) else {
                return Err(ports::StoreError::NoLease);
            };
            *end = now + *ttl;
            Ok(())
        })
    }

    fn release_lease(
        &self,
        lease: ports::Lease,
    ) -> ports::LocalFuture<'_, Result<(), ports::StoreError>> {
        Box::pin(async move {
            self.check_reached().await?;
            self.check_era(lease.era, ports::StoreError::NoLease)?;
            self.cluster.revoke_lease(lease.id);
            Ok(())
        })
    }
}
