//! Digest of a workspace's key.

use std::{fmt, num, str};

/// Length of a digest in bytes.
const DIGEST_BYTES: usize = 16;

/// Digest of a workspace's key, the same on all instances. The key can't be derived from it.
///
/// It is written as 32 hexadecimal digits.
#[derive(
    Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, serde::Deserialize, serde::Serialize,
)]
#[serde(try_from = "String", into = "String")]
pub struct KeyDigest(u128);

impl KeyDigest {
    /// Returns the digest of a key.
    #[must_use]
    pub fn of(key: &[u8]) -> Self {
        let mut digest = [0; DIGEST_BYTES];
        blake3::Hasher::new()
            .update(key)
            .finalize_xof()
            .fill(&mut digest);
        Self(u128::from_be_bytes(digest))
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}

impl str::FromStr for KeyDigest {
    type Err = num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u128::from_str_radix(text, 16).map(Self)
    }
}

impl TryFrom<String> for KeyDigest {
    type Error = num::ParseIntError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<KeyDigest> for String {
    fn from(digest: KeyDigest) -> Self {
        digest.to_string()
    }
}
