//! Settings of an instance: their format, defaults and checks.
//!
//! [`InstanceSettings`] is read from a YAML file. Unknown keys are errors, and every problem names
//! the file, line, column and key, and how to mend it.

mod drain_settings;
mod instance_place;
mod instance_settings;
mod key_entry;
mod key_tree;
mod listen_addresses;
mod log_format;
mod log_level;
mod log_settings;
mod platform_addresses;
mod request_limits;
mod settings_error;
mod settings_problem;
mod settings_reader;
mod stage_timeouts;
mod tracing_settings;
mod value_check;

pub use drain_settings::DrainSettings;
pub use instance_place::InstancePlace;
pub use instance_settings::InstanceSettings;
pub use key_entry::{KeyEntry, key_entries};
pub use listen_addresses::ListenAddresses;
pub use log_format::LogFormat;
pub use log_level::LogLevel;
pub use log_settings::LogSettings;
pub use platform_addresses::PlatformAddresses;
pub use request_limits::RequestLimits;
pub use settings_error::SettingsError;
pub use settings_problem::SettingsProblem;
pub use stage_timeouts::StageTimeouts;
pub use tracing_settings::TracingSettings;
