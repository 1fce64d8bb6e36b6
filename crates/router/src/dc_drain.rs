//! Data centres that operators drain, as read from the store or relayed by another host.

use std::collections;

use base::name;
use serde::{Deserialize, Serialize};

use crate::{host, ports, revision};

/// Data centres that are being drained at a revision of the store.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct DrainedDcs {
    /// Store revision up to which the set is complete.
    pub revision: revision::Revision,
    /// Names of the data centres, each known to the host that sends or keeps the set.
    pub dcs: collections::BTreeSet<name::Dc>,
}

/// Prefix of the keys that the watch of the configuration covers: those of operators where data
/// centres can be drained, otherwise only the key of the configuration.
pub fn watched_prefix(host: &host::Host) -> &str {
    match host.settings.dc_drain_deadline {
        Some(_) => host.protocol.operator_prefix(),
        None => host.protocol.config_key(),
    }
}

/// Applies a complete list of the operators' keys at a store revision.
pub fn apply_list(host: &host::Host, items: &[ports::Item], revision: revision::Revision) {
    let dcs = items.iter().filter_map(|item| drained_dc(host, item));
    let dcs = dcs.collect();
    apply(host, DrainedDcs { revision, dcs }, "store");
}

/// Applies changes of the operators' keys up to a store revision. Changes that the known set contains
/// already are skipped: another host may have relayed them.
pub fn apply_events(host: &host::Host, events: &[ports::WatchEvent], revision: revision::Revision) {
    let known = host.store_cache.drained_dcs().unwrap_or_default();
    let mut dcs = known.dcs.clone();
    for event in events {
        match event {
            ports::WatchEvent::Put(item) if item.revision > known.revision => {
                dcs.extend(drained_dc(host, item));
            }
            ports::WatchEvent::Removed(key, at) if *at > known.revision => {
                if let Some(dc) = key.strip_prefix(host.protocol.drain_prefix()) {
                    dcs.remove(dc);
                }
            }
            _ => {}
        }
    }
    apply(host, DrainedDcs { revision, dcs }, "store");
}

/// Applies the set that another host has relayed.
pub fn apply_relayed(host: &host::Host, mut drained: DrainedDcs) {
    let regions = &host.settings.location.regions;
    drained.dcs.retain(|dc| regions.contains_key(dc));
    apply(host, drained, "peer");
}

/// Puts the set in force, unless a later one is known.
fn apply(host: &host::Host, drained: DrainedDcs, from: &str) {
    if host.settings.dc_drain_deadline.is_none() {
        return;
    }
    let (dcs, at) = (drained.dcs.clone(), drained.revision);
    let Some(before) = host.store_cache.set_drained_dcs(drained) else {
        return;
    };
    host.metrics.set_drained_dcs(dcs.len());
    if before == dcs {
        return;
    }
    let now = host.now();
    let mut fleet = host.fleet.borrow_mut();
    for dc in dcs.difference(&before) {
        fleet.begin_dc_drain(dc);
        tracing::warn!(event = "dc_drain_began", %dc, from, %at, drained = dcs.len());
    }
    for dc in before.difference(&dcs) {
        fleet.end_dc_drain(dc, now);
        tracing::warn!(event = "dc_drain_ended", %dc, from, %at, drained = dcs.len());
    }
}

/// Returns the data centre that the item drains; `None` if its key is another one or names no known
/// data centre. The value carries no meaning: an operator who writes an unreadable one still wants the
/// data centre drained.
fn drained_dc(host: &host::Host, item: &ports::Item) -> Option<name::Dc> {
    let name = item.key.strip_prefix(host.protocol.drain_prefix())?;
    let regions = &host.settings.location.regions;
    let Some((dc, _)) = regions.get_key_value(name) else {
        log_fault(host, item, "unknown data centre");
        return None;
    };
    if let Err(fault) = item.parse::<serde_json::Map<_, _>>() {
        log_fault(host, item, &fault);
    }
    Some(dc.clone())
}

fn log_fault(host: &host::Host, item: &ports::Item, fault: &str) {
    let faulty_keys = &host.store_cache.faulty_keys;
    faulty_keys.log("dc_drain_faulty", &item.key, item.revision.number(), fault);
}
