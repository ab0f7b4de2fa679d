//! Counts what became of all requests.

use std::{collections, time};

use crate::{call_client, demo_report, demo_site, fault_script, planned_request, request_result};

/// Time after the death of an instance in which its callers may lose their connections.
const DEATH_WINDOW: time::Duration = time::Duration::from_secs(1);

/// Everything that the report is made from.
pub(crate) struct Tally<'demo> {
    pub(crate) seed: u64,
    pub(crate) plan: &'demo [planned_request::PlannedRequest],
    pub(crate) results: &'demo [request_result::RequestResult],
    pub(crate) site: &'demo demo_site::DemoSite,
    pub(crate) script: fault_script::ScriptResult,
    pub(crate) leaked_kv_pieces: u32,
    pub(crate) drained: bool,
}

impl Tally<'_> {
    /// Makes the report.
    pub(crate) fn report(&self) -> demo_report::DemoReport {
        let ledger = self.site.stands.fleet.ledger();
        let answered = |request| {
            let mut results = self.results.iter();
            results.any(|result| {
                result.request == Some(request)
                    && result.kind == request_result::ResultKind::Answered
            })
        };
        let wasted = ledger.wasted(answered);
        demo_report::DemoReport {
            seed: self.seed,
            offered: self.plan.len(),
            answered: self.count(request_result::ResultKind::Answered),
            in_time: self.in_time(),
            cancelled: self.count(request_result::ResultKind::Cancelled),
            not_run: self.count(request_result::ResultKind::NotRun),
            ran_before: self.count(request_result::ResultKind::RanBefore),
            unknown: self.count(request_result::ResultKind::Unknown),
            connection_lost: self.count(request_result::ResultKind::ConnectionLost),
            errors: self.errors(),
            wrong_answers: self.count(request_result::ResultKind::Wrong),
            wasted_prefill_share: share(wasted, ledger.total()),
            duplicate_calls: self.duplicate_calls(),
            false_not_run: self.false_not_run(),
            leaked_kv_pieces: self.leaked_kv_pieces,
            cut_off: self.cut_off(),
            drained: self.drained && self.script.drained,
            release_note_seconds: self.script.note_time.map(|span| span.as_secs_f64()),
        }
    }

    fn count(&self, kind: request_result::ResultKind) -> usize {
        let results = self.results.iter();
        results.filter(|result| result.kind == kind).count()
    }

    fn errors(&self) -> collections::BTreeMap<String, usize> {
        let mut errors = collections::BTreeMap::new();
        for result in self.results {
            let is_answered = result.kind == request_result::ResultKind::Answered;
            let Some(code) = result.code.as_deref().filter(|_| !is_answered) else {
                continue;
            };
            let name = format!("{}/{code}", result.kind);
            *errors.entry(name).or_default() += 1;
        }
        errors
    }

    /// Counts the answers in time; calls have no target beside their timeout.
    fn in_time(&self) -> usize {
        let results = self.results.iter();
        results
            .filter(|result| result.kind == request_result::ResultKind::Answered)
            .filter(|result| self.is_in_time(result))
            .count()
    }

    fn is_in_time(&self, result: &request_result::RequestResult) -> bool {
        let Some(planned_request::RequestKind::Generation { class, .. }) =
            self.plan.get(result.number).map(|planned| &planned.kind)
        else {
            return true;
        };
        let note = self.site.stands.first_note();
        let class = note
            .added
            .classes
            .iter()
            .find(|entry| entry.name.as_str() == *class);
        let Some(note::ClassTarget::Generation(target)) = class.map(|class| &class.target) else {
            return false;
        };
        let millis = |limit: u32| time::Duration::from_millis(limit.into());
        result
            .first_token
            .is_some_and(|first| first <= millis(target.first_token_ms))
            && result
                .token_pace
                .is_none_or(|pace| pace <= millis(target.token_pace_ms))
    }

    fn runs(&self, number: usize) -> u32 {
        let target = call_client::confirm_target(number);
        let name = format!("POST {target} ");
        let servers = self.site.stands.orders.iter();
        servers
            .map(|server| server.runs().get(&name).copied().unwrap_or(0))
            .sum()
    }

    fn confirms(&self) -> impl Iterator<Item = &request_result::RequestResult> {
        self.results.iter().filter(|result| {
            let planned = self.plan.get(result.number);
            planned.is_some_and(|planned| {
                matches!(planned.kind, planned_request::RequestKind::Confirm { .. })
            })
        })
    }

    fn duplicate_calls(&self) -> u32 {
        self.confirms()
            .map(|result| self.runs(result.number).saturating_sub(1))
            .sum()
    }

    fn false_not_run(&self) -> usize {
        self.confirms()
            .filter(|result| result.kind == request_result::ResultKind::NotRun)
            .filter(|result| self.runs(result.number) > 0)
            .count()
    }

    /// Counts the connections that broke although their instance didn't die.
    fn cut_off(&self) -> usize {
        let results = self.results.iter();
        results
            .filter(|result| result.kind == request_result::ResultKind::ConnectionLost)
            .filter(|result| !self.died_with_instance(result))
            .count()
    }

    fn died_with_instance(&self, result: &request_result::RequestResult) -> bool {
        let window = self.script.killed_at.map(|at| at + DEATH_WINDOW);
        result.instance == Some(fault_script::KILLED_INSTANCE)
            && window.is_some_and(|until| result.ended <= until)
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "a share needs no more than the precision of a float"
)]
fn share(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        return 0.0;
    }
    part as f64 / whole as f64
}
