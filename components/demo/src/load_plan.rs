//! The seeded plan of requests.

use std::time;

use rand::{RngExt as _, SeedableRng as _};

use crate::{demo_options, planned_request};

/// Share of quotes among all requests, in percent.
const QUOTE_PERCENT: u32 = 45;

/// Share of dossiers, in percent.
const DOSSIER_PERCENT: u32 = 15;

/// Share of lookups, in percent; the rest are order confirmations.
const LOOKUP_PERCENT: u32 = 20;

/// Share of model requests whose caller gives up, in percent.
const CANCEL_PERCENT: u32 = 6;

/// Bytes of the preamble that all quotes share.
const PREAMBLE_BYTES: usize = 4_096;

/// Makes the plan of a seed.
pub(crate) fn plan(options: &demo_options::DemoOptions) -> Vec<planned_request::PlannedRequest> {
    let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(options.seed);
    let span = u64::try_from(options.span.as_micros()).unwrap_or(u64::MAX);
    let mut arrivals: Vec<u64> = (0..options.offered)
        .map(|_| random.random_range(0..span))
        .collect();
    arrivals.sort_unstable();
    arrivals
        .into_iter()
        .enumerate()
        .map(|(number, at)| planned_request::PlannedRequest {
            number,
            workspace: if random.random_bool(0.5) {
                "coilquote"
            } else {
                "addis"
            },
            at: time::Duration::from_micros(at),
            kind: kind(number, &mut random),
        })
        .collect()
}

fn kind(number: usize, random: &mut rand_chacha::ChaCha8Rng) -> planned_request::RequestKind {
    let draw = random.random_range(0..100_u32);
    if draw < QUOTE_PERCENT {
        let spec_bytes = random.random_range(200..2_000);
        return generation("quote", number, PREAMBLE_BYTES + spec_bytes, random);
    }
    if draw < QUOTE_PERCENT + DOSSIER_PERCENT {
        let dossier_bytes = random.random_range(20_000..48_000);
        return generation("dossier", number, dossier_bytes, random);
    }
    if draw < QUOTE_PERCENT + DOSSIER_PERCENT + LOOKUP_PERCENT {
        return planned_request::RequestKind::Lookup;
    }
    planned_request::RequestKind::Confirm {
        keyed: random.random_bool(0.5),
    }
}

fn generation(
    class: &'static str,
    number: usize,
    bytes: usize,
    random: &mut rand_chacha::ChaCha8Rng,
) -> planned_request::RequestKind {
    let output_tokens = random.random_range(15..60);
    let gives_up = random.random_range(0..100) < CANCEL_PERCENT;
    let cancel_after = gives_up.then(|| random.random_range(0..10));
    let mut prompt = "house preamble ".repeat(bytes / 15);
    prompt.push_str(&format!("#r{number} out={output_tokens}"));
    planned_request::RequestKind::Generation {
        class,
        prompt,
        output_tokens,
        cancel_after,
    }
}
