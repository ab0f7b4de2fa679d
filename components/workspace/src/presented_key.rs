//! What a request presents to show its workspace.

use crate::key_digest;

/// Name of the scheme of a field that holds a key, in any letter case.
const KEY_SCHEME: &[u8] = b"bearer";

/// What a request presents to show its workspace. The key itself isn't kept.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum PresentedKey {
    /// No key.
    #[default]
    Absent,
    /// Several keys, or an empty one: belongs to no workspace.
    Malformed,
    /// One key.
    Present(key_digest::KeyDigest),
}

impl PresentedKey {
    /// Reads the values of the fields in which a request may hold a key.
    ///
    /// A single value of another scheme isn't a key. Of several values none is preferred, since
    /// another reader of the request may prefer the other one.
    #[must_use]
    pub fn read<'a>(values: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let mut values = values.into_iter();
        let Some(value) = values.next() else {
            return Self::Absent;
        };
        if values.next().is_some() {
            return Self::Malformed;
        }
        let value = value.trim_ascii();
        let scheme_end = value
            .iter()
            .position(u8::is_ascii_whitespace)
            .unwrap_or(value.len());
        let (scheme, key) = value.split_at(scheme_end);
        if !scheme.eq_ignore_ascii_case(KEY_SCHEME) {
            return Self::Absent;
        }
        match key.trim_ascii() {
            [] => Self::Malformed,
            key => Self::Present(key_digest::KeyDigest::of(key)),
        }
    }
}
