//! An event that happens once and that many tasks may wait for.

use async_channel::{Receiver, Sender};

/// Not set at first, and set for good later.
pub(super) struct Latch {
    /// Carries nothing; it is closed when the latch is set.
    sender: Sender<()>,
    receiver: Receiver<()>,
}

impl Default for Latch {
    fn default() -> Self {
        let (sender, receiver) = async_channel::bounded(1);
        Latch { sender, receiver }
    }
}

impl Latch {
    /// Sets the latch, which wakes all that wait for it.
    pub(super) fn set(&self) {
        self.sender.close();
    }

    /// Waits until the latch is set.
    pub(super) async fn wait(&self) {
        // Fails as soon as the channel is closed.
        let _ = self.receiver.recv().await;
    }
}
