//! The figures of one case.

use crate::{request_trace, study_case, study_world};

/// The figures of one case.
#[derive(Clone, Debug, serde::Serialize)]
pub struct CaseResult {
    /// The case.
    pub case: study_case::StudyCase,
    /// Requests a second that the engines can serve.
    pub capacity: f64,
    /// Requests that were offered and whose callers stayed.
    pub offered: usize,
    /// Answers a second within both targets.
    pub goodput: f64,
    /// Share of the offered requests that were answered within both targets.
    pub good_share: f64,
    /// Goodput as a share of the capacity.
    pub capacity_share: f64,
    /// Share of the prefilled tokens whose answer wasn't delivered.
    pub wasted_share: f64,
    /// The same without the requests whose callers left.
    pub wasted_own_share: f64,
    /// Median time to the first token, in milliseconds.
    pub first_p50_ms: f64,
    /// 95th percentile of the time to the first token, in milliseconds.
    pub first_p95_ms: f64,
    /// 99th percentile of the time to the first token, in milliseconds.
    pub first_p99_ms: f64,
    /// 95th percentile of the mean time between the tokens of an answer, in milliseconds.
    pub pace_p95_ms: f64,
    /// Requests that were refused before any engine had them.
    pub refused: usize,
    /// Pieces of engine memory held five seconds after their request ended, at the most.
    pub leaked_pieces: u32,
    /// Messages of placement between instances for each placed request.
    pub messages_per_request: f64,
    /// Bytes of these messages for each placed request.
    pub bytes_per_request: f64,
}

impl CaseResult {
    /// Computes the figures of a world that was played to its end.
    pub(crate) fn of(world: &study_world::StudyWorld) -> Self {
        let counted: Vec<&request_trace::RequestTrace> = world
            .traces
            .iter()
            .filter(|trace| trace.plan.at >= world.count_begin)
            .collect();
        let stayed: Vec<_> = counted
            .iter()
            .filter(|trace| trace.plan.leaves_at.is_none())
            .copied()
            .collect();
        let good = stayed.iter().filter(|trace| trace.is_good()).count();
        let placed = counted.iter().filter(|trace| trace.placed).count();
        let mut firsts: Vec<f64> = stayed.iter().filter_map(|trace| trace.first_ms()).collect();
        let mut paces: Vec<f64> = stayed.iter().filter_map(|trace| trace.pace_ms()).collect();
        firsts.sort_by(f64::total_cmp);
        paces.sort_by(f64::total_cmp);
        let goodput = ratio(good, 1) / study_world::COUNT_SPAN.as_secs_f64();
        let capacity = world.case.mix.capacity();
        Self {
            case: world.case,
            capacity,
            offered: stayed.len(),
            goodput,
            good_share: ratio(good, stayed.len()),
            capacity_share: goodput / capacity,
            wasted_share: wasted(&counted),
            wasted_own_share: wasted(&stayed),
            first_p50_ms: percentile(&firsts, 50),
            first_p95_ms: percentile(&firsts, 95),
            first_p99_ms: percentile(&firsts, 99),
            pace_p95_ms: percentile(&paces, 95),
            refused: stayed
                .iter()
                .filter(|trace| trace.refused.is_some())
                .count(),
            leaked_pieces: world.leaked_pieces,
            messages_per_request: world.control.messages as f64 / ratio(placed.max(1), 1),
            bytes_per_request: world.control.bytes as f64 / ratio(placed.max(1), 1),
        }
    }
}

fn wasted(traces: &[&request_trace::RequestTrace]) -> f64 {
    let read: u64 = traces.iter().map(|trace| trace.read_tokens).sum();
    let useful: u64 = traces
        .iter()
        .filter(|trace| trace.answered)
        .map(|trace| trace.last_read)
        .sum();
    1.0 - useful as f64 / (read.max(1)) as f64
}

fn ratio(part: usize, whole: usize) -> f64 {
    part as f64 / whole.max(1) as f64
}

fn percentile(sorted: &[f64], percent: usize) -> f64 {
    let last = sorted.len().saturating_sub(1);
    sorted.get(last * percent / 100).copied().unwrap_or(0.0)
}
