//! A handle to an in-memory disk that outlasts the process that uses it.

use crate::disk::{Disk, DiskError};
use crate::memory_disk::MemoryDisk;
use std::cell::{RefCell, RefMut};
use std::rc::Rc;

/// A [`MemoryDisk`] whose driver keeps it while a start fails or a process ends in a write.
#[derive(Clone, Debug, Default)]
pub struct SharedDisk(Rc<RefCell<MemoryDisk>>);

impl SharedDisk {
    /// A separate disk of the same content.
    pub fn copy(&self) -> SharedDisk {
        SharedDisk(Rc::new(RefCell::new(self.0.borrow().clone())))
    }

    /// The disk itself.
    pub fn inner(&self) -> RefMut<'_, MemoryDisk> {
        self.0.borrow_mut()
    }
}

impl Disk for SharedDisk {
    fn list(&self) -> Result<Vec<String>, DiskError> {
        self.0.borrow().list()
    }

    fn read(&self, name: &str) -> Result<Option<Vec<u8>>, DiskError> {
        self.0.borrow().read(name)
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<(), DiskError> {
        self.inner().append(name, bytes)
    }

    fn sync(&mut self, name: &str) -> Result<(), DiskError> {
        self.inner().sync(name)
    }

    fn sync_names(&mut self) -> Result<(), DiskError> {
        self.inner().sync_names()
    }

    fn replace(&mut self, name: &str, bytes: &[u8]) -> Result<(), DiskError> {
        self.inner().replace(name, bytes)
    }

    fn remove(&mut self, name: &str) -> Result<(), DiskError> {
        self.inner().remove(name)
    }
}
