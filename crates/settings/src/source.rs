//! The files of one deployment as texts, and the differences between two revisions of them.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::path::Path;
use thiserror::Error;
use topazmount_types::Digest;

/// File that every deployment folder must hold.
pub const MAIN_FILE: &str = "deployment.toml";
/// Folder, below the deployment's, of policy programs.
const POLICY_FOLDER: &str = "policies";
/// Largest size of all files of a deployment together, in bytes.
const MAX_SOURCE_BYTES: usize = 4 * 1024 * 1024;

/// The texts of a deployment's files by name relative to its folder.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SourceFiles(pub BTreeMap<String, String>);

/// The change of one file: the middle between a kept head and a kept tail is replaced.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FileDelta {
    /// File name.
    pub name: String,
    /// Bytes kept from the file's start.
    #[serde(rename = "head")]
    pub prefix_bytes: usize,
    /// Bytes kept from the file's end.
    #[serde(rename = "tail")]
    pub suffix_bytes: usize,
    /// What stands between them now; `None` removes the file.
    #[serde(rename = "middle")]
    pub replacement: Option<String>,
}

/// A delta does not fit the texts that it is applied to.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("the delta does not fit the texts it is applied to")]
pub struct ApplyDeltaError;

impl SourceFiles {
    /// Digest over all names and texts.
    pub fn digest(&self) -> Digest {
        let parts: Vec<&[u8]> =
            self.0.iter().flat_map(|(name, text)| [name.as_bytes(), text.as_bytes()]).collect();
        Digest::of_parts(&parts)
    }

    /// Size of all texts, in bytes.
    pub fn size(&self) -> usize {
        self.0.iter().map(|(name, text)| name.len() + text.len()).sum()
    }

    /// The deltas that turn these texts into `next`.
    pub fn deltas_to(&self, next: &SourceFiles) -> Vec<FileDelta> {
        let removed = self.0.keys().filter(|name| !next.0.contains_key(*name)).map(|name| {
            FileDelta { name: name.clone(), prefix_bytes: 0, suffix_bytes: 0, replacement: None }
        });
        let changed = next.0.iter().filter_map(|(name, text)| {
            let before = self.0.get(name).map_or("", String::as_str);
            let is_new = !self.0.contains_key(name);
            (is_new || before != text).then(|| file_delta(name, before, text))
        });
        removed.chain(changed).collect()
    }

    /// Applies deltas in order.
    ///
    /// # Errors
    /// [`ApplyDeltaError`] when one does not fit; the texts are then as before.
    pub fn apply(&mut self, deltas: &[FileDelta]) -> Result<(), ApplyDeltaError> {
        let mut files = self.0.clone();
        for delta in deltas {
            let Some(middle) = &delta.replacement else {
                files.remove(&delta.name).ok_or(ApplyDeltaError)?;
                continue;
            };
            let before = files.get(&delta.name).map_or("", String::as_str);
            let tail_start = before.len().checked_sub(delta.suffix_bytes).ok_or(ApplyDeltaError)?;
            let head = before.get(..delta.prefix_bytes).ok_or(ApplyDeltaError)?;
            let tail = before.get(tail_start..).ok_or(ApplyDeltaError)?;
            if delta.prefix_bytes > tail_start {
                return Err(ApplyDeltaError);
            }
            let text = format!("{head}{middle}{tail}");
            files.insert(delta.name.clone(), text);
        }
        self.0 = files;
        Ok(())
    }
}

fn file_delta(name: &str, before: &str, after: &str) -> FileDelta {
    let same = |(left, right): &(u8, u8)| left == right;
    let mut head = before.bytes().zip(after.bytes()).take_while(same).count();
    while !before.is_char_boundary(head) || !after.is_char_boundary(head) {
        head -= 1;
    }
    let reversed = before[head..].bytes().rev().zip(after[head..].bytes().rev());
    let mut tail = reversed.take_while(same).count();
    while !before.is_char_boundary(before.len() - tail) {
        tail -= 1;
    }
    FileDelta {
        name: name.to_owned(),
        prefix_bytes: head,
        suffix_bytes: tail,
        replacement: Some(after[head..after.len() - tail].to_owned()),
    }
}

/// Reads a deployment folder: its `.toml` files and the programs in `policies/`.
///
/// # Errors
/// Any I/O error, or one of kind `InvalidData` when the files exceed 4 MiB together.
pub fn read_folder(folder: &Path) -> std::io::Result<SourceFiles> {
    let mut files = BTreeMap::new();
    read_matching(folder, "", "toml", &mut files)?;
    let policies = folder.join(POLICY_FOLDER);
    if policies.is_dir() {
        read_matching(&policies, "policies/", "rhai", &mut files)?;
    }
    let source = SourceFiles(files);
    if source.size() > MAX_SOURCE_BYTES {
        let message = format!("files exceed {MAX_SOURCE_BYTES} bytes together");
        return Err(std::io::Error::new(std::io::ErrorKind::InvalidData, message));
    }
    Ok(source)
}

fn read_matching(
    folder: &Path,
    prefix: &str,
    extension: &str,
    files: &mut BTreeMap<String, String>,
) -> std::io::Result<()> {
    for entry in std::fs::read_dir(folder)? {
        let path = entry?.path();
        let matches = path.extension().is_some_and(|found| found == extension);
        let Some(name) = path.file_name().and_then(|name| name.to_str()) else {
            continue;
        };
        if matches && path.is_file() {
            files.insert(format!("{prefix}{name}"), std::fs::read_to_string(&path)?);
        }
    }
    Ok(())
}
