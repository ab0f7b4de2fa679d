//! Age of an idempotency key that contains its creation time.

use std::time;

/// Length of the text form of a UUID, in characters.
const UUID_LENGTH: usize = 36;

/// Positions of the hyphens in a UUID.
const HYPHEN_POSITIONS: [usize; 4] = [8, 13, 18, 23];

/// Position of the version digit in a UUID.
const VERSION_POSITION: usize = 14;

/// Returns the age of a key that is a UUID of version 7, which contains its creation time.
///
/// `wall_millis` is the current time, in milliseconds since the Unix epoch. Returns `None` for any
/// other key, and for a key with a creation time in the future, which is not reliable.
#[must_use]
pub fn key_age(key: &str, wall_millis: u64) -> Option<time::Duration> {
    let bytes = key.as_bytes();
    let hyphenated = HYPHEN_POSITIONS
        .iter()
        .all(|position| bytes.get(*position) == Some(&b'-'));
    let hexadecimal = bytes
        .iter()
        .enumerate()
        .all(|(position, byte)| HYPHEN_POSITIONS.contains(&position) || byte.is_ascii_hexdigit());
    let versioned = bytes.get(VERSION_POSITION) == Some(&b'7');
    if bytes.len() != UUID_LENGTH || !hyphenated || !hexadecimal || !versioned {
        return None;
    }
    let high = u64::from_str_radix(&key[..8], 16).ok()?;
    let low = u64::from_str_radix(&key[9..13], 16).ok()?;
    let created_millis = (high << 16) | low;
    let age = wall_millis.checked_sub(created_millis)?;
    Some(time::Duration::from_millis(age))
}
