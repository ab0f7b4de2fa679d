//! The border to the configuration service.

use crate::{border_error, note_value};

/// Reads and watches release notes; each method is one call to the service.
#[async_trait::async_trait]
pub trait ConfigService: Send + Sync {
    /// Returns the notes after `revision`, oldest first, starting at a base note if needed.
    async fn read(
        &self,
        revision: ids::Revision,
    ) -> Result<Vec<note_value::NoteValue>, border_error::BorderError>;

    /// Waits until a revision above `revision` is served or the service's own wait ends.
    async fn watch(
        &self,
        revision: ids::Revision,
    ) -> Result<Vec<note_value::NoteValue>, border_error::BorderError>;
}
