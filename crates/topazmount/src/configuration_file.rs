//! The newest configuration of a node on disk, so that a restart never goes back behind it.

use crate::file_disk::FileDisk;
use eyre::Result;
use std::path::{Path, PathBuf};
use std::sync::Mutex;
use topazmount_consensus::Disk;
use topazmount_node::InForce;
use topazmount_settings::SourceFiles;
use topazmount_types::{Digest, Revision};
use topazmount_wire::{decode_payload, encode_payload};

/// File in the node's data folder.
const FILE: &str = "configuration";

/// Keeps the newest configuration of a node.
pub struct Keeper {
    folder: Option<PathBuf>,
    /// Newest revision on disk; held while a configuration is written.
    newest: Mutex<Revision>,
}

impl Keeper {
    /// Keeps configurations in this folder, or nowhere, from this revision on.
    pub fn new(folder: Option<PathBuf>, newest: Revision) -> Self {
        Keeper { folder, newest: Mutex::new(newest) }
    }

    /// Puts a configuration in place, unless a newer one is there.
    ///
    /// # Errors
    /// When the disk fails.
    pub fn save(&self, configuration: &InForce) -> Result<()> {
        let Some(folder) = &self.folder else { return Ok(()) };
        let mut newest = self.newest.lock().unwrap();
        if configuration.revision < *newest {
            return Ok(());
        }
        save_to(&mut FileDisk::open(folder)?, configuration)?;
        *newest = configuration.revision;
        Ok(())
    }
}

/// Puts a configuration in place, synced, all or nothing.
///
/// # Errors
/// When the disk fails.
pub fn save_to<D: Disk>(disk: &mut D, configuration: &InForce) -> Result<()> {
    let digest = configuration.source.digest();
    let bytes = encode_payload(&(configuration.revision, digest, &configuration.source))?;
    disk.replace(FILE, &bytes)?;
    Ok(())
}

/// The kept configuration, or `seed` where there is none or it can't be used.
///
/// # Errors
/// When the seed has problems and nothing else can be used, or the disk fails.
pub fn load(folder: Option<&Path>, seed: SourceFiles) -> Result<InForce> {
    match folder {
        Some(folder) => load_from(&mut FileDisk::open(folder)?, seed),
        None => Ok(InForce::seed(seed)?),
    }
}

/// The same from a disk. What it returns is durable: a process that was killed may have put a
/// configuration in place whose name is not, and callers must not see an older one later.
///
/// # Errors
/// When the seed has problems and nothing else can be used, or the disk fails.
pub fn load_from<D: Disk>(disk: &mut D, seed: SourceFiles) -> Result<InForce> {
    let Some(bytes) = disk.read(FILE)? else {
        return Ok(InForce::seed(seed)?);
    };
    disk.sync_names()?;
    match decode(&bytes) {
        Some(configuration) => Ok(configuration),
        None => {
            log::warn!("node: the kept configuration can't be used; starting from the seed.");
            Ok(InForce::seed(seed)?)
        }
    }
}

fn decode(bytes: &[u8]) -> Option<InForce> {
    let (revision, digest, source): (Revision, Digest, SourceFiles) = decode_payload(bytes).ok()?;
    let is_whole = source.digest() == digest;
    is_whole.then(|| InForce::kept(revision, source).ok()).flatten()
}
