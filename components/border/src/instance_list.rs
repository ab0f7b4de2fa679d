//! The border to the platform's list of instances.

use crate::{border_error, instance_entry};

/// Reads the platform's list of live and leaving instances, which lags.
#[async_trait::async_trait]
pub trait InstanceList: Send + Sync {
    /// Returns the list.
    async fn read(&self) -> Result<Vec<instance_entry::InstanceEntry>, border_error::BorderError>;
}
