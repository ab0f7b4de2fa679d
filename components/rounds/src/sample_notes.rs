//! Notes of any size for runs.

/// Returns the text of a base note with this many engines, all of one model.
#[must_use]
pub fn base_note(revision: u64, engines: u64) -> String {
    let mut text = format!(
        "revision: {revision}\nbase: true\nadded:\n  models:\n    - {{ name: quote-draft, version: v1 }}\n  \
         workspaces:\n    - {{ name: desk, weight: 1, in_flight_limit: 10 }}\n"
    );
    if engines > 0 {
        text.push_str("  engines:\n");
    }
    for number in 0..engines {
        text.push_str(&engine_line(number, 20));
    }
    text
}

/// Returns the text of a note that changes the workspace of [`base_note`].
#[must_use]
pub fn change_note(revision: u64) -> String {
    let weight = revision % 90 + 1;
    format!(
        "revision: {revision}\n# Weekly review of the weights of all workspaces, agreed with the desk \
         in Limerick.\nchanged:\n  workspaces:\n    - name: desk\n      weight: {weight}\n      \
         in_flight_limit: 10\n"
    )
}

/// Returns the text of a note that is refused.
#[must_use]
pub fn refused_note(revision: u64) -> String {
    format!("revision: {revision}\nwithdrawn:\n  models: [unheard-of]\n")
}

/// Returns one engine as an item of a list.
fn engine_line(number: u64, decode_slots: u32) -> String {
    let (high, low) = (number / 250, number % 250 + 1);
    format!(
        "    - name: engine-{number}\n      address: 10.1.{high}.{low}:8000\n      region: region-0\n      \
         data_centre: centre-0\n      role: flexible\n      models: [quote-draft]\n      decode_slots: \
         {decode_slots}\n      kv_pieces: 400\n      prefill_tokens_per_second: 8000\n      \
         link_tokens_per_second: 200000\n      full_batch_token_ms: 45\n      retention_ms: 800\n"
    )
}
