//! Limits of a connection pool.

use std::time;

/// Limits of a connection pool.
#[derive(Clone, Copy, Debug, bon::Builder)]
pub struct PoolSettings {
    /// Time a connection may take to open.
    #[builder(default = time::Duration::from_millis(500))]
    pub connect_timeout: time::Duration,
    /// Time an unused connection is kept.
    #[builder(default = time::Duration::from_secs(15))]
    pub idle_timeout: time::Duration,
    /// Unused connections kept for each server.
    #[builder(default = 64)]
    pub idle_limit: usize,
    /// Largest answer that is read into memory, in bytes.
    #[builder(default = 8 * 1024 * 1024)]
    pub answer_limit_bytes: usize,
}

impl Default for PoolSettings {
    fn default() -> Self {
        Self::builder().build()
    }
}
