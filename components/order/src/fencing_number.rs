//! The number by which an engine tells a newer order from an older one.

use xxhash_rust::xxh3;

/// Bits of the term within a number.
const TERM_BITS: u32 = 40;

/// Bits that tell apart instances which chose the same term.
const TIE_BITS: u32 = 24;

/// A fencing number: revision in force, then term, then the instance.
///
/// The term grows without shared writes: an owner reads the highest number that an engine has
/// seen and takes the next term. Two owners that take the same term differ in the tie, so one of
/// them is refused.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct FencingNumber {
    /// Revision whose state the order follows from.
    pub revision: ids::Revision,
    /// Term of the ordering instance at the engine.
    pub term: u64,
    tie: u64,
}

impl FencingNumber {
    /// Returns the number for an order of `own` to an engine that has seen `seen`.
    #[must_use]
    pub fn following(
        seen: Option<u128>,
        revision: ids::Revision,
        own: ids::InstanceId,
        incarnation: ids::Incarnation,
    ) -> Self {
        let tie = tie(own, incarnation);
        let seen = Self::from_bits(seen.unwrap_or_default());
        if seen.revision == revision && seen.tie == tie && seen.term > 0 {
            return seen;
        }
        let term = if seen.revision == revision {
            seen.term + 1
        } else {
            1
        };
        Self {
            revision,
            term,
            tie,
        }
    }

    /// Returns the number as it is sent.
    #[must_use]
    pub const fn to_bits(self) -> u128 {
        ((self.revision.0 as u128) << (TERM_BITS + TIE_BITS))
            | ((self.term as u128) << TIE_BITS)
            | self.tie as u128
    }

    /// Reads a number as it was sent.
    #[must_use]
    pub const fn from_bits(bits: u128) -> Self {
        let low = bits as u64;
        Self {
            revision: ids::Revision((bits >> (TERM_BITS + TIE_BITS)) as u64),
            term: low >> TIE_BITS,
            tie: low & ((1 << TIE_BITS) - 1),
        }
    }
}

fn tie(own: ids::InstanceId, incarnation: ids::Incarnation) -> u64 {
    let hash = xxh3::xxh3_64_with_seed(&own.0.to_le_bytes(), incarnation.0);
    (hash & ((1 << TIE_BITS) - 1)).max(1)
}
