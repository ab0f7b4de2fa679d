//! Fencing number with which an engine rejects orders of a previous owner.

use xxhash_rust::xxh3;

/// Bits of the term in a fencing number.
const TERM_BITS: u32 = 40;

/// Bits that distinguish instances with the same term.
const TIE_BREAKER_BITS: u32 = 24;

/// Fencing number, ordered by revision in force, then term, then a hash of the instance and its
/// incarnation.
///
/// The term increases without coordination between owners: an owner reads the highest number that
/// an engine has received and uses the next term. Two owners that use the same term differ in the
/// tie breaker, so the engine refuses one of them.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct FencingNumber {
    /// Revision of the state from which the order is derived.
    pub revision: ids::Revision,
    /// Term of the owner, counted per engine and revision.
    pub term: u64,
    tie_breaker: u64,
}

impl FencingNumber {
    /// Returns the number for an order of `own` to an engine whose highest received number is
    /// `received`.
    ///
    /// If this process has sent `received` for the same revision, it continues to use `received`.
    /// Otherwise the number has the next term of the revision; the terms of each revision start at
    /// 1.
    #[must_use]
    pub fn following(
        received: Option<u128>,
        revision: ids::Revision,
        own: ids::InstanceId,
        incarnation: ids::Incarnation,
    ) -> Self {
        let tie_breaker = tie_breaker(own, incarnation);
        let highest = Self::from_bits(received.unwrap_or_default());
        if highest.revision == revision && highest.tie_breaker == tie_breaker && highest.term > 0 {
            return highest;
        }
        let term = if highest.revision == revision {
            highest.term + 1
        } else {
            1
        };
        Self {
            revision,
            term,
            tie_breaker,
        }
    }

    /// Encodes the number for an order.
    #[must_use]
    pub const fn to_bits(self) -> u128 {
        ((self.revision.0 as u128) << (TERM_BITS + TIE_BREAKER_BITS))
            | ((self.term as u128) << TIE_BREAKER_BITS)
            | self.tie_breaker as u128
    }

    /// Decodes the number of an order.
    #[must_use]
    pub const fn from_bits(bits: u128) -> Self {
        let low = bits as u64;
        Self {
            revision: ids::Revision((bits >> (TERM_BITS + TIE_BREAKER_BITS)) as u64),
            term: low >> TIE_BREAKER_BITS,
            tie_breaker: low & ((1 << TIE_BREAKER_BITS) - 1),
        }
    }
}

/// Returns the tie breaker of a process; at least 1, since 0 is the tie breaker of an engine that
/// has received no number.
fn tie_breaker(own: ids::InstanceId, incarnation: ids::Incarnation) -> u64 {
    let hash = xxh3::xxh3_64_with_seed(&own.0.to_le_bytes(), incarnation.0);
    (hash & ((1 << TIE_BREAKER_BITS) - 1)).max(1)
}
