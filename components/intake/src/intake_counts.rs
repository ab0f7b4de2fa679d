//! Counts of an intake.

use std::{collections, sync::atomic};

use strum::IntoEnumIterator as _;

use crate::{connection_class, connection_table, intake_error, turned_away};

/// Counts of an intake since its start.
#[derive(Debug)]
pub struct IntakeCounts {
    ended: collections::BTreeMap<&'static str, atomic::AtomicU64>,
    refused_connections: collections::BTreeMap<&'static str, atomic::AtomicU64>,
    refused_bodies: collections::BTreeMap<&'static str, atomic::AtomicU64>,
}

impl Default for IntakeCounts {
    fn default() -> Self {
        Self {
            ended: zeroes(connection_table::EndReason::iter().map(Into::into)),
            refused_connections: zeroes(connection_class::ConnectionClass::iter().map(Into::into)),
            refused_bodies: zeroes(intake_error::IntakeError::iter().map(Into::into)),
        }
    }
}

impl IntakeCounts {
    /// Returns the connections that were ended, by reason.
    pub fn ended(&self) -> impl Iterator<Item = (&'static str, u64)> {
        values(&self.ended)
    }

    /// Returns the connections that weren't taken, by class.
    pub fn refused_connections(&self) -> impl Iterator<Item = (&'static str, u64)> {
        values(&self.refused_connections)
    }

    /// Returns the bodies that weren't read to their end, by reason.
    pub fn refused_bodies(&self) -> impl Iterator<Item = (&'static str, u64)> {
        values(&self.refused_bodies)
    }

    /// Returns the sums of all counts.
    #[must_use]
    pub fn turned_away(&self) -> turned_away::TurnedAway {
        turned_away::TurnedAway {
            ended: self.ended().map(|(_, count)| count).sum(),
            refused_connections: self.refused_connections().map(|(_, count)| count).sum(),
            refused_bodies: self.refused_bodies().map(|(_, count)| count).sum(),
        }
    }

    pub(crate) fn end(&self, reason: connection_table::EndReason) {
        increment(&self.ended, reason.into());
    }

    pub(crate) fn refuse_connection(&self, class: connection_class::ConnectionClass) {
        increment(&self.refused_connections, class.into());
    }

    pub(crate) fn refuse_body(&self, error: intake_error::IntakeError) {
        increment(&self.refused_bodies, error.into());
    }
}

fn zeroes(
    names: impl Iterator<Item = &'static str>,
) -> collections::BTreeMap<&'static str, atomic::AtomicU64> {
    names
        .map(|name| (name, atomic::AtomicU64::new(0)))
        .collect()
}

fn values(
    counts: &collections::BTreeMap<&'static str, atomic::AtomicU64>,
) -> impl Iterator<Item = (&'static str, u64)> {
    counts
        .iter()
        .map(|(name, count)| (*name, count.load(atomic::Ordering::Relaxed)))
}

fn increment(counts: &collections::BTreeMap<&'static str, atomic::AtomicU64>, name: &'static str) {
    if let Some(count) = counts.get(name) {
        count.fetch_add(1, atomic::Ordering::Relaxed);
    }
}
