//! The rule by which a partition is told from single failures.

use crate::member_record;

/// Share of the listed instances, one in this many, that makes a partition when silent at once.
const SILENT_SHARE: usize = 10;

/// Fewest silent instances that make a partition, unless nobody is heard at all.
const SILENT_FLOOR: usize = 2;

/// Returns whether too many instances that the platform lists as live are silent.
pub(crate) fn is_partitioned<'a>(
    records: impl Iterator<Item = &'a member_record::MemberRecord>,
) -> bool {
    let mut expected = 0;
    let mut silent = 0;
    for record in records {
        expected += usize::from(record.is_expected());
        silent += usize::from(record.is_silent());
    }
    let many = silent >= SILENT_FLOOR && silent * SILENT_SHARE >= expected;
    let all = expected > 0 && silent == expected;
    many || all
}
