//! The two sites and their requests.

use std::time;

/// A site and its requests.
#[derive(
    Clone,
    Copy,
    Debug,
    Eq,
    PartialEq,
    serde::Serialize,
    strum::Display,
    strum::EnumIter,
    strum::EnumString,
    strum::IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum SiteMix {
    /// Quotes behind a house preamble: short answers, nine workers in three data centres.
    Coilquote,
    /// Notes on long dossiers: twelve workers in four data centres.
    Addis,
}

/// The figures of a mix.
#[derive(Clone, Copy, Debug)]
pub struct MixFigures {
    /// Data centres.
    pub data_centres: u32,
    /// Engines.
    pub workers: u32,
    /// Entry instances.
    pub instances: u32,
    /// Prompt tokens that an engine reads in a second.
    pub prefill_tokens_per_second: u32,
    /// Rate of an engine's link, in tokens of KV cache a second.
    pub link_tokens_per_second: u32,
    /// Time between two tokens when the batch is full, in milliseconds.
    pub full_batch_token_ms: u32,
    /// Decode slots that keep the pace target.
    pub paced_slots: u32,
    /// Pieces of memory of an engine.
    pub kv_pieces: u32,
    /// Blocks of the prompt that all requests share.
    pub shared_blocks: u32,
    /// Shortest, mean and longest rest of the prompt, in tokens.
    pub prompt_rest: (u32, u32, u32),
    /// Shortest, mean and longest answer, in tokens.
    pub output: (u32, u32, u32),
}

/// Decode slots of an engine.
pub const DECODE_SLOTS: u32 = 20;

/// Time an engine keeps a prefill result, in milliseconds.
pub const RETENTION_MS: u32 = 800;

/// Target for the first token.
pub const FIRST_TOKEN_TARGET: time::Duration = time::Duration::from_millis(710);

/// Target for the mean time between tokens.
pub const PACE_TARGET: time::Duration = time::Duration::from_millis(55);

const COILQUOTE: MixFigures = MixFigures {
    data_centres: 3,
    workers: 9,
    instances: 6,
    prefill_tokens_per_second: 15_000,
    link_tokens_per_second: 150_000,
    full_batch_token_ms: 48,
    paced_slots: 20,
    kv_pieces: 48,
    shared_blocks: 5,
    prompt_rest: (200, 1_200, 5_000),
    output: (20, 60, 200),
};

const ADDIS: MixFigures = MixFigures {
    data_centres: 4,
    workers: 12,
    instances: 8,
    prefill_tokens_per_second: 50_000,
    link_tokens_per_second: 250_000,
    full_batch_token_ms: 58,
    paced_slots: 18,
    kv_pieces: 110,
    shared_blocks: 4,
    prompt_rest: (1_500, 7_000, 18_000),
    output: (30, 110, 300),
};

impl SiteMix {
    /// Returns the figures of the mix.
    #[must_use]
    pub const fn figures(self) -> MixFigures {
        match self {
            Self::Coilquote => COILQUOTE,
            Self::Addis => ADDIS,
        }
    }

    /// Returns the number of prefill engines that gives the largest capacity.
    #[must_use]
    pub fn prefill_workers(self) -> u32 {
        let workers = self.figures().workers;
        (1..workers)
            .max_by(|one, other| {
                self.split_capacity(*one)
                    .total_cmp(&self.split_capacity(*other))
            })
            .unwrap_or(1)
    }

    /// Returns the requests a second that the engines can serve within the pace target.
    ///
    /// It is the smallest of what the prefill engines can read, with the shared blocks cached, and
    /// what the decode engines' slots and memory can hold.
    #[must_use]
    pub fn capacity(self) -> f64 {
        self.split_capacity(self.prefill_workers())
    }

    fn split_capacity(self, prefill_workers: u32) -> f64 {
        let figures = self.figures();
        let decode_workers = figures.workers - prefill_workers;
        let rest = mean_of(figures.prompt_rest);
        let output = mean_of(figures.output);
        let shared = f64::from(figures.shared_blocks * place::PREFIX_BLOCK_TOKENS);
        let prefill_seconds = rest / f64::from(figures.prefill_tokens_per_second);
        let transfer_seconds = (rest + shared) / f64::from(figures.link_tokens_per_second);
        let token_seconds =
            f64::from(figures.full_batch_token_ms).min(PACE_TARGET.as_secs_f64() * 1e3) / 1e3;
        let hold_seconds = transfer_seconds + output * token_seconds;
        let tokens = rest + shared + f64::from(figures.output.2);
        let pieces = tokens / f64::from(note::KV_PIECE_TOKENS) + 0.5;
        let by_memory = f64::from(figures.kv_pieces) / pieces;
        let slots = f64::from(figures.paced_slots).min(by_memory);
        let by_prefill = f64::from(prefill_workers) / prefill_seconds;
        let by_decode = f64::from(decode_workers) * slots / hold_seconds;
        by_prefill.min(by_decode)
    }

    /// Returns the release note of the site.
    #[must_use]
    pub fn release_note(self) -> note::ReleaseNote {
        let figures = self.figures();
        let name: &str = self.into();
        let engines = (0..figures.workers)
            .map(|number| self.engine(number))
            .collect();
        let class = note::GenerationClass {
            models: vec![name.into()],
            first_token_ms: 710,
            token_pace_ms: 55,
            priority: 0,
            expected_output_tokens: figures.output.1,
            output_limit_tokens: figures.output.2,
            can_wait_ms: 0,
        };
        note::ReleaseNote {
            revision: ids::Revision(1),
            base: true,
            part: None,
            added: note::NoteEntries {
                models: vec![note::ModelEntry {
                    name: name.into(),
                    version: "1".into(),
                    adapters: Vec::new(),
                }],
                engines,
                classes: vec![note::RequestClass {
                    name: name.into(),
                    target: note::ClassTarget::Generation(class),
                }],
                workspaces: (0..WORKSPACES).map(workspace).collect(),
                ..note::NoteEntries::default()
            },
            changed: note::NoteEntries::default(),
            withdrawn: note::NoteNames::default(),
        }
    }

    fn engine(self, number: u32) -> note::EngineEntry {
        let figures = self.figures();
        let name: &str = self.into();
        let role = if number < self.prefill_workers() {
            note::EngineRole::Prefill
        } else {
            note::EngineRole::Decode
        };
        let port = 7_000 + u16::try_from(number).unwrap_or(0);
        note::EngineEntry::builder()
            .name(format!("engine-{number}"))
            .address(([127, 0, 0, 1], port))
            .region("region")
            .data_centre(format!("dc-{}", number % figures.data_centres))
            .role(role)
            .models(vec![name.into()])
            .decode_slots(DECODE_SLOTS)
            .kv_pieces(figures.kv_pieces)
            .prefill_tokens_per_second(figures.prefill_tokens_per_second)
            .link_tokens_per_second(figures.link_tokens_per_second)
            .full_batch_token_ms(figures.full_batch_token_ms)
            .retention_ms(RETENTION_MS)
            .build()
    }
}

/// Returns the mean of an exponential distribution above `least` that is cut at `most`.
fn mean_of((least, mean, most): (u32, u32, u32)) -> f64 {
    let spread = f64::from(mean - least);
    let cut = f64::from(most - least) / spread;
    f64::from(least) + spread * (1.0 - (-cut).exp())
}

/// Workspaces of a site.
pub const WORKSPACES: u32 = 3;

fn workspace(number: u32) -> note::WorkspaceEntry {
    note::WorkspaceEntry {
        name: format!("workspace-{number}").into(),
        weight: 1,
        in_flight_limit: 1_000,
    }
}
