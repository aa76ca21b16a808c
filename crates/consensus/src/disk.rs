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

    /// Content of a file; `None` if it does not exist. What another process wrote may be read back
    /// although no sync has covered it.
    ///
    /// # Errors
    /// Any failure of the disk.
    fn read(&self, name: &str) -> Result<Option<Vec<u8>>, DiskError>;

    /// Appends to a file, creating it if needed. Not durable before [`Disk::sync`].
    ///
    /// # Errors
    /// Any failure of the disk.
    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<(), DiskError>;

    /// Makes what was appended to a file durable, and the name of a file that appends created.
    ///
    /// # Errors
    /// Any failure of the disk.
    fn sync(&mut self, name: &str) -> Result<(), DiskError>;

    /// Makes all names durable, renamed and removed ones included.
    ///
    /// # Errors
    /// Any failure of the disk.
    fn sync_names(&mut self) -> Result<(), DiskError>;

    /// Replaces a file atomically; durable when the call returns. After a failure either content may
    /// be found.
    ///
    /// # Errors
    /// Any failure of the disk.
    fn replace(&mut self, name: &str, bytes: &[u8]) -> Result<(), DiskError>;

    /// Removes a file if it exists. It may come back after a loss of power before
    /// [`Disk::sync_names`].
    ///
    /// # Errors
    /// Any failure of the disk.
    fn remove(&mut self, name: &str) -> Result<(), DiskError>;
}
