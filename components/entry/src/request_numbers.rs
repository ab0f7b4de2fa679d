//! Numbers for requests.

use std::sync::atomic;

/// Bits of a request's number below the process it arrived at.
const SEQUENCE_BITS: u32 = 32;

/// Bits of the incarnation in a request's number.
const INCARNATION_BITS: u32 = 48;

/// Gives every request of a process a number that no other process gives.
#[derive(Debug)]
pub struct RequestNumbers {
    /// Instance and incarnation, in the upper bits.
    process: u128,
    next: atomic::AtomicU32,
}

impl RequestNumbers {
    /// Starts the numbers of a process.
    #[must_use]
    pub fn new(instance: ids::InstanceId, incarnation: ids::Incarnation) -> Self {
        let incarnation = u128::from(incarnation.0) & ((1 << INCARNATION_BITS) - 1);
        let instance = u128::from(instance.0) << INCARNATION_BITS;
        Self {
            process: (instance | incarnation) << SEQUENCE_BITS,
            next: atomic::AtomicU32::new(1),
        }
    }

    /// Returns the next number.
    #[must_use]
    pub fn next(&self) -> ids::RequestId {
        let sequence = self.next.fetch_add(1, atomic::Ordering::Relaxed);
        ids::RequestId(self.process | u128::from(sequence))
    }
}
