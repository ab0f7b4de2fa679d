//! Processes of the soak test that reach callers, the store and each other, but no worker.

use std::time;

use rand::{RngExt as _, seq::IndexedRandom as _};

use crate::{caller_load, common::fault_proxy, process_fault, soak_run};

/// Time from the begin of a cut from which first attempts are compared.
const STABLE_TIME: time::Duration = time::Duration::from_secs(3);

/// Requests that may fail at cut processes, beside one in fifty.
const FAILED_REQUESTS: usize = 10;

/// Cut of a process from all workers.
pub struct ProcessCut {
    process: usize,
    started: time::Instant,
    ended: time::Instant,
}

/// First attempts at some processes.
#[derive(Default)]
struct AttemptCount {
    all: usize,
    served: usize,
}

impl AttemptCount {
    fn count(&mut self, record: &caller_load::CallerRecord) {
        let is_served = record
            .answer
            .as_ref()
            .is_some_and(|answer| answer.status == 200 && answer.complete);
        self.all += 1;
        self.served += usize::from(is_served);
    }

    fn share(&self) -> f64 {
        self.served as f64 / self.all.max(1) as f64
    }
}

impl soak_run::SoakRun {
    /// Cuts a process off from all workers for a time, while other faults go on: its connections are
    /// reset, or fall silent.
    pub fn cut_process(&mut self, number: usize) {
        let modes = [
            fault_proxy::ProxyMode::Reset,
            fault_proxy::ProxyMode::Silent,
        ];
        let mode = modes.choose(&mut self.random).copied();
        let duration = time::Duration::from_millis(self.random.random_range(500..5_000));
        let source = self.processes[number].ip.into();
        for proxy in &self.proxies {
            proxy.cut(source, mode);
        }
        let proxies = self.proxies.clone();
        tokio::spawn(async move {
            tokio::time::sleep(duration).await;
            for proxy in &proxies {
                proxy.cut(source, None);
            }
        });
        let started = time::Instant::now();
        self.cuts.push(ProcessCut {
            process: number,
            started,
            ended: started + duration,
        });
        self.process_faults.push(process_fault::ProcessFault {
            process: number,
            started,
            ended: started + duration,
        });
    }

    /// Returns the violations that first attempts at cut processes show, beside those at the others at
    /// the same time.
    pub fn cut_violations(&self, records: &[caller_load::CallerRecord]) -> Vec<String> {
        let cuts = self.cuts.iter();
        cuts.filter_map(|cut| self.cut_violation(cut, records))
            .collect()
    }

    fn cut_violation(
        &self,
        cut: &ProcessCut,
        records: &[caller_load::CallerRecord],
    ) -> Option<String> {
        let window = cut.started + STABLE_TIME..cut.ended;
        let mut at_cut = AttemptCount::default();
        let mut at_others = AttemptCount::default();
        let in_window: Vec<_> = records
            .iter()
            .filter(|record| window.contains(&record.sent_at))
            .filter(|record| !record.id.starts_with(caller_load::POISON_PREFIX))
            .collect();
        // With many processes each has callers of one path alone.
        let is_at_cut = |path| {
            let mut at_cut = in_window.iter();
            at_cut.any(|record| record.process == cut.process && record.path == path)
        };
        for record in in_window.iter().filter(|record| is_at_cut(record.path)) {
            if record.process == cut.process {
                if !self.has_other_fault(cut, record.sent_at) {
                    at_cut.count(record);
                }
            } else if !self.is_disturbed(record.process, record.sent_at) {
                at_others.count(record);
            }
        }
        let failed = at_cut.all - at_cut.served;
        let is_broken = at_cut.share() < at_others.share() * 2.0 / 3.0
            && failed > FAILED_REQUESTS + at_cut.all / 50;
        is_broken.then(|| {
            format!(
                "a cut process served {} of {} requests, the others {} of {}",
                at_cut.served, at_cut.all, at_others.served, at_others.all
            )
        })
    }

    /// Returns whether a fault of its own, other than the cut, disturbs the cut process.
    fn has_other_fault(&self, cut: &ProcessCut, at: time::Instant) -> bool {
        let mut faults = self.process_faults.iter();
        faults.any(|fault| {
            fault.process == cut.process && fault.started != cut.started && fault.disturbs(at)
        })
    }

    /// Returns whether a fault of a process disturbs its requests.
    pub fn is_disturbed(&self, process: usize, at: time::Instant) -> bool {
        let mut faults = self.process_faults.iter();
        faults.any(|fault| fault.process == process && fault.disturbs(at))
    }
}
