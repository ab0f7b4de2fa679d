//! One case of the study.

use crate::{site_mix, study_fault};

/// One case of the study.
#[derive(Clone, Copy, Debug, serde::Serialize)]
pub struct StudyCase {
    /// How requests are placed.
    #[serde(serialize_with = "policy_name")]
    pub policy: place::PolicyKind,
    /// Site and its requests.
    pub mix: site_mix::SiteMix,
    /// Offered load, as a share of the capacity.
    pub load: f64,
    /// What fails.
    pub fault: study_fault::StudyFault,
    /// Seed of the arrivals and of every machine.
    pub seed: u64,
}

fn policy_name<Target: serde::Serializer>(
    policy: &place::PolicyKind,
    serializer: Target,
) -> Result<Target::Ok, Target::Error> {
    serializer.serialize_str(policy.into())
}
