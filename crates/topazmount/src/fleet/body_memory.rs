//! Bounds the memory of responses that are being read. Each is bounded, but many may come without end
//! at the same time.

use crate::http1::{BodyError, BodyReader, Wire};
use std::sync::atomic::{AtomicUsize, Ordering};

/// Largest response body that is not a stream.
pub(super) const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;
/// Bytes that each response may have without a share of [`MAX_SHARED_BYTES`].
const FREE_BYTES: usize = 256 * 1024;
/// Further bytes of all responses together.
const MAX_SHARED_BYTES: usize = 16 * 1024 * 1024;

/// Memory that responses take beyond [`FREE_BYTES`] each.
#[derive(Debug, Default)]
pub(super) struct BodyMemory(AtomicUsize);

/// Memory of one response, returned on drop.
struct Share<'a> {
    memory: &'a BodyMemory,
    bytes: usize,
}

impl Share<'_> {
    /// Takes memory up to `bytes`; returns whether there is enough.
    fn grow_to(&mut self, bytes: usize) -> bool {
        let more = bytes.saturating_sub(self.bytes);
        let before = self.memory.0.fetch_add(more, Ordering::SeqCst);
        self.bytes += more;
        before + more <= MAX_SHARED_BYTES
    }
}

impl Drop for Share<'_> {
    fn drop(&mut self) {
        self.memory.0.fetch_sub(self.bytes, Ordering::SeqCst);
    }
}

impl BodyMemory {
    /// Reads a whole body of at most [`MAX_BODY_BYTES`].
    ///
    /// # Errors
    /// [`BodyError`], also if other responses take the memory; the connection is of no further use.
    pub(super) async fn read(
        &self,
        reader: &mut BodyReader,
        wire: &mut Wire,
    ) -> Result<Vec<u8>, BodyError> {
        let mut share = Share { memory: self, bytes: 0 };
        let may_hold = |length: usize| {
            length <= MAX_BODY_BYTES && share.grow_to(length.saturating_sub(FREE_BYTES))
        };
        reader.read_while(wire, may_hold).await
    }
}
