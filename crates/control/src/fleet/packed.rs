//! Parts of views that are encoded once for all requesters.
//!
//! After a restart of the fleet all gateways need the same lists. Encoding them for each one would
//! keep a member busy for minutes, and the encoded lists that wait to be sent would fill its memory.

use super::columns::ReplicaColumns;
use super::protocol::{FleetView, GatewayReport, InstanceStatus};
use super::state::{Document, RemovedInstance};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;
use std::marker::PhantomData;
use std::sync::Arc;
use topazmount_types::Instance;
use topazmount_wire::{FrameError, compress, decode_payload, decompress, encode_payload};

/// An encoded and compressed value. Copies share its bytes.
pub struct Packed<T> {
    bytes: Arc<[u8]>,
    content: PhantomData<fn() -> T>,
}

impl<T> Packed<T> {
    /// Length in bytes.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether it has no bytes, which no value encodes to.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }
}

impl<T: Serialize> Packed<T> {
    /// Encodes a value.
    pub fn new(value: &T) -> Self {
        let payload = encode_payload(value).expect("a list is plain data");
        Packed { bytes: compress(&payload).into(), content: PhantomData }
    }
}

impl<T: DeserializeOwned> Packed<T> {
    /// Decodes the value.
    ///
    /// # Errors
    /// [`FrameError`] if the bytes are not a value of this type.
    pub fn unpack(&self) -> Result<T, FrameError> {
        decode_payload(&decompress(&self.bytes)?)
    }
}

impl<T> Clone for Packed<T> {
    fn clone(&self) -> Self {
        Packed { bytes: self.bytes.clone(), content: PhantomData }
    }
}

impl<T> PartialEq for Packed<T> {
    fn eq(&self, other: &Self) -> bool {
        self.bytes == other.bytes
    }
}

impl<T> Eq for Packed<T> {}

impl<T> fmt::Debug for Packed<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Packed({} bytes)", self.bytes.len())
    }
}

impl<T> Serialize for Packed<T> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(&self.bytes)
    }
}

impl<'de, T> Deserialize<'de> for Packed<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let bytes = serde_bytes::ByteBuf::deserialize(deserializer)?;
        Ok(Packed { bytes: bytes.into_vec().into(), content: PhantomData })
    }
}

/// The lists about replicas in a view, encoded by columns.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "ReplicaColumns", try_from = "ReplicaColumns")]
pub struct ReplicaLists {
    /// Changed replicas.
    pub instances: Vec<Instance>,
    /// Removed replicas.
    pub removed: Vec<RemovedInstance>,
    /// Changed statuses.
    pub statuses: Vec<InstanceStatus>,
}

impl ReplicaLists {
    pub(super) fn is_empty(&self) -> bool {
        self.instances.is_empty() && self.removed.is_empty() && self.statuses.is_empty()
    }
}

/// The lists about gateways in a view.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayLists {
    /// Gateways that are new or have changed.
    pub changed: Vec<GatewayReport>,
    /// Addresses of removed gateways.
    pub removed: Vec<String>,
}

/// The packed parts of a view. Versions and counts stand in the view itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackedParts {
    /// Lists about replicas.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub replicas: Option<Packed<ReplicaLists>>,
    /// Lists about gateways.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub gateways: Option<Packed<GatewayLists>>,
    /// Newer document.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub document: Option<Packed<Document>>,
}

impl PackedParts {
    /// Whether nothing is packed.
    pub fn is_empty(&self) -> bool {
        self.replicas.is_none() && self.gateways.is_none() && self.document.is_none()
    }
}

impl FleetView {
    /// Moves the packed parts to where they stand in a view that is not packed.
    ///
    /// # Errors
    /// [`FrameError`] if a part can't be decoded; the view is then incomplete and must not be
    /// applied.
    pub fn unpack(&mut self) -> Result<(), FrameError> {
        let packed = std::mem::take(&mut self.packed);
        if let Some(replicas) = &packed.replicas {
            let lists = replicas.unpack()?;
            (self.instances, self.removed) = (lists.instances, lists.removed);
            if let Some((_, statuses)) = &mut self.statuses {
                *statuses = lists.statuses;
            }
        }
        if let Some(gateways) = &packed.gateways {
            let lists = gateways.unpack()?;
            if let Some(update) = &mut self.gateways {
                (update.changed, update.removed) = (lists.changed, lists.removed);
            }
        }
        if let Some(document) = &packed.document {
            self.document = Some(document.unpack()?);
        }
        Ok(())
    }
}
