//! The figures of a modelled engine.

use std::time;

/// The figures of a modelled engine.
#[derive(Clone, Debug, bon::Builder)]
pub struct EngineFigures {
    /// Work the engine takes.
    #[builder(default)]
    pub role: note::EngineRole,
    /// Number of requests decoded at once.
    pub decode_slots: u32,
    /// Pieces of engine memory, each of [`note::KV_PIECE_TOKENS`] tokens.
    pub kv_pieces: u32,
    /// Prompt tokens read in a second.
    pub prefill_tokens_per_second: u32,
    /// Rate of the transfer link, in tokens of KV cache a second.
    pub link_tokens_per_second: u32,
    /// Time between two tokens when the batch is full, in microseconds.
    pub full_batch_token_us: u64,
    /// Time between two tokens of a request that is alone, in microseconds.
    pub lone_token_us: u64,
    /// Time before reading of a prompt begins, in microseconds.
    #[builder(default = 2_000)]
    pub prefill_setup_us: u64,
    /// Time for which a prefill result is kept.
    pub retention: time::Duration,
    /// Prompt tokens in one block of the prefix cache.
    #[builder(default = 256)]
    pub block_tokens: u32,
    /// Blocks the prefix cache holds.
    #[builder(default = 512)]
    pub cache_blocks: usize,
    /// Time after which a cache event is published.
    #[builder(default = time::Duration::from_millis(300))]
    pub event_delay: time::Duration,
    /// Share of cache events that are lost, in thousandths.
    #[builder(default = 50)]
    pub event_loss_permille: u32,
    /// Time by which load reports lag.
    #[builder(default = time::Duration::from_millis(500))]
    pub report_lag: time::Duration,
    /// Prompts and transfers that may wait, each.
    #[builder(default = 64)]
    pub queue_limit: usize,
    /// Seed of the losses.
    #[builder(default)]
    pub seed: u64,
}

impl EngineFigures {
    /// Returns the figures of an engine that a release note describes.
    #[must_use]
    pub fn from_entry(entry: &note::EngineEntry, seed: u64) -> Self {
        let full = u64::from(entry.full_batch_token_ms) * 1_000;
        Self::builder()
            .role(entry.role)
            .decode_slots(entry.decode_slots)
            .kv_pieces(entry.kv_pieces)
            .prefill_tokens_per_second(entry.prefill_tokens_per_second)
            .link_tokens_per_second(entry.link_tokens_per_second)
            .full_batch_token_us(full)
            .lone_token_us(full / 2)
            .retention(time::Duration::from_millis(u64::from(entry.retention_ms)))
            .seed(seed)
            .build()
    }

    /// Returns the time between two tokens in a batch of `size` requests.
    #[must_use]
    pub fn token_time(&self, size: usize) -> time::Duration {
        let others = u64::try_from(size).unwrap_or(u64::MAX).saturating_sub(1);
        let room = u64::from(self.decode_slots).saturating_sub(1).max(1);
        let slope = self.full_batch_token_us.saturating_sub(self.lone_token_us);
        time::Duration::from_micros(self.lone_token_us + slope * others / room)
    }

    /// Returns the time that reading `tokens` takes without the prefix cache.
    #[must_use]
    pub fn prefill_time(&self, tokens: u32) -> time::Duration {
        let rate = u64::from(self.prefill_tokens_per_second.max(1));
        let reading = u64::from(tokens) * 1_000_000 / rate;
        time::Duration::from_micros(self.prefill_setup_us + reading)
    }
}
