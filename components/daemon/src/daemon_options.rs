//! How a process runs an instance.

use std::time;

/// Time a caller may leave a full window of tokens unread unless the options say otherwise.
const CALLER_PATIENCE: time::Duration = time::Duration::from_secs(10);

/// How a process runs an instance, beyond the instance's settings.
#[derive(Clone, Debug, bon::Builder)]
pub struct DaemonOptions {
    /// Threads that carry traffic; each further one makes a token dearer, since its tasks wake
    /// each other across threads.
    #[builder(default = 1)]
    pub traffic_threads: usize,
    /// Seed of all randomness of the core; the time of the start unless given.
    pub seed: Option<u64>,
    /// Time within which a repeat of a call under the same key doesn't run it again.
    ///
    /// An instance can't vouch for a key before it has run for as long.
    pub key_retention: Option<time::Duration>,
    /// Time a caller may leave a full window of tokens unread before its request is cancelled.
    #[builder(default = CALLER_PATIENCE)]
    pub caller_patience: time::Duration,
}
