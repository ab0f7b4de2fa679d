//! Workspaces: who is billed, what each may ask for and which keys belong to whom.
//!
//! No I/O and no clock. Keys are never kept, only their digests.

mod key_digest;
mod presented_key;
mod token_limit;
mod workspace_rule;
mod workspace_table;

pub use key_digest::KeyDigest;
pub use presented_key::PresentedKey;
pub use token_limit::{LimitUnit, TokenLimit};
pub use workspace_rule::WorkspaceRule;
pub use workspace_table::WorkspaceTable;
