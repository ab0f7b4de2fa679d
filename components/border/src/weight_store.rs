//! The border to the weight store.

use crate::border_error;

/// Reads about the weight store, which engines load from at a limited rate.
#[async_trait::async_trait]
pub trait WeightStore: Send + Sync {
    /// Returns how many loads a minute the store bears from the whole site.
    async fn loads_per_minute(&self) -> Result<u32, border_error::BorderError>;
}
