//! Which data centres may serve a request: rules that no cost overrides.

use std::collections;

use base::{clock, name};
use policy::placement;

use super::Fleet;
use crate::tracked;

impl Fleet {
    /// Excludes the upstreams of a data centre from all requests until [`Self::end_dc_drain`].
    pub fn begin_dc_drain(&mut self, dc: &name::Dc) {
        if self.drained_dcs.insert(dc.clone()) {
            self.reassign_classes();
        }
    }

    /// Ends the drain of a data centre at `now`: its upstreams get requests again. They count as cold,
    /// since their entries may say so late.
    pub fn end_dc_drain(&mut self, dc: &name::Dc, now: clock::Millis) {
        if self.drained_dcs.remove(dc) {
            self.mark_dc_cold(dc, now);
            self.reassign_classes();
        }
    }

    /// Whether the data centre is being drained.
    pub fn is_drained(&self, dc: &name::Dc) -> bool {
        self.drained_dcs.contains(dc)
    }

    /// Data centres that are being drained.
    pub fn drained_dcs(&self) -> &collections::BTreeSet<name::Dc> {
        &self.drained_dcs
    }

    /// Returns why the data centre of `tracked` may not serve a request that is limited to `homes`;
    /// `None` if it may.
    pub(crate) fn exclusion(
        &self,
        homes: Option<&[name::Region]>,
        tracked: &tracked::TrackedUpstream,
    ) -> Option<placement::Exclusion> {
        let dc = &tracked.upstream.dc;
        if homes.is_none() && self.drained_dcs.is_empty() {
            return None;
        }
        placement::exclusion(homes, &self.drained_dcs, dc, self.location.regions.get(dc))
    }

    fn reassign_classes(&mut self) {
        let services: Vec<name::Service> = self.services.keys().cloned().collect();
        for service in services {
            self.assign_classes(&service);
        }
    }
}
