//! Splits a stream of server-sent events into complete events.

/// Maximum size of an event in bytes. What is longer is no event, and may have no end.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// One block of a stream, which ends with an empty line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StreamEvent {
    /// The bytes of the block, including the comments before it and the empty line at its end.
    pub bytes: bytes::Bytes,
    /// Number in the `id` field. `None` if the block is no event: it has no such number, or lines that
    /// aren't fields, like the head of another answer.
    pub number: Option<u64>,
}

/// Splits a stream of server-sent events into complete events, so that no partial event is relayed.
/// Comments stay with the event that follows.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: bytes::BytesMut,
    /// Number of leading bytes of `pending` that are comments.
    comments: usize,
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

    /// Removes and returns the next complete event.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let end = self.find_end()?;
        let bytes = self.pending.split_to(end).freeze();
        let number = bytes.get(self.comments..).and_then(event_number);
        self.comments = 0;
        self.searched = 0;
        Some(StreamEvent { bytes, number })
    }

    /// Returns the number of received bytes that haven't been returned.
    #[must_use]
    pub fn pending_bytes(&self) -> usize {
        self.pending.len()
    }

    /// Returns whether all received bytes have been returned as events, but for comments.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.pending.len() == self.comments
    }

    /// Removes and returns the comments after the last event.
    pub fn take_comments(&mut self) -> bytes::Bytes {
        let comments = std::mem::take(&mut self.comments);
        self.searched = self.searched.saturating_sub(comments);
        self.pending.split_to(comments).freeze()
    }

    /// Returns the end of the first block that isn't a comment.
    fn find_end(&mut self) -> Option<usize> {
        loop {
            // The end of a block may begin within the last three searched bytes.
            let from = self.searched.saturating_sub(3).max(self.comments);
            let Some(end) = event_end(&self.pending, from) else {
                self.searched = self.pending.len();
                return None;
            };
            let block = self.pending.get(self.comments..end)?;
            if !lines(block).all(is_comment) {
                return Some(end);
            }
            self.comments = end;
            self.searched = end;
        }
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

/// Returns the number of an event, or `None` if the block is no event.
fn event_number(block: &[u8]) -> Option<u64> {
    let mut number = None;
    for line in lines(block).filter(|line| !is_comment(line)) {
        let (name, value) = field(line)?;
        if name == b"id" {
            let parsed = std::str::from_utf8(value).ok()?.trim().parse().ok()?;
            if number.replace(parsed).is_some() {
                return None;
            }
        }
    }
    number
}

/// Returns the lines of a block that aren't empty.
fn lines(block: &[u8]) -> impl Iterator<Item = &[u8]> {
    block
        .split(|byte| *byte == b'\n')
        .map(|line| line.strip_suffix(b"\r").unwrap_or(line))
        .filter(|line| !line.is_empty())
}

fn is_comment(line: &[u8]) -> bool {
    line.starts_with(b":")
}

/// Returns the name and the value of a field, or `None` if the line is no field of an event.
fn field(line: &[u8]) -> Option<(&[u8], &[u8])> {
    let end = line.iter().position(|byte| *byte == b':');
    let (name, value) = line.split_at(end.unwrap_or(line.len()));
    let is_name = name
        .iter()
        .all(|byte| byte.is_ascii_lowercase() || *byte == b'-');
    is_name.then(|| (name, value.strip_prefix(b":").unwrap_or(value)))
}
