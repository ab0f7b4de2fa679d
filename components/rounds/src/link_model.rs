//! Delay, loss and partitions between instances.

use std::{collections, time};

use rand::RngExt as _;

/// One-way delay within a data centre.
const CENTRE_DELAY: time::Duration = time::Duration::from_micros(150);

/// One-way delay between data centres of a region.
const REGION_DELAY: time::Duration = time::Duration::from_micros(500);

/// Shortest and longest one-way delay between regions, in milliseconds.
const FAR_DELAY_MS: std::ops::Range<u64> = 30..90;

/// Delay, loss and partitions between instances.
#[derive(Clone, Debug, Default)]
pub struct LinkModel {
    /// Share of messages that are lost, from zero to one.
    pub loss: f64,
    /// Instances cut off from all others, but not from each other.
    pub cut_off: collections::BTreeSet<ids::InstanceId>,
}

impl LinkModel {
    /// Returns the delay of a message, or `None` when it is lost.
    pub fn delay(
        &self,
        from: &border::InstanceEntry,
        to: &border::InstanceEntry,
        random: &mut rand_chacha::ChaCha8Rng,
    ) -> Option<time::Duration> {
        let parted = self.cut_off.contains(&from.id) != self.cut_off.contains(&to.id);
        if parted || random.random_bool(self.loss) {
            return None;
        }
        let base = if from.data_centre == to.data_centre {
            CENTRE_DELAY
        } else if from.region == to.region {
            REGION_DELAY
        } else {
            time::Duration::from_millis(random.random_range(FAR_DELAY_MS))
        };
        Some(base.mul_f64(random.random_range(1.0..1.5)))
    }
}
