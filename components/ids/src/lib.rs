//! Typed identifiers shared by every crate of the router.

mod attempt_number;
mod cell_id;
mod incarnation;
mod instance_id;
mod lease_id;
mod name;
mod request_id;
mod revision;

pub use attempt_number::AttemptNumber;
pub use cell_id::CellId;
pub use incarnation::Incarnation;
pub use instance_id::InstanceId;
pub use lease_id::LeaseId;
pub use name::{
    AdapterName, ClassName, DataCentreName, ModelName, RegionName, ServerName, ServiceName,
    SoftwareVersion, VersionName, WorkspaceName,
};
pub use request_id::RequestId;
pub use revision::Revision;
