//! Evidence that a server didn't run a request.

/// What shows that a server didn't run a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum RefusalProof {
    /// No byte of the request was sent.
    Unsent,
    /// The server refused the request and named it.
    Named,
    /// The server refused a request without naming it. The refusal may be a copy of an earlier one.
    Unnamed,
}

impl RefusalProof {
    /// Returns whether the request can't have run.
    #[must_use]
    pub const fn is_conclusive(self) -> bool {
        match self {
            Self::Unsent | Self::Named => true,
            Self::Unnamed => false,
        }
    }
}

/// Evidence of a failed attempt that the request didn't run, with the connection on which it arrived.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RunEvidence {
    pub(crate) proof: Option<RefusalProof>,
    pub(crate) history: Option<border::ConnectionUse>,
}

impl RunEvidence {
    /// Returns whether the request can't have run.
    pub(crate) fn proves_not_run(&self) -> bool {
        self.proof.is_some_and(RefusalProof::is_conclusive)
    }
}

impl From<&border::BorderError> for RunEvidence {
    fn from(error: &border::BorderError) -> Self {
        let is_unsent = matches!(error, border::BorderError::NotSent { .. });
        Self {
            proof: is_unsent.then_some(RefusalProof::Unsent),
            history: None,
        }
    }
}
