//! The W3C trace context of a request.

use std::fmt;

/// Name of the header field that carries a [`TraceParent`].
pub const TRACE_HEADER: &str = "traceparent";

/// The W3C trace context of a request: which trace, and which span is the parent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TraceParent {
    /// Identifies the trace; never zero.
    pub trace: u128,
    /// Identifies the parent span; never zero.
    pub span: u64,
    /// Whether the caller records the trace.
    pub sampled: bool,
}

impl TraceParent {
    /// Reads a header field of version 00; anything else is `None`.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let mut fields = text.split('-');
        let (version, trace, span, flags) = (
            fields.next()?,
            fields.next()?,
            fields.next()?,
            fields.next()?,
        );
        let is_shaped =
            version == "00" && trace.len() == 32 && span.len() == 16 && flags.len() == 2;
        if !is_shaped || fields.next().is_some() {
            return None;
        }
        let parent = Self {
            trace: u128::from_str_radix(trace, 16).ok()?,
            span: u64::from_str_radix(span, 16).ok()?,
            sampled: u8::from_str_radix(flags, 16).ok()? & 1 == 1,
        };
        (parent.trace != 0 && parent.span != 0).then_some(parent)
    }

    /// Returns the context of the next hop: the same trace with a span of its own.
    #[must_use]
    pub fn child(self) -> Self {
        let mixed = self.span ^ self.trace as u64;
        let span = mixed.wrapping_mul(0x9E37_79B9_7F4A_7C15).rotate_left(29);
        Self {
            span: span.max(1),
            ..self
        }
    }
}

impl fmt::Display for TraceParent {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let flags = u8::from(self.sampled);
        write!(
            formatter,
            "00-{:032x}-{:016x}-{flags:02x}",
            self.trace, self.span
        )
    }
}
