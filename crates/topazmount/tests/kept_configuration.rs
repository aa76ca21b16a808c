//! What a node reads of its kept configuration at a start outlasts a loss of power.

use rstest::rstest;
use topazmount::configuration_file::{Keeper, load, load_from, save_to};
use topazmount_consensus::MemoryDisk;
use topazmount_node::InForce;
use topazmount_settings::{SourceFiles, read_folder};
use topazmount_types::Revision;

const DEPLOYMENT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deployments/lakeshore");

fn source() -> SourceFiles {
    read_folder(DEPLOYMENT.as_ref()).unwrap()
}

fn configuration(revision: u64) -> InForce {
    InForce::kept(Revision(revision), source()).unwrap()
}

fn start(disk: &mut MemoryDisk) -> Revision {
    load_from(disk, source()).unwrap().revision
}

/// A node that was killed before the new name was synced starts with a configuration, and must not
/// show an older one after a loss of power.
#[rstest]
fn a_configuration_that_a_start_has_read_is_not_taken_back(#[values(0, 1, 2, 3)] steps: u32) {
    let mut disk = MemoryDisk::default();
    save_to(&mut disk, &configuration(1)).unwrap();
    disk.interrupt(steps, 0);
    let _ = save_to(&mut disk, &configuration(2));
    disk.end_process();
    let started = start(&mut disk);
    disk.lose_power(0, u64::MAX);
    assert_eq!(start(&mut disk), started);
}

/// Writes of two updates may overlap; the older one, when it ends last, must not replace the newer.
#[test]
fn an_older_configuration_that_is_written_late_replaces_no_newer_one() {
    let folder = std::env::temp_dir().join(format!("topazmount-kept-{}", std::process::id()));
    let keeper = Keeper::new(Some(folder.clone()), Revision(1));
    for revision in [3, 2] {
        keeper.save(&configuration(revision)).unwrap();
    }
    assert_eq!(load(Some(&folder), source()).unwrap().revision, Revision(3));
    std::fs::remove_dir_all(&folder).unwrap();
}
