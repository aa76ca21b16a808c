//! The `topazmount-lab` command.

use eyre::Result;
use std::process::ExitCode;
use std::sync::Arc;
use topazmount::{Executor, logging};
use topazmount_lab::{cli, command};

/// Exit status for bad usage or settings.
const BAD_SETTINGS: u8 = 2;
/// Threads that run tasks beside the main one.
const WORKERS: usize = 1;

fn main() -> ExitCode {
    let options = cli::parser().run();
    logging::start(&options.log);
    let executor: Executor = Arc::new(async_executor::Executor::new());
    for _ in 0..WORKERS {
        let executor = executor.clone();
        std::thread::spawn(move || {
            async_io::block_on(executor.run(futures_lite::future::pending::<()>()));
        });
    }
    let running = command::run(executor.clone(), options.command);
    let outcome: Result<u8> = async_io::block_on(executor.run(running));
    match outcome {
        Ok(status) => ExitCode::from(status),
        Err(error) => {
            eprintln!("topazmount-lab: {error:#}");
            let is_settings = error.downcast_ref::<topazmount_settings::Problems>().is_some();
            ExitCode::from(if is_settings { BAD_SETTINGS } else { 1 })
        }
    }
}
