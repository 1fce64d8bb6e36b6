//! Data centres in which upstreams are ordered: not those that are being drained.

use std::collections;

use base::{clock, name};

use crate::model;

/// How long no upstreams are ordered in a data centre after its drain. Its upstreams start cold then,
/// and the others would be reduced before these can take their load.
const RESUME_DELAY: clock::Millis = clock::Millis(5_000);

/// Data centres that are left out of the orders.
#[derive(Debug, Default)]
pub struct OrderScope {
    /// Time until which each data centre is left out.
    excluded_until: collections::BTreeMap<name::Dc, clock::Millis>,
}

impl OrderScope {
    /// Records the data centres that are being drained at `now`, and logs what changes by it.
    pub fn update(&mut self, drained: &collections::BTreeSet<name::Dc>, now: clock::Millis) {
        self.excluded_until.retain(|dc, until| {
            let is_excluded = now < *until || drained.contains(dc);
            if !is_excluded {
                tracing::info!(event = "dc_orders_resumed", %dc);
            }
            is_excluded
        });
        for dc in drained {
            let until = self.excluded_until.insert(dc.clone(), now + RESUME_DELAY);
            if until.is_none() {
                tracing::info!(event = "dc_orders_paused", %dc);
            }
        }
    }

    /// Removes the data centres that are left out from counts by data centre.
    pub fn limit<T: Clone>(
        &self,
        by_dc: &collections::BTreeMap<name::Dc, T>,
    ) -> collections::BTreeMap<name::Dc, T> {
        let mut limited = by_dc.clone();
        limited.retain(|dc, _| !self.excluded_until.contains_key(dc));
        limited
    }

    /// Returns the limits and prices for the data centres that are not left out.
    pub fn limit_scaling(&self, scaling: &model::Scaling) -> model::Scaling {
        model::Scaling {
            on_demand_prices: self.limit(&scaling.on_demand_prices),
            ..scaling.clone()
        }
    }
}
