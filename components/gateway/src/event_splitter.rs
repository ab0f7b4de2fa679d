//! Splits a stream of events into whole events.

/// One event of a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StreamEvent {
    /// Its bytes, the empty line at its end included.
    pub bytes: bytes::Bytes,
    /// Its number, when it has one.
    pub number: Option<u64>,
}

/// Splits a stream of events into whole events, so that none is passed on in part.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: bytes::BytesMut,
    searched: usize,
}

impl EventSplitter {
    /// Adds bytes as they come.
    pub fn push(&mut self, piece: &[u8]) {
        self.pending.extend_from_slice(piece);
    }

    /// Returns whether a whole event is there.
    pub fn has_event(&mut self) -> bool {
        self.find_end().is_some()
    }

    /// Takes the next whole event out.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let end = self.find_end()?;
        self.searched = 0;
        let bytes = self.pending.split_to(end).freeze();
        let number = event_number(&bytes);
        Some(StreamEvent { bytes, number })
    }

    /// Returns whether no bytes wait for the rest of their event.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    fn find_end(&mut self) -> Option<usize> {
        let end = event_end(&self.pending, self.searched.saturating_sub(3));
        if end.is_none() {
            self.searched = self.pending.len();
        }
        end
    }
}

/// Returns the end of the first event, searching for its empty line from `from`.
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
