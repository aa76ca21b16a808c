//! Log lines: time, level, and a short sentence that begins with the part's name and a colon.

use std::io::Write;

/// Starts logging to standard error at a level such as `info`.
///
/// Parts are `node`, `route`, `action`, `http`, `control`, `log`, `policy`, `link` and `lab`.
/// Prompt text and keys are never logged.
pub fn start(level: &str) {
    start_at(level, env_logger::Target::Stderr);
}

/// Starts logging to standard output, for processes whose lines are collected.
pub fn start_at_standard_output(level: &str) {
    start_at(level, env_logger::Target::Stdout);
}

fn start_at(level: &str, target: env_logger::Target) {
    let mut builder = env_logger::Builder::new();
    builder.filter_level(log::LevelFilter::Warn);
    builder.filter_module("topazmount", level.parse().unwrap_or(log::LevelFilter::Info));
    builder.format(|buffer, record| {
        let time = buffer.timestamp_millis();
        writeln!(buffer, "{time} {:<5} {}", record.level(), record.args())
    });
    builder.target(target);
    // A second start in one process (embedded deployments) keeps the first.
    let _ = builder.try_init();
}
