//! The age that an idempotency key tells of itself.

use std::time;

/// Length of a UUID as text, in characters.
const UUID_LENGTH: usize = 36;

/// Positions of the hyphens in a UUID.
const HYPHENS: [usize; 4] = [8, 13, 18, 23];

/// Position of the digit that tells a UUID's version.
const VERSION_POSITION: usize = 14;

/// Returns the age of a key that is a UUID of version 7, which holds when it was made.
///
/// `wall_millis` is the time now, in milliseconds since the Unix epoch. Returns `None` for any
/// other key and for one from the future, whose age can't be trusted.
#[must_use]
pub fn key_age(key: &str, wall_millis: u64) -> Option<time::Duration> {
    let bytes = key.as_bytes();
    let hyphenated = HYPHENS
        .iter()
        .all(|position| bytes.get(*position) == Some(&b'-'));
    let hexadecimal = bytes
        .iter()
        .enumerate()
        .all(|(position, byte)| HYPHENS.contains(&position) || byte.is_ascii_hexdigit());
    let versioned = bytes.get(VERSION_POSITION) == Some(&b'7');
    if bytes.len() != UUID_LENGTH || !hyphenated || !hexadecimal || !versioned {
        return None;
    }
    let high = u64::from_str_radix(&key[..8], 16).ok()?;
    let low = u64::from_str_radix(&key[9..13], 16).ok()?;
    let made_millis = (high << 16) | low;
    let age = wall_millis.checked_sub(made_millis)?;
    Some(time::Duration::from_millis(age))
}
