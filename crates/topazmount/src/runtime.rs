//! How both commands run: a few threads, and an exit status that tells bad settings from failures.

use crate::{Executor, logging};
use async_signal::{Signal, Signals};
use eyre::Result;
use futures_lite::StreamExt;
use std::future::Future;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, SystemTime};
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

/// Signals of a service and changes of its settings file, from the moment in which this was made: a
/// service makes it before it reads its settings. A signal that comes while it starts would end it
/// otherwise, and a change of the file be missed.
pub struct SettingsWatch {
    file: PathBuf,
    signals: Signals,
    /// Time of the file's change when the settings were read.
    seen: Option<SystemTime>,
}

impl SettingsWatch {
    /// Takes the signals over.
    ///
    /// # Errors
    /// When the signals can't be watched.
    pub fn new(file: &Path) -> Result<Self> {
        let signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])?;
        Ok(SettingsWatch { file: file.to_owned(), signals, seen: changed_at(file) })
    }

    /// Calls `reload` for each signal that tells that the settings file has changed, or when the
    /// file's time of change moves; ends with the signal of a planned stop.
    ///
    /// # Errors
    /// When the signals can't be watched any more.
    pub async fn stop_or_reload(&mut self, mut reload: impl FnMut()) -> Result<()> {
        loop {
            let signal = async { self.signals.next().await.transpose() };
            let timer = async {
                async_io::Timer::after(FILE_CHECK).await;
                Ok(None)
            };
            let signal = futures_lite::future::or(signal, timer).await?;
            // Before the file is read: a change meanwhile is another one.
            let changed = changed_at(&self.file);
            match signal {
                Some(Signal::Hup) => reload(),
                Some(_) => return Ok(()),
                None if changed != self.seen => reload(),
                None => {}
            }
            self.seen = changed;
        }
    }
}

fn changed_at(file: &Path) -> Option<SystemTime> {
    file.metadata().and_then(|data| data.modified()).ok()
}

/// Waits for the signal of a planned stop: SIGTERM or SIGINT.
///
/// # Errors
/// When the signals can't be watched.
pub async fn stop_signal() -> Result<()> {
    let mut signals = Signals::new([Signal::Term, Signal::Int])?;
    signals.next().await;
    Ok(())
}
