//! The `topazmount` command.

use eyre::Result;
use futures_lite::FutureExt;
use std::io::Read;
use std::process::ExitCode;
use topazmount::cli::{self, Command, ProcessFlags};
use topazmount::control_process::{self, ControlOptions};
use topazmount::node_process::{self, NodeOptions};
use topazmount::{Executor, operator, runtime};
use topazmount_settings::{
    Overrides, api_key_hash, parse_control, parse_node, read_folder, read_process_file,
};

/// A fraction that leaves each node a tenant's whole rate.
const WHOLE_RATE: f64 = 1.0;

fn main() -> ExitCode {
    let options = runtime::parse(&cli::parser());
    runtime::run("topazmount", &options.log, |executor| run(executor, options.command))
}

async fn run(executor: Executor, command: Command) -> Result<u8> {
    match command {
        Command::Node(flags) => run_node(&executor, &flags).await,
        Command::Control { process, form_group } => {
            run_control(&executor, &process, form_group).await
        }
        Command::Check { json, folder } => operator::check(&folder, json),
        Command::Config(command) => operator::config(&executor, command).await,
        Command::Policy(command) => operator::policy(&executor, command).await,
        Command::Status(group) => operator::status(&executor, &group).await,
        Command::KeyHash => key_hash(),
    }
}

fn overrides(flags: &ProcessFlags) -> Overrides {
    Overrides { zone: flags.zone.clone(), address: flags.address }
}

async fn run_node(executor: &Executor, flags: &ProcessFlags) -> Result<u8> {
    let file = flags.settings.display().to_string();
    let text = read_process_file(&flags.settings)?;
    let settings = parse_node(&file, &text, &overrides(flags))?;
    let source = read_folder(&settings.declarations)?;
    let key = operator::read_key(&settings.cluster_key_file)?;
    let options = NodeOptions { settings, source, key, tenant_share: WHOLE_RATE };
    let handle = node_process::start(executor, options).await?;
    runtime::stop_signal().await?;
    let is_done = handle.drain().await;
    Ok(u8::from(!is_done))
}

async fn run_control(executor: &Executor, flags: &ProcessFlags, form_group: bool) -> Result<u8> {
    let file = flags.settings.display().to_string();
    let text = read_process_file(&flags.settings)?;
    let settings = parse_control(&file, &text, &overrides(flags))?;
    let source = read_folder(&settings.declarations)?;
    let key = operator::read_key(&settings.cluster_key_file)?;
    let options = ControlOptions {
        settings,
        form_group,
        source,
        key,
        rollout: Default::default(),
        heartbeat_interval: topazmount_control::DEFAULT_HEARTBEAT_INTERVAL,
        actions: None,
    };
    let handle = control_process::start(executor, options).await?;
    let stopped = async {
        runtime::stop_signal().await?;
        Ok::<u8, eyre::Report>(0)
    };
    let failed = async {
        handle.failed().await;
        Ok(1)
    };
    let status = stopped.or(failed).await?;
    handle.stop().await;
    Ok(status)
}

fn key_hash() -> Result<u8> {
    let mut key = String::new();
    std::io::stdin().read_to_string(&mut key)?;
    println!("{}", api_key_hash(key.trim()));
    Ok(0)
}
