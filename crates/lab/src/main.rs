//! The `topazmount-lab` command.

use std::process::ExitCode;
use topazmount::runtime;
use topazmount_lab::{cli, command};

fn main() -> ExitCode {
    let options = runtime::parse(&cli::parser());
    runtime::run("topazmount-lab", &options.log, |executor| command::run(executor, options.command))
}
