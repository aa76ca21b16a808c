//! Storage interface of the log.

use thiserror::Error;

/// A failed disk operation. The member must stop, because the durable state is unknown.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("disk: {0}")]
pub struct DiskError(pub String);

/// A directory of files. Implemented on the file system and in memory.
pub trait Disk {
    /// Names of all files.
    ///
    /// # Errors
    /// Any failure of the disk.
    fn list(&self) -> Result<Vec<String>, DiskError>;

    /// Content of a file; `None` if it does not exist.
    ///
    /// # Errors
    /// Any failure of the disk.
    fn read(&self, name: &str) -> Result<Option<Vec<u8>>, DiskError>;

    /// Appends to a file, creating it if needed. Not durable before [`Disk::sync`].
    ///
    /// # Errors
    /// Any failure of the disk.
    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<(), DiskError>;

    /// Makes a file's content and name durable.
    ///
    /// # Errors
    /// Any failure of the disk.
    fn sync(&mut self, name: &str) -> Result<(), DiskError>;

    /// Replaces a file atomically; durable when the call returns.
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
