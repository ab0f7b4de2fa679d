//! Which connections end, and how.

use std::{cmp, collections, time};

use crate::{close_step, connection_class, connection_phase, connection_table, intake_limits};

/// Time for which a connection that was told to end may send what it has to tell its client.
const END_TIMEOUT: time::Duration = time::Duration::from_secs(1);

impl connection_table::ConnectionTable {
    /// Ends the connection of a class that has let the process wait longest, so that a descriptor is
    /// free; returns `None` if all have requests under way.
    pub fn relieve(
        &mut self,
        now: clock::Timestamp,
        class: connection_class::ConnectionClass,
    ) -> Option<connection_table::ConnectionKey> {
        let victim = self.longest_idle(now, class)?;
        self.end(now, victim);
        Some(victim)
    }

    /// Ends the connection whose client takes nothing of the largest answer for the longest; returns
    /// `None` if all take theirs.
    pub fn end_unread_answer(
        &mut self,
        now: clock::Timestamp,
    ) -> Option<connection_table::ConnectionKey> {
        let unread = self.entries.iter().filter_map(|(key, entry)| {
            let blocked = now.since(entry.blocked_since?);
            let is_unread = entry.answer_bytes > 0 && !entry.is_ending();
            let cost = entry.answer_bytes as u128 * blocked.as_micros().max(1);
            is_unread.then_some((cost, key))
        });
        let (_, victim) = unread.max()?;
        self.end(now, victim);
        Some(victim)
    }

    /// Ends the connections that have exceeded a timeout.
    pub fn expire(
        &mut self,
        now: clock::Timestamp,
        timeouts: &intake_limits::IntakeTimeouts,
    ) -> Vec<(connection_table::ConnectionKey, connection_table::EndReason)> {
        let exceeds = |since: Option<clock::Timestamp>, timeout| {
            since.is_some_and(|since| now.since(since) > timeout)
        };
        let expired: Vec<_> = self
            .entries
            .iter()
            .filter_map(|(key, entry)| {
                if entry.is_ending() {
                    let is_late = exceeds(entry.ending_since, END_TIMEOUT);
                    return is_late.then_some((key, connection_table::EndReason::EndTimeout));
                }
                if exceeds(entry.head_since, timeouts.head) {
                    Some((key, connection_table::EndReason::HeadTimeout))
                } else if exceeds(entry.blocked_since, timeouts.unread) {
                    Some((key, connection_table::EndReason::UnreadAnswer))
                } else {
                    None
                }
            })
            .collect();
        for (key, _) in &expired {
            self.end(now, *key);
        }
        expired
    }

    /// Returns the costliest connections whose end makes room for `bytes`; `None` if the one that asks is one
    /// of them, or all together aren't enough. Requests of other instances make room for each other,
    /// and all make room for callers.
    pub(super) fn make_room(
        &self,
        now: clock::Timestamp,
        (class, asking): (
            connection_class::ConnectionClass,
            Option<connection_table::ConnectionKey>,
        ),
        bytes: usize,
        ceiling: usize,
    ) -> Option<Vec<connection_table::ConnectionKey>> {
        let is_peer = class == connection_class::ConnectionClass::Peer;
        let mut candidates: collections::BinaryHeap<(u128, connection_table::ConnectionKey)> = self
            .entries
            .iter()
            .filter(|(_, entry)| !is_peer || entry.class == connection_class::ConnectionClass::Peer)
            .filter_map(|(key, entry)| Some((entry.cost(now)?, key)))
            .collect();
        let mut left = self.held_bytes - self.ending_bytes + bytes;
        let mut victims = Vec::new();
        while left > ceiling {
            let (_, victim) = candidates.pop()?;
            if Some(victim) == asking {
                return None;
            }
            left -= self.entries[victim].held_bytes;
            victims.push(victim);
        }
        Some(victims)
    }

    /// Returns the connection of a class whose client has let the process wait longest; one without a
    /// whole head comes before the others.
    pub(super) fn longest_idle(
        &self,
        now: clock::Timestamp,
        class: connection_class::ConnectionClass,
    ) -> Option<connection_table::ConnectionKey> {
        self.entries
            .iter()
            .filter(|(_, entry)| entry.class == class)
            .filter_map(|(key, entry)| {
                let is_waiting = entry.phase == connection_phase::ConnectionPhase::Waiting;
                Some((is_waiting, entry.idle_time(now)?, cmp::Reverse(key)))
            })
            .max()
            .map(|(_, _, cmp::Reverse(key))| key)
    }

    /// Returns how a connection is to end: the answer to a request that isn't whole may be sent.
    pub(crate) fn close_step(&self, key: connection_table::ConnectionKey) -> close_step::CloseStep {
        let phase = self.entries.get(key).map(|entry| entry.phase);
        if phase == Some(connection_phase::ConnectionPhase::Reading) {
            close_step::CloseStep::Refuse
        } else {
            close_step::CloseStep::Abort
        }
    }

    /// Tells a connection to end; its place is free for another one.
    pub(crate) fn end(&mut self, now: clock::Timestamp, key: connection_table::ConnectionKey) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        if entry.is_ending() {
            return;
        }
        entry.ending_since = Some(now);
        self.ending_bytes += entry.held_bytes;
        let class = entry.class;
        self.release_place(class);
    }
}
