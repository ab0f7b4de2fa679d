//! A request for a placement.

use std::time;

/// A request for a placement, from an entry instance to a cell owner.
#[derive(Clone, Debug, Eq, PartialEq, bon::Builder)]
#[builder(on(_, into))]
pub struct PlacementRequest {
    /// Cell that is asked.
    pub cell: ids::CellId,
    /// Request to place.
    pub request: ids::RequestId,
    /// Attempt to place.
    pub attempt: ids::AttemptNumber,
    /// Class of the request.
    pub class: ids::ClassName,
    /// Workspace of the caller.
    pub workspace: ids::WorkspaceName,
    /// Model asked for.
    pub model: ids::ModelName,
    /// Length of the prompt, estimated, in tokens.
    pub prompt_tokens: u32,
    /// Largest output the caller allows, in tokens.
    pub max_tokens: u32,
    /// Hashes of the prompt's leading blocks, longest prefix last.
    #[builder(default)]
    pub prefix_blocks: Vec<u64>,
    /// Time left until the first token is due.
    pub first_token_within: time::Duration,
    /// Whether prefill was spent on an earlier attempt, which draws on the retry budget.
    #[builder(default)]
    pub is_retry: bool,
}
