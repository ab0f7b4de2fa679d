//! Splits a stream of server-sent events into complete events.

/// Maximum size of an event in bytes. What is longer is no event, and may have no end.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// One server-sent event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StreamEvent {
    /// The bytes of the event, including the empty line at its end.
    pub bytes: bytes::Bytes,
    /// Number in the `id` field, if there is one.
    pub number: Option<u64>,
}

/// Splits a stream of server-sent events into complete events, so that no partial event is relayed.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: bytes::BytesMut,
    /// Number of leading bytes of `pending` that were searched and contain no end of an event.
    searched: usize,
}

impl EventSplitter {
    /// Appends received bytes.
    ///
    /// # Errors
    ///
    /// Returns `Malformed` when the bytes contain no end of an event within the maximum size.
    pub fn push(&mut self, chunk: &[u8]) -> Result<(), border::BorderError> {
        self.pending.extend_from_slice(chunk);
        if self.pending.len() > MAX_EVENT_BYTES && self.find_end().is_none() {
            return Err(border::BorderError::Malformed {
                detail: format!("an event exceeds {MAX_EVENT_BYTES} bytes"),
            });
        }
        Ok(())
    }

    /// Returns whether a complete event is available.
    pub fn has_event(&mut self) -> bool {
        self.find_end().is_some()
    }

    /// Removes and returns the next complete event.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let end = self.find_end()?;
        self.searched = 0;
        let bytes = self.pending.split_to(end).freeze();
        let number = event_number(&bytes);
        Some(StreamEvent { bytes, number })
    }

    /// Returns whether all received bytes have been returned as events.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    fn find_end(&mut self) -> Option<usize> {
        // The end of an event may begin within the last three searched bytes.
        let end = event_end(&self.pending, self.searched.saturating_sub(3));
        if end.is_none() {
            self.searched = self.pending.len();
        }
        end
    }
}

/// Returns the end of the first event; the search for the empty line starts at `from`.
fn event_end(bytes: &[u8], from: usize) -> Option<usize> {
    let tail = bytes.get(from..)?;
    tail.iter().enumerate().find_map(|(index, byte)| {
        let rest = tail.get(index + 1..)?;
        let length = match (byte, rest) {
            (b'\n', [b'\n', ..]) => 2,
            (b'\n', [b'\r', b'\n', ..]) => 3,
            _ => return None,
        };
        Some(from + index + length)
    })
}

fn event_number(bytes: &[u8]) -> Option<u64> {
    bytes
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))
        .and_then(|value| std::str::from_utf8(value).ok())
        .and_then(|value| value.trim().parse().ok())
}
