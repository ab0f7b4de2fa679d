//! Times at which an instance reads the platform's store or copies the view of another instance.

use std::{net, time};

/// Interval between the reads of the first reader, which reads the store for all.
const READ_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Base age of the view at which the next readers read the store themselves.
const STANDBY_AGE: time::Duration = time::Duration::from_millis(900);

/// Additional age per rank, which keeps the readers from reading at the same time.
const RANK_STEP: time::Duration = time::Duration::from_millis(100);

/// Number of readers that take over soon after the first one.
const STANDBY_READERS: usize = 5;

/// Base age of the view at which the other instances read the store.
const LATE_AGE: time::Duration = time::Duration::from_secs(2);

/// Additional age per rank of the other instances. It bounds the reads of a large fleet whose
/// readers can't reach the store.
const LATE_RANK_STEP: time::Duration = time::Duration::from_millis(25);

/// Delay before the next read of a reader after a failed one.
const READ_FAILURE_PAUSE: time::Duration = time::Duration::from_millis(300);

/// Time after which an instance that couldn't copy a newer view reads the store.
const COPY_PATIENCE: time::Duration = time::Duration::from_secs(1);

/// Smallest interval of reads for the workspaces of a configuration that was copied without them.
pub(crate) const WORKSPACES_READ_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Delay before the next copy after a failed one.
const COPY_FAILURE_PAUSE: time::Duration = time::Duration::from_millis(100);

/// Delay of a copy per level of the tree along which a newer view spreads in a data centre: the
/// first instance copies at once, the next two from it one step later, and so on.
const COPY_LEVEL_STEP: time::Duration = time::Duration::from_millis(30);

/// Next step to keep the view up to date.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ViewStep {
    /// Reads the platform's store.
    Read,
    /// Copies the view of another instance.
    Copy(net::Ipv4Addr),
}

/// Returns the age of the view at which an instance of `rank` among the readers reads the store.
pub(crate) fn read_age(rank: usize) -> time::Duration {
    if rank == 0 {
        READ_INTERVAL
    } else if rank <= STANDBY_READERS {
        STANDBY_AGE + RANK_STEP * to_u32(rank)
    } else {
        LATE_AGE + LATE_RANK_STEP * to_u32(rank - STANDBY_READERS)
    }
}

/// Returns the delay before the next read of an instance of `rank` after a failed one.
pub(crate) fn failure_pause(rank: usize) -> time::Duration {
    if rank <= STANDBY_READERS {
        READ_FAILURE_PAUSE
    } else {
        read_age(rank)
    }
}

/// Returns the time at which an instance at `position` in its data centre copies a newer view of
/// which it has known since `behind_since`.
pub(crate) fn copy_at(
    behind_since: clock::Timestamp,
    position: usize,
    failed_at: Option<clock::Timestamp>,
) -> clock::Timestamp {
    let level = (position + 1).ilog2();
    let first = behind_since + COPY_LEVEL_STEP * level;
    failed_at.map_or(first, |failed_at| first.max(failed_at + COPY_FAILURE_PAUSE))
}

/// Returns the time from which an instance that couldn't copy a newer view reads the store.
pub(crate) fn read_instead_at(behind_since: clock::Timestamp) -> clock::Timestamp {
    behind_since + COPY_PATIENCE
}

fn to_u32(rank: usize) -> u32 {
    u32::try_from(rank).unwrap_or(u32::MAX)
}
