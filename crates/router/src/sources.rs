//! The order in which a host tries others that may relay the store's contents to it.

use std::collections;
use std::net;

use base::clock;

use crate::{fleet, host, membership};

/// Time after a failure within which other hosts are tried first.
const FAILURE_PERIOD: clock::Millis = clock::Millis::secs(20);

/// How well a host is suited as a source, best first. Hosts that watch the store know changes
/// first; the link between two regions is shared by all hosts and would carry each change once for
/// each follower.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Suitability {
    is_follower: bool,
    distance: fleet::Distance,
}

/// A host to follow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Source {
    /// Address at which the host accepts connections from others.
    pub address: net::SocketAddr,
    /// How well the host was suited when it was chosen.
    pub suitability: Suitability,
}

impl Suitability {
    /// Suitability of a host that is not registered.
    const UNKNOWN: Self = Self {
        is_follower: true,
        distance: fleet::Distance::OtherRegion,
    };

    const fn new(watches: bool, distance: fleet::Distance) -> Self {
        Self {
            is_follower: !watches,
            distance,
        }
    }
}

/// Sources that failed lately.
#[derive(Debug, Default)]
pub struct Sources {
    failed_at: collections::HashMap<net::SocketAddr, clock::Millis>,
}

impl Sources {
    /// Records that the host at `address` could not be reached or does not know the store's
    /// contents.
    pub fn record_failure(&mut self, address: net::SocketAddr, now: clock::Millis) {
        self.failed_at
            .retain(|_, at| now.since(*at) < FAILURE_PERIOD);
        self.failed_at.insert(address, now);
    }

    /// Returns the host to follow: the best suited one that has not failed lately, else the one
    /// whose failure is longest ago. `draws` returns random numbers, which decide between equals.
    pub fn choose(
        &self,
        settings: &host::Settings,
        membership: &membership::Membership,
        now: clock::Millis,
        mut draws: impl FnMut() -> u32,
    ) -> Option<Source> {
        let registered = membership.registered().iter();
        let registered = registered.map(|(r, watches)| {
            let distance = settings.location.distance(&r.dc);
            (r.peer_address, Suitability::new(*watches, distance))
        });
        let seeds = settings.seeds.iter().map(|s| (*s, Suitability::UNKNOWN));
        let best = registered
            .chain(seeds)
            .filter(|(address, _)| *address != settings.peer_address)
            .min_by_key(|(address, suitability)| {
                (self.failure(*address, now), *suitability, draws())
            });
        best.map(|(address, suitability)| Source {
            address,
            suitability,
        })
    }

    /// Whether a host that has not failed lately is better suited than `current`.
    pub fn has_better(
        &self,
        settings: &host::Settings,
        membership: &membership::Membership,
        current: &Source,
        now: clock::Millis,
    ) -> bool {
        let best = self.choose(settings, membership, now, || 0);
        best.is_some_and(|best| {
            self.failure(best.address, now).is_none() && best.suitability < current.suitability
        })
    }

    fn failure(&self, address: net::SocketAddr, now: clock::Millis) -> Option<clock::Millis> {
        let at = self.failed_at.get(&address).copied();
        at.filter(|at| now.since(*at) < FAILURE_PERIOD)
    }
}
