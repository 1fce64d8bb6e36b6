//! The store as one host of a test sees it.

use std::cell;
use std::rc;

use base::clock;
use router::ports;
use tokio::time;

use super::World;

/// How the store answers one host.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Mood {
    #[default]
    Well,
    /// Nothing is done.
    Down,
    /// Writes are done, their answers lost.
    LosesAnswers,
}

/// The store as one host sees it.
pub struct Store {
    pub world: rc::Rc<World>,
    pub mood: rc::Rc<cell::Cell<Mood>>,
    /// Calls that were refused.
    pub refused: rc::Rc<cell::Cell<u32>>,
}

impl Store {
    fn check(&self) -> Result<(), ports::StoreError> {
        if self.mood.get() == Mood::Down {
            self.refused.set(self.refused.get() + 1);
            return Err(ports::StoreError::Refused);
        }
        Ok(())
    }

    fn answer<T>(&self, value: T) -> Result<T, ports::StoreError> {
        if self.mood.get() == Mood::LosesAnswers {
            return Err(ports::StoreError::Unknown);
        }
        Ok(value)
    }

    fn do_commit(&self, t: &ports::Transaction) -> Result<u64, ports::StoreError> {
        let world = &self.world;
        for (key, revision) in &t.expected {
            let at = world.items.borrow().get(key).map_or(0, |(i, _)| i.revision);
            if at != *revision {
                return Err(ports::StoreError::Conflict);
            }
        }
        for write in &t.writes {
            if write.lease != 0 && !world.leases.borrow().contains_key(&write.lease) {
                return Err(ports::StoreError::NoLease);
            }
        }
        let revision = world.next();
        for write in &t.writes {
            world.write(&write.key, &write.value, write.lease, revision);
        }
        for key in &t.removes {
            world.remove(key);
        }
        Ok(revision)
    }
}

impl ports::Store for Store {
    fn get<'a>(
        &'a self,
        key: &'a str,
    ) -> ports::Local<'a, Result<(Option<ports::Item>, u64), ports::StoreError>> {
        Box::pin(async move {
            self.check()?;
            let item = self.world.items.borrow().get(key).map(|(i, _)| i.clone());
            Ok((item, self.world.revision.get()))
        })
    }

    fn list<'a>(
        &'a self,
        prefix: &'a str,
        _: bool,
    ) -> ports::Local<'a, Result<(Vec<ports::Item>, u64), ports::StoreError>> {
        Box::pin(async move {
            self.check()?;
            let items = self.world.items.borrow();
            let items = items.iter().filter(|(k, _)| k.starts_with(prefix));
            let items = items.map(|(_, (i, _))| i.clone()).collect();
            Ok((items, self.world.revision.get()))
        })
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: u64,
        wait: clock::Millis,
    ) -> ports::Local<'a, Result<(Vec<ports::Event>, u64), ports::StoreError>> {
        Box::pin(async move {
            let end = self.world.clock.now() + wait;
            loop {
                self.check()?;
                if after + 1 < self.world.oldest.get() {
                    return Err(ports::StoreError::Compacted);
                }
                let events = self.world.since(prefix, after);
                if !events.is_empty() || self.world.clock.now() >= end {
                    return Ok((events, self.world.revision.get()));
                }
                time::sleep(time::Duration::from_millis(5)).await;
            }
        })
    }

    fn commit<'a>(
        &'a self,
        t: &'a ports::Transaction,
    ) -> ports::Local<'a, Result<u64, ports::StoreError>> {
        Box::pin(async move {
            self.check()?;
            let revision = self.do_commit(t)?;
            self.answer(revision)
        })
    }

    fn grant(&self, ttl: clock::Millis) -> ports::Local<'_, Result<u64, ports::StoreError>> {
        Box::pin(async move {
            self.check()?;
            let lease = self.world.next();
            let end = self.world.clock.now() + ttl;
            self.world.leases.borrow_mut().insert(lease, (end, ttl));
            Ok(lease)
        })
    }

    fn keep(&self, lease: u64) -> ports::Local<'_, Result<(), ports::StoreError>> {
        Box::pin(async move {
            self.check()?;
            let now = self.world.clock.now();
            let mut leases = self.world.leases.borrow_mut();
            let Some((end, ttl)) = leases.get_mut(&lease) else {
                return Err(ports::StoreError::NoLease);
            };
            *end = now + *ttl;
            Ok(())
        })
    }

    fn release(&self, lease: u64) -> ports::Local<'_, Result<(), ports::StoreError>> {
        Box::pin(async move {
            self.check()?;
            self.world.end_lease(lease);
            Ok(())
        })
    }
}
