//! A folder of files behind the log's [`Disk`] trait.

use std::fs::{File, OpenOptions};
use std::io::{ErrorKind, Read, Write};
use std::path::{Path, PathBuf};
use topazmount_consensus::{Disk, DiskError};

const TEMPORARY_SUFFIX: &str = ".new";

/// Files below one folder.
pub struct FileDisk {
    folder: PathBuf,
    /// The file appended to last, kept open.
    open: Option<(String, File)>,
}

impl FileDisk {
    /// Opens the folder, making it when needed.
    ///
    /// # Errors
    /// Any failure of the file system.
    pub fn open(folder: &Path) -> Result<Self, DiskError> {
        std::fs::create_dir_all(folder).map_err(|error| failed(folder, &error))?;
        Ok(FileDisk { folder: folder.to_owned(), open: None })
    }

    /// Removes files that interrupted replacements left behind. Nothing else may write to the folder.
    ///
    /// # Errors
    /// Any failure of the file system.
    pub fn remove_temporary(&self) -> Result<(), DiskError> {
        for name in self.names()?.iter().filter(|name| name.ends_with(TEMPORARY_SUFFIX)) {
            self.remove_file(name)?;
        }
        Ok(())
    }

    fn names(&self) -> Result<Vec<String>, DiskError> {
        let entries =
            std::fs::read_dir(&self.folder).map_err(|error| failed(&self.folder, &error))?;
        Ok(entries.flatten().filter_map(|entry| entry.file_name().into_string().ok()).collect())
    }

    fn remove_file(&self, name: &str) -> Result<(), DiskError> {
        let path = self.path(name);
        match std::fs::remove_file(&path) {
            Err(error) if error.kind() != ErrorKind::NotFound => Err(failed(&path, &error)),
            _ => Ok(()),
        }
    }

    fn path(&self, name: &str) -> PathBuf {
        self.folder.join(name)
    }

    fn append_file(&mut self, name: &str) -> Result<&mut File, DiskError> {
        let is_open = self.open.as_ref().is_some_and(|(open, _)| open == name);
        if !is_open {
            let path = self.path(name);
            let is_new = !path.exists();
            let file = OpenOptions::new()
                .append(true)
                .create(true)
                .open(&path)
                .map_err(|error| failed(&path, &error))?;
            if is_new {
                self.sync_names()?;
            }
            self.open = Some((name.to_owned(), file));
        }
        match &mut self.open {
            Some((_, file)) => Ok(file),
            None => Err(DiskError("no file is open".to_owned())),
        }
    }
}

fn failed(path: &Path, error: &std::io::Error) -> DiskError {
    DiskError(format!("{}: {error}", path.display()))
}

impl Disk for FileDisk {
    fn list(&self) -> Result<Vec<String>, DiskError> {
        let names = self.names()?.into_iter();
        Ok(names.filter(|name| !name.ends_with(TEMPORARY_SUFFIX)).collect())
    }

    fn read(&self, name: &str) -> Result<Option<Vec<u8>>, DiskError> {
        let path = self.path(name);
        let mut file = match File::open(&path) {
            Ok(file) => file,
            Err(error) if error.kind() == ErrorKind::NotFound => return Ok(None),
            Err(error) => return Err(failed(&path, &error)),
        };
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes).map_err(|error| failed(&path, &error))?;
        Ok(Some(bytes))
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<(), DiskError> {
        let path = self.path(name);
        let file = self.append_file(name)?;
        file.write_all(bytes).map_err(|error| failed(&path, &error))
    }

    fn sync(&mut self, name: &str) -> Result<(), DiskError> {
        let path = self.path(name);
        let file = self.append_file(name)?;
        file.sync_data().map_err(|error| failed(&path, &error))
    }

    fn sync_names(&mut self) -> Result<(), DiskError> {
        let folder = File::open(&self.folder).map_err(|error| failed(&self.folder, &error))?;
        folder.sync_all().map_err(|error| failed(&self.folder, &error))
    }

    fn replace(&mut self, name: &str, bytes: &[u8]) -> Result<(), DiskError> {
        let path = self.path(name);
        let temporary = self.path(&format!("{name}{TEMPORARY_SUFFIX}"));
        if self.open.as_ref().is_some_and(|(open, _)| open == name) {
            self.open = None;
        }
        let mut file = File::create(&temporary).map_err(|error| failed(&temporary, &error))?;
        file.write_all(bytes).map_err(|error| failed(&temporary, &error))?;
        file.sync_all().map_err(|error| failed(&temporary, &error))?;
        std::fs::rename(&temporary, &path).map_err(|error| failed(&path, &error))?;
        self.sync_names()
    }

    fn remove(&mut self, name: &str) -> Result<(), DiskError> {
        self.remove_file(name)
    }
}
