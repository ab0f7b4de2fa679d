//! The instances of a case, its fault and the search for leaks.

use std::{collections, time};

use crate::{study_case, study_fault, study_world};

/// Lag of load reports where that is the fault.
const LATE_REPORT_LAG: time::Duration = time::Duration::from_millis(2_500);

/// Time after which an ended request's memory counts as leaked.
const LEAK_AFTER: time::Duration = time::Duration::from_secs(5);

/// Returns the instances of a case, two or more in each data centre.
pub fn instances(case: &study_case::StudyCase) -> Vec<study_world::InstanceHost> {
    let figures = case.mix.figures();
    (0..u64::from(figures.instances))
        .map(|number| {
            let centre = number % u64::from(figures.data_centres);
            let port = 9_000 + u16::try_from(number).unwrap_or(0);
            let entry = border::InstanceEntry::builder()
                .id(ids::InstanceId(number + 1))
                .address(([127, 0, 0, 1], port))
                .region("region")
                .data_centre(format!("dc-{centre}"))
                .build();
            let config = control::CoreConfig::builder()
                .own(entry.clone())
                .incarnation(ids::Incarnation(1))
                .seed(case.seed.wrapping_mul(1_000) + number)
                .policy(case.policy)
                .build();
            study_world::InstanceHost {
                entry,
                core: Some(control::ControlCore::new(config)),
                scheduled: clock::Timestamp::MAX,
            }
        })
        .collect()
}

impl study_world::StudyWorld {
    /// Lets the case's fault happen.
    pub(crate) fn cause_fault(&mut self) {
        match self.case.fault {
            study_fault::StudyFault::DecodeEngineDies => {
                let last = self.engines.len() - 1;
                self.kill_engine(last);
            }
            study_fault::StudyFault::EntryDies => self.kill_instance(false),
            study_fault::StudyFault::OwnerDies => self.kill_instance(true),
            study_fault::StudyFault::LateReports => {
                let models = self
                    .engines
                    .iter_mut()
                    .filter_map(|host| host.model.as_mut());
                for model in models {
                    model.lag_reports(LATE_REPORT_LAG);
                }
            }
            study_fault::StudyFault::None | study_fault::StudyFault::CallersCancel => {}
        }
    }

    /// Counts the engine memory of requests that ended a while ago.
    pub(crate) fn inspect(&mut self) {
        let mut leaked = 0;
        let mut held: collections::BTreeMap<usize, u32> = collections::BTreeMap::new();
        for host in &self.engines {
            for entry in host.model.iter().flat_map(|model| model.running(self.now)) {
                if let Some(number) = self.request_numbers.get(&entry.request) {
                    *held.entry(*number).or_default() += entry.kv_pieces;
                }
            }
        }
        for (number, pieces) in held {
            let ended_at = self.traces[number].ended_at;
            if ended_at.is_some_and(|at| at + LEAK_AFTER <= self.now) {
                leaked += pieces;
            }
        }
        self.leaked_pieces = self.leaked_pieces.max(leaked);
    }

    fn kill_instance(&mut self, owner: bool) {
        let found = (0..self.instances.len()).find(|number| {
            let core = self.instances[*number].core.as_ref();
            core.is_some_and(|core| (core.owned_cells().count() > 0) == owner)
        });
        let Some(number) = found else {
            return;
        };
        self.instances[number].core = None;
        let now = self.now;
        for trace in &mut self.traces {
            if trace.core == Some(number) && trace.ended_at.is_none() {
                trace.ended_at = Some(now);
            }
        }
    }
}
