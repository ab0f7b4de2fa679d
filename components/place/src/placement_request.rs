//! A placement request.

use std::time;

/// A placement request from an entry instance to a cell owner.
#[derive(Clone, Debug, Eq, PartialEq, bon::Builder)]
#[builder(on(_, into))]
pub struct PlacementRequest {
    /// Cell in which to place the request.
    pub cell: ids::CellId,
    /// Request to place.
    pub request: ids::RequestId,
    /// Attempt to place.
    pub attempt: ids::AttemptNumber,
    /// Class of the request.
    pub class: ids::ClassName,
    /// Workspace of the caller.
    pub workspace: ids::WorkspaceName,
    /// Requested model.
    pub model: ids::ModelName,
    /// Estimated length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Largest output that the caller allows, in tokens.
    pub max_tokens: u32,
    /// Hashes of the prompt's leading blocks, ordered from the shortest prefix to the longest.
    #[builder(default)]
    pub prefix_blocks: Vec<u64>,
    /// Time until the deadline of the first token.
    pub first_token_within: time::Duration,
    /// Whether prefill work of an earlier attempt was lost; such a retry uses the retry budget.
    #[builder(default)]
    pub is_retry: bool,
}
