//! Measures what the parts of an instance cost at several sizes, on one thread without I/O.
//!
//! Each load drives the real state machines with hand-made inputs and reports processor time,
//! bytes and memory a unit of work. The capacity page carries the slopes to the full size.

mod call_load;
mod cost_row;
mod flow_load;
mod load_error;
mod note_load;
mod owner_load;
mod sample_site;
mod usage_probe;
mod view_load;
mod workspace_load;

pub use cost_row::CostRow;
pub use load_error::LoadError;

/// Measures every part and returns a row for each part and size.
///
/// # Errors
///
/// Returns [`LoadError`] when the system doesn't tell the usage of this thread, or when a part
/// refuses the sample site.
pub fn measure() -> Result<Vec<CostRow>, LoadError> {
    let mut rows = Vec::new();
    rows.extend(note_load::measure()?);
    rows.extend(view_load::measure()?);
    rows.extend(owner_load::measure()?);
    rows.extend(flow_load::measure()?);
    rows.extend(call_load::measure()?);
    rows.extend(workspace_load::measure()?);
    Ok(rows)
}
