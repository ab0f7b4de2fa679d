//! What instances tell each other about streams whose software version no instance knows.

use std::time;

use crate::software_key;

/// What an instance tells about streams whose software version no instance knows. Empty, and not
/// sent, unless instances have started recently.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SearchNotice {
    /// Services whose engines have to be asked about streams, by [`crate::service_hash`].
    pub sought: Vec<u64>,
    /// Services whose engines the sender has asked, and of which it has told everything.
    pub searched: Vec<u64>,
    /// Time for which the sender knows all software versions of the list; zero if it doesn't tell.
    pub span: time::Duration,
    /// The versions that the list has contained within `span`.
    pub versions: Vec<software_key::SoftwareKey>,
    /// Longest time for which a stream may be open by the configurations of before, as far as the sender knows
    /// them; told with `span` and `searched`.
    pub lifetime: time::Duration,
}

impl SearchNotice {
    /// Returns whether the notice tells nothing.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.sought.is_empty() && self.searched.is_empty() && self.span.is_zero()
    }
}
