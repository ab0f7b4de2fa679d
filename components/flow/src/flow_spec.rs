//! What is known of a model request.

/// What is known of a model request when it arrives.
#[derive(Clone, Debug, Eq, PartialEq, bon::Builder)]
#[builder(on(_, into))]
pub struct FlowSpec {
    /// The request.
    pub request: ids::RequestId,
    /// Workspace of the caller.
    pub workspace: ids::WorkspaceName,
    /// Class of the request.
    pub class: ids::ClassName,
    /// Model asked for.
    pub model: ids::ModelName,
    /// Adapter asked for.
    pub adapter: Option<ids::AdapterName>,
    /// Length of the prompt, estimated, in tokens.
    pub prompt_tokens: u32,
    /// Largest output the caller allows, in tokens.
    pub max_tokens: u32,
    /// Hashes of the prompt's leading blocks, longest prefix last.
    #[builder(default)]
    pub prefix_blocks: Vec<u64>,
}
