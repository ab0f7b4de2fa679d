//! Steps in which a connection ends.

/// Steps in which a connection ends before its client closes it; zero is none of them.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[repr(u8)]
pub(crate) enum CloseStep {
    /// Nothing more is read as a request; the answer to the last one may be sent.
    Refuse = 1,
    /// Nothing more is read or sent.
    Abort = 2,
}
