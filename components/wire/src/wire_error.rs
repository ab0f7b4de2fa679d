//! Errors of decoding a message.

/// Errors of decoding a message.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error, miette::Diagnostic)]
pub enum WireError {
    /// A field that must be there is absent.
    #[error("{field} is missing")]
    Missing {
        /// The field.
        field: &'static str,
    },
    /// A field of fixed length has another length.
    #[error("{field} has {found} bytes in place of {expected}")]
    Length {
        /// The field.
        field: &'static str,
        /// Length that was found, in bytes.
        found: usize,
        /// Length that the field must have, in bytes.
        expected: usize,
    },
    /// An address isn't an IP address with a port.
    #[error("the address is not an IP address with a port")]
    Address,
    /// A named value isn't one of those known here.
    #[error("{field} has the unknown value {found}")]
    UnknownValue {
        /// The field.
        field: &'static str,
        /// Number of the value that was found.
        found: i32,
    },
}
