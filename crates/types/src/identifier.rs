//! Identifiers.
//!
//! Declared names are hashed to 64-bit identifiers.

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
    /// A back end: a replica of an engine or of an application.
    ReplicaId
);
name_identifier!(
    /// A zone: machines that are close to each other and can fail together.
    ZoneId
);
name_identifier!(
    /// A node: the router process next to a caller.
    NodeId
);

/// Identifies one run of a process; each restart draws a new value.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation(pub u64);

/// A version of a model's weights.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct WeightsVersion(pub u32);

/// Revision of the configuration, in the order accepted by the control group; 0 is the initial
/// configuration.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision(pub u64);

/// Identifies a request, unique within an incarnation of a node.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RequestId(pub u64);

/// Identifies an attempt of a request at a back end, unique within an incarnation of a node.
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

    /// Hashes byte strings, each preceded by its length.
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

/// Digest of a request's caller, target and body. Two attempts of the same request have the same
/// digest; identifiers that differ between attempts are not included.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RequestDigest(pub u64);

impl fmt::Display for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Idempotency key of a call, scoped to a tenant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ActionKey {
    /// Tenant that owns the key.
    pub tenant: TenantId,
    /// Hash of the `Idempotency-Key` header.
    pub key: Digest,
}
