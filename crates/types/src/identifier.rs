//! Identifiers.
//!
//! Names in declarations are hashed to 64 bits once, so that the cores compare and copy integers.
//! The settings check refuses two names of one kind that hash alike.

use serde::{Deserialize, Serialize};
use std::fmt;

macro_rules! name_identifier {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize,
            Deserialize,
        )]
        pub struct $name(pub u64);

        impl $name {
            /// The identifier of a declared name: the first 8 bytes of its BLAKE3 hash.
            pub fn from_name(name: &str) -> Self {
                $name(Digest::of(name.as_bytes()).prefix())
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(formatter, "{:016x}", self.0)
            }
        }
    };
}

name_identifier!(
    /// A tenant: the owner of an API key, a quota and a cache namespace.
    TenantId
);
name_identifier!(
    /// A model that callers ask for by name.
    ModelId
);
name_identifier!(
    /// A back end: an engine replica or an application replica.
    ReplicaId
);
name_identifier!(
    /// A zone: machines that fail together and are close to each other.
    ZoneId
);
name_identifier!(
    /// A process beside a caller.
    NodeId
);

/// Identifies one run of a process; a restart draws a new one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation(pub u64);

/// A version of a model's weights.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct WeightsVersion(pub u32);

/// Position of a configuration in the order that the control group accepted; 0 is the seed that
/// processes start from.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision(pub u64);

/// One request of a caller, unique within an incarnation of a node.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RequestId(pub u64);

/// One try of a request at one back end, unique within an incarnation of a node.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct AttemptId(pub u64);

impl fmt::Display for RequestId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "r{}", self.0)
    }
}

impl fmt::Display for AttemptId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "a{}", self.0)
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

/// The first 16 bytes of a BLAKE3 hash.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Digest(pub u128);

impl Digest {
    /// Hashes `bytes`.
    pub fn of(bytes: &[u8]) -> Self {
        Self::from_hash(blake3::hash(bytes))
    }

    /// Hashes several byte strings; each is preceded by its length so that boundaries count.
    pub fn of_parts(parts: &[&[u8]]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        Self::from_hash(hasher.finalize())
    }

    /// The first 8 bytes of the hash.
    pub fn prefix(self) -> u64 {
        (self.0 >> 64) as u64
    }

    fn from_hash(hash: blake3::Hash) -> Self {
        let mut first = [0u8; 16];
        first.copy_from_slice(&hash.as_bytes()[..16]);
        Digest(u128::from_be_bytes(first))
    }
}

/// What makes two tries the same request: who asks, for what, with which body. Identifiers that a caller
/// draws anew for each try don't count.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RequestDigest(pub u64);

impl fmt::Display for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// A tenant's key of a call that may run at most once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ActionKey {
    /// Whose key it is: equal keys of two tenants are two calls.
    pub tenant: TenantId,
    /// Hash of the text that the caller sent in `Idempotency-Key`.
    pub key: Digest,
}
