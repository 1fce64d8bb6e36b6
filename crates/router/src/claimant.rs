//! When a host may claim the leadership, by what it knows of the leaders before it.

use base::clock;

use crate::{host, leader};

/// Time that a host without sealed windows of an earlier era leaves to others when the store was restored:
/// the last leader knows windows that the store has lost.
const KNOWING_HOSTS_DELAY: clock::Millis = clock::Millis(1_000);

/// What a host that may claim the leadership knows of the leaders before it.
pub struct Claimant {
    is_first_start: bool,
    /// When this host may have acted as leader last.
    last_acted: Option<clock::Millis>,
    /// Era of the store; `None` before its first response.
    era: Option<u64>,
    /// Whether the store was restored since the start of this process.
    is_restored: bool,
    /// When this host first heard of the era. Leaders of an earlier one have been granted their leases and sealed
    /// their windows before.
    era_since: clock::Millis,
    resumable: Option<EndedLeadership>,
}

/// Leadership of this host that ended because the store was restored.
#[derive(Clone, Copy, Debug)]
struct EndedLeadership {
    /// When this host acted last.
    last_acted: clock::Millis,
    /// End of the lease. Until then no other host has been leader since.
    deadline: clock::Millis,
    /// Whether this host knew all windows that were sealed.
    knows_windows: bool,
}

impl Claimant {
    /// Creates the state of a host that has just started. `is_first_start` is true if the whole system starts for
    /// the first time.
    pub fn new(host: &host::Host, is_first_start: bool) -> Self {
        Self {
            is_first_start,
            // An earlier process of this host may have acted as leader just now, and another host since
            // then.
            last_acted: (!is_first_start).then(|| host.now()),
            era: None,
            is_restored: false,
            era_since: clock::Millis::ZERO,
            resumable: None,
        }
    }

    /// Records the era in which the store responded.
    pub fn record_era(&mut self, era: u64, now: clock::Millis) {
        self.resumable = self.resumable.filter(|ended| now < ended.deadline);
        let known = self.era.replace(era);
        if known == Some(era) {
            return;
        }
        self.is_restored = known.is_some();
        self.era_since = now;
    }

    /// Records the end of a leadership of this host.
    pub fn leave(&mut self, host: &host::Host, leadership: &leader::Leadership) {
        let (now, deadline) = (host.now(), leadership.deadline.get());
        let last_acted = now.min(deadline);
        self.last_acted = Some(last_acted);
        let is_restored = *host.store.era().borrow() != leadership.era();
        self.resumable = (is_restored && now < deadline).then_some(EndedLeadership {
            last_acted,
            deadline,
            knows_windows: leadership.knows_windows.get(),
        });
    }

    /// Whether this host may take up its last leadership again at once.
    pub fn may_resume(&self) -> bool {
        self.resumable.is_some()
    }

    /// Time before which a leadership that was taken up again must not act: calls with the token before may be
    /// in flight.
    pub fn earliest_act(&self) -> clock::Millis {
        self.resumable.map_or(clock::Millis::ZERO, |ended| {
            ended.last_acted + leader::CALL_DRAIN_DELAY
        })
    }

    /// Whether the store responded in this era last.
    pub fn is_in_era(&self, era: u64) -> bool {
        self.era == Some(era)
    }

    /// When this host may claim a key that has been vacant since `since`.
    pub fn claim_at(&self, host: &host::Host, since: clock::Millis) -> clock::Millis {
        // The key of a leader that was lost since this first start of the system would still be
        // there, and one that stopped has waited for its calls.
        let drain_delay = if self.is_first_start && host.is_new() {
            clock::Millis::ZERO
        } else {
            leader::CALL_DRAIN_DELAY
        };
        let extra_delay = self.extra_delay(host);
        (since + drain_delay).max(self.earliest_claim(host) + extra_delay)
    }

    /// Time before which this host must not claim the leadership: another leader may have come and gone since
    /// it acted itself, or act until its lease of an earlier era ends.
    pub fn earliest_claim(&self, host: &host::Host) -> clock::Millis {
        if self.is_first() {
            return clock::Millis::ZERO;
        }
        let lost_until = self.era_since + leader::LEASE_TTL + leader::CALL_DRAIN_DELAY;
        let own = self
            .last_acted
            .map(|a| a + host.settings.timing.platform_lease);
        own.unwrap_or_default().max(lost_until)
    }

    /// Whether no host was leader before, as far as this one knows.
    pub fn is_first(&self) -> bool {
        self.is_first_start && !self.is_restored && self.last_acted.is_none()
    }

    /// Time to leave to hosts that know windows which the store has lost.
    fn extra_delay(&self, host: &host::Host) -> clock::Millis {
        let knows_some = host.sealed_windows.borrow().next_window > 0;
        if self.is_restored && !knows_some {
            KNOWING_HOSTS_DELAY
        } else {
            clock::Millis::ZERO
        }
    }

    /// Value of [`leader::Leadership::lost_until`] for a leadership that is claimed now.
    pub fn unknown_windows_until(&self) -> Option<clock::Millis> {
        match self.resumable {
            Some(ended) if ended.knows_windows => None,
            _ => Some(self.era_since),
        }
    }
}
