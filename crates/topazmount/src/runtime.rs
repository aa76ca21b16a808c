//! How both commands run: a few threads, and an exit status that tells bad settings from failures.

use crate::{Executor, logging};
use eyre::Result;
use std::future::Future;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;
use topazmount_settings::Problems;

/// Exit status for bad usage or settings.
pub const BAD_SETTINGS: u8 = 2;
/// Exit status of a command that found a failure.
pub const FAILED: u8 = 1;
/// How often a settings file is looked at for a change that nobody told of.
const FILE_CHECK: Duration = Duration::from_secs(2);
/// Log level of a service.
const SERVICE_LOG_LEVEL: &str = "info";
/// Threads that run tasks beside the main one.
const WORKERS: usize = 1;

/// Width of usage messages.
const USAGE_WIDTH: usize = 100;

/// Reads the command line; ends the process with usage or a fault of it.
pub fn parse<T>(parser: &bpaf::OptionParser<T>) -> T {
    match parser.run_inner(bpaf::Args::current_args()) {
        Ok(options) => options,
        Err(failure) => {
            failure.print_message(USAGE_WIDTH);
            let is_fault = matches!(failure, bpaf::ParseFailure::Stderr(_));
            std::process::exit(if is_fault { i32::from(BAD_SETTINGS) } else { 0 })
        }
    }
}

/// Runs a command to its end; problems are printed with the program's name.
pub fn run<F>(program: &str, log_level: &str, command: impl FnOnce(Executor) -> F) -> ExitCode
where
    F: Future<Output = Result<u8>>,
{
    logging::start(log_level);
    run_logged(program, command)
}

/// Runs a service to its end. Its log goes to standard output, where a platform collects it.
pub fn run_service<F>(program: &str, command: impl FnOnce(Executor) -> F) -> ExitCode
where
    F: Future<Output = Result<u8>>,
{
    logging::start_at_standard_output(SERVICE_LOG_LEVEL);
    run_logged(program, command)
}

fn run_logged<F>(program: &str, command: impl FnOnce(Executor) -> F) -> ExitCode
where
    F: Future<Output = Result<u8>>,
{
    let executor: Executor = Arc::new(async_executor::Executor::new());
    for _ in 0..WORKERS {
        let executor = executor.clone();
        std::thread::spawn(move || {
            async_io::block_on(executor.run(futures_lite::future::pending::<()>()));
        });
    }
    let running = command(executor.clone());
    match async_io::block_on(executor.run(running)) {
        Ok(status) => ExitCode::from(status),
        Err(error) => {
            eprintln!("{program}: {error:#}");
            let is_settings = error.downcast_ref::<Problems>().is_some();
            ExitCode::from(if is_settings { BAD_SETTINGS } else { FAILED })
        }
    }
}

/// Waits for signals, and calls `reload` for each that tells that the settings file has changed,
/// or when the file's time of change moves; ends with the signal of a planned stop.
///
/// # Errors
/// When the signals can't be watched.
pub async fn stop_or_reload(file: &Path, mut reload: impl FnMut()) -> Result<()> {
    use async_signal::{Signal, Signals};
    use futures_lite::StreamExt;
    let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])?;
    let changed_at = |file: &Path| file.metadata().and_then(|data| data.modified()).ok();
    let mut seen = changed_at(file);
    loop {
        let signal = async { signals.next().await.transpose() };
        let timer = async {
            async_io::Timer::after(FILE_CHECK).await;
            Ok(None)
        };
        match futures_lite::future::or(signal, timer).await? {
            Some(Signal::Hup) => reload(),
            Some(_) => return Ok(()),
            None if changed_at(file) != seen => reload(),
            None => {}
        }
        seen = changed_at(file);
    }
}

/// Waits for the signal of a planned stop: SIGTERM or SIGINT.
///
/// # Errors
/// When the signals can't be watched.
pub async fn stop_signal() -> Result<()> {
    use async_signal::{Signal, Signals};
    use futures_lite::StreamExt;
    let mut signals = Signals::new([Signal::Term, Signal::Int])?;
    signals.next().await;
    Ok(())
}
