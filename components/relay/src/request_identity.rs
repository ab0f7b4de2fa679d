//! Hashes by which a request that comes again is recognized.

use std::net;

/// Parts of a request that stay the same when it comes again under another id.
#[derive(Clone, Copy, Debug, bon::Builder)]
pub struct RequestParts<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Host without a port.
    pub host: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Address of the caller.
    pub caller: net::IpAddr,
    /// Model and segments of a prompt; empty for a call.
    #[builder(default)]
    pub prompt: [&'a [u8]; 2],
    /// Body.
    pub body: &'a [u8],
}

/// Hashes by which a request that comes again is recognized, each without one of the parts that may
/// differ.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RequestIdentity {
    /// Hash of the content, the same for all callers.
    pub content: u64,
    /// Hash of path, caller and body, the same for all queries.
    pub by_caller: u64,
    /// Hash of path and body, the same for all callers and queries.
    pub by_path: u64,
}

impl RequestIdentity {
    /// Computes the hashes of a request.
    #[must_use]
    pub fn new(parts: &RequestParts<'_>) -> Self {
        let path = parts.target.split('?').next().unwrap_or_default();
        let caller = parts.caller.to_string();
        let hash = |target: &str, caller: &str, prompt: &[&[u8]]| {
            let head = [parts.method, parts.host, target, caller];
            let head = head.iter().map(|part| part.as_bytes());
            request_hash(head.chain(prompt.iter().copied()).chain([parts.body]))
        };
        Self {
            content: hash(parts.target, "", &parts.prompt),
            by_caller: hash(path, &caller, &[]),
            by_path: hash(path, "", &[]),
        }
    }

    /// Returns the hashes of a request of a workspace, which counts as its caller.
    #[must_use]
    pub fn of_workspace(self, workspace: &ids::WorkspaceName) -> Self {
        let path_hash = self.by_path.to_be_bytes();
        let parts = [path_hash.as_slice(), workspace.as_str().as_bytes()];
        Self {
            by_caller: request_hash(parts.into_iter()),
            ..self
        }
    }

    /// Returns the hashes as suspects of crashes.
    #[must_use]
    pub const fn suspects(&self) -> [u64; 3] {
        [self.content, self.by_caller, self.by_path]
    }
}

/// Returns the hash of the parts of a request; their lengths keep them apart.
fn request_hash<'a>(parts: impl Iterator<Item = &'a [u8]>) -> u64 {
    let mut hasher = xxhash_rust::xxh3::Xxh3::new();
    for part in parts {
        hasher.update(&part.len().to_be_bytes());
        hasher.update(part);
    }
    hasher.digest()
}
