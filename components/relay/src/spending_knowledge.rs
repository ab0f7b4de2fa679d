//! Whether this process knows what the fleet has spent, and the share of the limits that follows.

use std::time;

use crate::fleet_contact;

/// Time after which a process that hears others knows what they spend.
const SETTLING_TIME: time::Duration = time::Duration::from_secs(1);

/// Time after which a process that hears no other serves alone.
pub(crate) const LONE_TIME: time::Duration = time::Duration::from_secs(60);

/// Share of the limits that a process uses while it doesn't know what the others spend.
const UNSETTLED_SHARE: f64 = 1.0 / 64.0;

/// Time without any update after which an instance considers itself cut off.
const ISOLATION_TIMEOUT: time::Duration = time::Duration::from_millis(300);

/// Time without updates after which an instance's share of the limits is left to it.
pub(crate) const SILENCE_TIMEOUT: time::Duration = time::Duration::from_millis(700);

/// When this process knows what the fleet has spent.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SpendingKnowledge {
    /// Time at which another process was first heard of.
    first_heard: Option<clock::Timestamp>,
    is_settled: bool,
    /// Time at which this instance last heard others again after it was cut off.
    rejoined_at: Option<clock::Timestamp>,
}

impl SpendingKnowledge {
    /// Records an update of another process, which tells whether that one knows what the fleet has
    /// spent.
    pub(crate) fn record(&mut self, now: clock::Timestamp, sender_knows: bool) {
        self.first_heard.get_or_insert(now);
        self.is_settled |= sender_knows;
    }

    /// Records that an update arrives, after `contact`, of an instance that was silent for `silence`;
    /// returns whether that one was out of touch.
    pub(crate) fn is_return(
        &mut self,
        now: clock::Timestamp,
        contact: &fleet_contact::FleetContact,
        silence: time::Duration,
    ) -> bool {
        if is_cut_off(contact) {
            self.rejoined_at = Some(now);
        }
        let has_rejoined = self
            .rejoined_at
            .is_some_and(|at| now.since(at) < SILENCE_TIMEOUT);
        silence >= SILENCE_TIMEOUT || (has_rejoined && silence > ISOLATION_TIMEOUT)
    }

    /// Returns whether this process knows what the fleet has spent. `has_others` tells whether the
    /// settings name other instances.
    pub(crate) fn is_settled(&mut self, now: clock::Timestamp, has_others: bool) -> bool {
        self.is_settled |= self.settling(now, has_others).is_zero();
        self.is_settled
    }

    /// Returns the time until this process knows what the fleet has spent.
    pub(crate) fn settling(&self, now: clock::Timestamp, has_others: bool) -> time::Duration {
        let settles_at = match self.first_heard {
            _ if self.is_settled => now,
            Some(heard) => heard + SETTLING_TIME,
            None if has_others => clock::Timestamp::default() + LONE_TIME,
            None => now,
        };
        settles_at.since(now)
    }

    /// Returns the share of the limits that the instances in touch with this one use.
    pub(crate) fn share(&self, contact: &fleet_contact::FleetContact) -> f64 {
        if !self.is_settled {
            UNSETTLED_SHARE.min(contact.share())
        } else if is_cut_off(contact) {
            contact.lone_share()
        } else {
            contact.share()
        }
    }
}

/// Returns whether this instance hears none of the others.
fn is_cut_off(contact: &fleet_contact::FleetContact) -> bool {
    let newest = contact.newest;
    newest.is_some_and(|newest| newest > ISOLATION_TIMEOUT)
}
