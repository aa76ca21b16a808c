//! Starts of members whose data folder can't be written, or holds what an interrupted write left.

mod common;

use common::{executor, member_options, member_settings};
use futures_lite::future::{block_on, or};
use std::time::Duration;
use topazmount::Executor;
use topazmount::control_process::{ControlHandle, start};
use topazmount_settings::ControlSettings;

/// Time after which a start that waits is not seen to end.
const WAIT: Duration = Duration::from_secs(1);
/// Time within which a member starts once its disk works.
const LIMIT: Duration = Duration::from_secs(3);
/// The file that a first start writes first.
const FIRST_WRITTEN: &str = "log-0000000000000001.new";
/// A file that an interrupted replacement left.
const LEFTOVER: &str = "snapshot-00000000000000ff.new";

/// Starts a member; `None` if that has not ended within `limit`.
fn start_within(
    executor: &Executor,
    settings: &ControlSettings,
    limit: Duration,
) -> Option<eyre::Result<ControlHandle>> {
    let starting = async { Some(start(executor, member_options(settings.clone())).await) };
    let waiting = async {
        async_io::Timer::after(limit).await;
        None
    };
    block_on(or(starting, waiting))
}

/// A member whose disk refuses writes does not end: it starts as soon as the disk works.
#[test]
fn a_start_waits_for_a_disk_that_refuses_writes() {
    let executor = executor();
    let settings = member_settings("refusing-disk");
    // A folder can be neither removed nor written as a file is.
    let blocker = settings.data_folder.join(FIRST_WRITTEN);
    std::fs::create_dir_all(&blocker).unwrap();
    let started = start_within(&executor, &settings, WAIT);
    assert!(started.is_none(), "{:?}", started.map(|result| result.err()));
    std::fs::remove_dir(&blocker).unwrap();
    let started = start_within(&executor, &settings, LIMIT).expect("the disk works");
    block_on(started.unwrap().stop());
    std::fs::remove_dir_all(&settings.data_folder).unwrap();
}

/// Interrupted writes of large snapshots would fill a small disk.
#[test]
fn a_start_removes_what_interrupted_writes_left() {
    let executor = executor();
    let settings = member_settings("leftover");
    std::fs::create_dir_all(&settings.data_folder).unwrap();
    let leftover = settings.data_folder.join(LEFTOVER);
    std::fs::write(&leftover, [0; 100_000]).unwrap();
    let started = start_within(&executor, &settings, LIMIT).expect("the disk works");
    block_on(started.unwrap().stop());
    assert!(!leftover.exists());
    std::fs::remove_dir_all(&settings.data_folder).unwrap();
}
