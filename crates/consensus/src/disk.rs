//! What the log needs of a disk.

use thiserror::Error;

/// A failed disk operation. The member must stop: what is durable is no longer known.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("disk: {0}")]
pub struct DiskError(pub String);

/// A folder of files. Implemented over the file system by the shell and in memory by the simulator.
pub trait Disk {
    /// Names of all files.
    ///
    /// # Errors
    /// Any failure of the disk.
    fn list(&self) -> Result<Vec<String>, DiskError>;

    /// Whole content of a file; `None` when there is none.
    ///
    /// # Errors
    /// Any failure of the disk.
    fn read(&self, name: &str) -> Result<Option<Vec<u8>>, DiskError>;

    /// Appends to a file, making it when needed. Not durable before [`Disk::sync`].
    ///
    /// # Errors
    /// Any failure of the disk.
    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<(), DiskError>;

    /// Makes a file's content and name durable.
    ///
    /// # Errors
    /// Any failure of the disk.
    fn sync(&mut self, name: &str) -> Result<(), DiskError>;

    /// Puts a whole file in place, durable when the call returns, all or nothing.
    ///
    /// # Errors
    /// Any failure of the disk.
    fn replace(&mut self, name: &str, bytes: &[u8]) -> Result<(), DiskError>;

    /// Removes a file if it exists.
    ///
    /// # Errors
    /// Any failure of the disk.
    fn remove(&mut self, name: &str) -> Result<(), DiskError>;
}
