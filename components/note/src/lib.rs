//! Release notes: the YAML format, its validation and the state that results from the notes.
//!
//! A release note adds, changes and withdraws models, engines, services, backend servers, request
//! classes and workspaces. Applying valid notes in order yields the [`StateInForce`].

mod call_class;
mod check_text;
mod class_target;
mod engine_entry;
mod engine_role;
mod entry_kind;
mod entry_map;
mod fault_location;
mod fencing_support;
mod generation_class;
mod model_entry;
mod note_check;
mod note_entries;
mod note_entry;
mod note_error;
mod note_fault;
mod note_names;
mod note_part;
mod note_report;
mod note_section;
mod part_buffer;
mod range_check;
mod reference_check;
mod refusal_reason;
mod release_note;
mod request_class;
mod route_rule;
mod server_entry;
mod service_entry;
mod state_digest;
mod state_in_force;
mod state_split;
mod workspace_entry;
mod yaml_locations;

pub use call_class::CallClass;
pub use check_text::{check, schema};
pub use class_target::ClassTarget;
pub use engine_entry::EngineEntry;
pub use engine_role::EngineRole;
pub use entry_kind::EntryKind;
pub use entry_map::EntryMap;
pub use fault_location::FaultLocation;
pub use fencing_support::FencingSupport;
pub use generation_class::GenerationClass;
pub use model_entry::ModelEntry;
pub use note_check::faults;
pub use note_entries::NoteEntries;
pub use note_entry::NoteEntry;
pub use note_error::NoteError;
pub use note_fault::NoteFault;
pub use note_names::NoteNames;
pub use note_part::NotePart;
pub use note_report::{LocatedFault, NoteReport};
pub use note_section::NoteSection;
pub use part_buffer::PartBuffer;
pub use refusal_reason::RefusalReason;
pub use release_note::ReleaseNote;
pub use request_class::RequestClass;
pub use route_rule::RouteRule;
pub use server_entry::ServerEntry;
pub use service_entry::ServiceEntry;
pub use state_digest::StateDigest;
pub use state_in_force::StateInForce;
pub use state_split::{join, split};
pub use workspace_entry::WorkspaceEntry;

/// Size of one piece, the unit of KV cache capacity in a note, in tokens.
pub const KV_PIECE_TOKENS: u32 = 2_000;

/// Maximum size of a release note, in bytes.
pub const NOTE_LIMIT_BYTES: usize = 1_000_000;

/// Maximum number of parts that a base note may be split into.
pub const PART_LIMIT: u32 = 64;
