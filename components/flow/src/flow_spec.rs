//! The parameters of a model request.

/// The parameters of a model request at its arrival.
#[derive(Clone, Debug, Eq, PartialEq, bon::Builder)]
#[builder(on(_, into))]
pub struct FlowSpec {
    /// Id of the request.
    pub request: ids::RequestId,
    /// Workspace of the caller.
    pub workspace: ids::WorkspaceName,
    /// Class of the request.
    pub class: ids::ClassName,
    /// Requested model.
    pub model: ids::ModelName,
    /// Requested adapter.
    pub adapter: Option<ids::AdapterName>,
    /// Estimated length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Largest output that the caller allows, in tokens.
    pub max_tokens: u32,
    /// Hashes of the prompt's leading blocks, ordered from the shortest prefix to the longest.
    #[builder(default)]
    pub prefix_blocks: Vec<u64>,
}
