//! Source files of a deployment, and deltas between revisions.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::path::Path;
use thiserror::Error;
use topazmount_types::Digest;

/// Required file of a deployment folder.
pub const MAIN_FILE: &str = "deployment.toml";
/// Subfolder of policy programs.
const POLICY_FOLDER: &str = "policies";
/// Maximum total size of a deployment's files, in bytes.
const MAX_SOURCE_BYTES: usize = 4 * 1024 * 1024;

/// Contents of a deployment's files by path relative to its folder.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SourceFiles(pub BTreeMap<String, String>);

/// Change of a file: replaces the text between an unchanged prefix and suffix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FileDelta {
    /// File name.
    pub name: String,
    /// Length of the unchanged prefix.
    #[serde(rename = "head")]
    pub prefix_bytes: usize,
    /// Length of the unchanged suffix.
    #[serde(rename = "tail")]
    pub suffix_bytes: usize,
    /// New text between them; `None` removes the file.
    #[serde(rename = "middle")]
    pub replacement: Option<String>,
}

/// A delta does not match the files that it is applied to.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("the delta does not match the files it is applied to")]
pub struct ApplyDeltaError;

impl SourceFiles {
    /// Digest of all names and contents.
    pub fn digest(&self) -> Digest {
        let parts: Vec<&[u8]> =
            self.0.iter().flat_map(|(name, text)| [name.as_bytes(), text.as_bytes()]).collect();
        Digest::of_parts(&parts)
    }

    /// Total size of names and contents, in bytes.
    pub fn size(&self) -> usize {
        self.0.iter().map(|(name, text)| name.len() + text.len()).sum()
    }

    /// Computes the deltas that turn these files into `next`.
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
    /// [`ApplyDeltaError`] if a delta does not match; no file is changed then.
    pub fn apply(&mut self, deltas: &[FileDelta]) -> Result<(), ApplyDeltaError> {
        let mut files = self.0.clone();
        for delta in deltas {
            let Some(replacement) = &delta.replacement else {
                files.remove(&delta.name).ok_or(ApplyDeltaError)?;
                continue;
            };
            let before = files.get(&delta.name).map_or("", String::as_str);
            let suffix_start =
                before.len().checked_sub(delta.suffix_bytes).ok_or(ApplyDeltaError)?;
            let prefix = before.get(..delta.prefix_bytes).ok_or(ApplyDeltaError)?;
            let suffix = before.get(suffix_start..).ok_or(ApplyDeltaError)?;
            if delta.prefix_bytes > suffix_start {
                return Err(ApplyDeltaError);
            }
            let text = format!("{prefix}{replacement}{suffix}");
            files.insert(delta.name.clone(), text);
        }
        self.0 = files;
        Ok(())
    }
}

fn file_delta(name: &str, before: &str, after: &str) -> FileDelta {
    let same = |(left, right): &(u8, u8)| left == right;
    let mut prefix = before.bytes().zip(after.bytes()).take_while(same).count();
    while !before.is_char_boundary(prefix) || !after.is_char_boundary(prefix) {
        prefix -= 1;
    }
    let reversed = before[prefix..].bytes().rev().zip(after[prefix..].bytes().rev());
    let mut suffix = reversed.take_while(same).count();
    while !before.is_char_boundary(before.len() - suffix) {
        suffix -= 1;
    }
    FileDelta {
        name: name.to_owned(),
        prefix_bytes: prefix,
        suffix_bytes: suffix,
        replacement: Some(after[prefix..after.len() - suffix].to_owned()),
    }
}

/// Reads a deployment folder: its `.toml` files and the programs in `policies/`.
///
/// # Errors
/// I/O errors, and `InvalidData` if the files exceed 4 MiB in total.
pub fn read_folder(folder: &Path) -> std::io::Result<SourceFiles> {
    let mut files = BTreeMap::new();
    read_matching(folder, "", "toml", &mut files)?;
    let policies = folder.join(POLICY_FOLDER);
    if policies.is_dir() {
        read_matching(&policies, "policies/", "rhai", &mut files)?;
    }
    let source = SourceFiles(files);
    if source.size() > MAX_SOURCE_BYTES {
        let message = format!("files exceed {MAX_SOURCE_BYTES} bytes in total");
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
