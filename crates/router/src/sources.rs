//! The order in which a host tries others that may relay the store's contents to it.

use std::collections;
use std::net;

use base::clock;

use crate::{host, location, membership};

/// Time after a failure within which other hosts are tried first.
const FAILURE_PERIOD: clock::Millis = clock::Millis::secs(20);
/// The same for a host that answers but does not know the store's contents up to a recent time.
const BEHIND_PERIOD: clock::Millis = clock::Millis::secs(4);

/// Why a host is not followed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// The host can't be reached, or the connection ended.
    Lost,
    /// The host does not know the store's contents up to a recent time.
    Behind,
}

/// How well a host is suited as a source, best first. Hosts that watch the store know changes
/// first; the link between two regions is shared by all hosts and would carry each change once for
/// each follower.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Suitability {
    is_follower: bool,
    distance: location::Distance,
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
        distance: location::Distance::OtherRegion,
    };

    const fn new(watches: bool, distance: location::Distance) -> Self {
        Self {
            is_follower: !watches,
            distance,
        }
    }
}

/// Sources that failed lately.
#[derive(Debug, Default)]
pub struct Sources {
    /// Until when other hosts are tried before the one with this address.
    avoided_until: collections::HashMap<net::SocketAddr, clock::Millis>,
}

impl Sources {
    /// Records why the host at `address` is not followed.
    pub fn record_failure(
        &mut self,
        address: net::SocketAddr,
        failure: Failure,
        now: clock::Millis,
    ) {
        let period = match failure {
            Failure::Lost => FAILURE_PERIOD,
            Failure::Behind => BEHIND_PERIOD,
        };
        self.avoided_until.retain(|_, until| now < *until);
        self.avoided_until.insert(address, now + period);
    }

    /// Returns the host to follow: the best suited one that has not failed lately, else the one
    /// that is avoided for the shortest time. `draws` returns random numbers, which decide between
    /// equals.
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
                (self.avoided_until(*address, now), *suitability, draws())
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
            self.avoided_until(best.address, now).is_none()
                && best.suitability < current.suitability
        })
    }

    fn avoided_until(&self, address: net::SocketAddr, now: clock::Millis) -> Option<clock::Millis> {
        let until = self.avoided_until.get(&address).copied();
        until.filter(|until| now < *until)
    }
}
