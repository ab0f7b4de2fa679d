//! The command line of the study.

use strum::IntoEnumIterator as _;

use crate::{case_result, result_table, site_mix, study_case, study_fault, study_world};

/// Offered loads, as shares of the capacity.
const LOADS: [f64; 4] = [0.6, 0.9, 1.0, 1.3];

/// Measures the placement policies over engine models under virtual time.
#[derive(Clone, Debug, argh::FromArgs)]
pub struct StudyOptions {
    /// first seed
    #[argh(option, default = "1")]
    pub seed: u64,
    /// number of seeds, counted from the first
    #[argh(option, default = "1")]
    pub seeds: u64,
    /// only this policy
    #[argh(option)]
    pub policy: Option<place::PolicyKind>,
    /// only this mix
    #[argh(option)]
    pub mix: Option<site_mix::SiteMix>,
    /// only this load
    #[argh(option)]
    pub load: Option<f64>,
    /// only this fault
    #[argh(option)]
    pub fault: Option<study_fault::StudyFault>,
    /// print one JSON object a case instead of a table
    #[argh(switch)]
    pub json: bool,
    /// print the steps of this many requests that missed a target
    #[argh(option, default = "0")]
    pub traces: usize,
}

/// Runs the study with the options of the command line.
pub fn run() {
    let options: StudyOptions = argh::from_env();
    let cases = options.cases();
    if options.traces > 0 {
        for case in cases {
            print_traces(case, options.traces);
        }
        return;
    }
    let results: Vec<case_result::CaseResult> = cases
        .into_iter()
        .map(|case| study_world::StudyWorld::new(case).run())
        .collect();
    if !options.json {
        result_table::print(&results);
        return;
    }
    for result in &results {
        match serde_json::to_string(result) {
            Ok(line) => println!("{line}"),
            Err(error) => eprintln!("a result can't be printed: {error}"),
        }
    }
}

impl StudyOptions {
    /// Returns the cases that were asked for.
    #[must_use]
    pub fn cases(&self) -> Vec<study_case::StudyCase> {
        let mut cases = Vec::new();
        for mix in site_mix::SiteMix::iter().filter(|mix| wants(self.mix, *mix)) {
            for load in LOADS.into_iter().filter(|load| wants(self.load, *load)) {
                let faults = study_fault::StudyFault::iter();
                for fault in faults.filter(|fault| wants(self.fault, *fault)) {
                    let policies = place::PolicyKind::iter();
                    for policy in policies.filter(|policy| wants(self.policy, *policy)) {
                        cases.extend((self.seed..self.seed + self.seeds).map(|seed| {
                            study_case::StudyCase {
                                policy,
                                mix,
                                load,
                                fault,
                                seed,
                            }
                        }));
                    }
                }
            }
        }
        cases
    }
}

fn wants<Value: PartialEq>(wanted: Option<Value>, value: Value) -> bool {
    wanted.is_none_or(|wanted| wanted == value)
}

fn print_traces(case: study_case::StudyCase, count: usize) {
    let traces = study_world::StudyWorld::new(case).into_traces();
    let missed = traces
        .iter()
        .filter(|trace| !trace.is_good() && trace.plan.leaves_at.is_none());
    for trace in missed.take(count) {
        let plan = &trace.plan;
        println!(
            "prompt {} output {} first {:?} ms pace {:?} ms refused {:?}",
            plan.prompt_tokens,
            plan.output_tokens,
            trace.first_ms(),
            trace.pace_ms(),
            trace.refused,
        );
        for (at, step) in &trace.steps {
            let since = at.since(plan.at).as_secs_f64() * 1e3;
            println!("  {since:8.1} ms {step}");
        }
    }
}
