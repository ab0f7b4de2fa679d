//! Distinguishes a network partition from separate failures.

use crate::member_record;

/// A partition is assumed when the number of unresponsive instances is at least the number of
/// expected instances divided by this value.
const UNRESPONSIVE_DIVISOR: usize = 10;

/// Minimum number of unresponsive instances for which a partition is assumed, unless all expected
/// instances are unresponsive.
const UNRESPONSIVE_MIN: usize = 2;

/// Returns whether so many of the instances that the platform lists as live are unresponsive that a
/// partition is more likely than separate failures.
pub(crate) fn is_partitioned<'a>(
    records: impl Iterator<Item = &'a member_record::MemberRecord>,
) -> bool {
    let mut expected = 0;
    let mut unresponsive = 0;
    for record in records {
        expected += usize::from(record.is_expected());
        unresponsive += usize::from(record.is_unresponsive());
    }
    let many = unresponsive >= UNRESPONSIVE_MIN && unresponsive * UNRESPONSIVE_DIVISOR >= expected;
    let all = expected > 0 && unresponsive == expected;
    many || all
}
