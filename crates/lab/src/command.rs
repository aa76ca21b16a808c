//! What the subcommands do.

use crate::cli::{Command, StandIn};
use crate::control_scale;
use crate::embedded::{self, CALL_WORK, CONTROL_MEMBERS, LIST_LAG};
use crate::engine::EngineParameters;
use crate::experiment;
use crate::fleet::{self, Fleet, FleetOptions, LISTENING, address_or_any};
use crate::load;
use crate::local;
use crate::scale;
use crate::simulate;
use crate::standin::{application, engine, machines};
use eyre::Result;
use futures_lite::FutureExt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use topazmount::Executor;
use topazmount::runtime::stop_signal;

/// Pause between two status lines.
const STATUS_INTERVAL: Duration = Duration::from_secs(2);

/// Runs a subcommand; returns the exit status.
///
/// # Errors
/// Whatever kept it from its work.
pub async fn run(executor: Executor, command: Command) -> Result<u8> {
    match command {
        Command::Up { address, deployment } => up(&executor, address, &deployment).await,
        Command::Fleet { nodes_per_zone, deployment } => {
            run_fleet(nodes_per_zone, deployment).await
        }
        Command::Simulate { scenario, seeds, trace, json, deployment } => {
            simulate::run(&deployment, &scenario, seeds, trace, json)
        }
        Command::Experiment(flags) => experiment::run(&flags),
        Command::Scale { nodes, replicas, json } => {
            scale::run(nodes, replicas, json);
            Ok(0)
        }
        Command::ControlScale(flags) => control_scale::run(&flags),
        Command::Load(flags) => load::run(&executor, &flags).await,
        Command::StandIn(stand_in) => run_stand_in(&executor, stand_in).await,
    }
}

/// A new folder for one run's state.
fn work_folder() -> PathBuf {
    std::env::temp_dir().join(format!("topazmount-lab-{}", std::process::id()))
}

async fn up(executor: &Executor, address: SocketAddr, deployment: &Path) -> Result<u8> {
    let folder = work_folder();
    let running = embedded::start(executor, deployment, &folder, address).await?;
    print_embedded(&running);
    let showing = async {
        let mut last = running.status_line();
        loop {
            async_io::Timer::after(STATUS_INTERVAL).await;
            let line = running.status_line();
            if line != last {
                println!("{line}");
                last = line;
            }
        }
    };
    stop_signal().or(showing).await?;
    println!("stopping: open requests are finished first");
    running.stop().await;
    std::fs::remove_dir_all(&folder)?;
    Ok(0)
}

fn print_embedded(running: &embedded::Embedded) {
    let declarations = &running.declarations;
    println!(
        "{}: {} engines and {} nodes are up",
        declarations.name,
        declarations.engines.len(),
        running.nodes.len()
    );
    for (node, zone) in running.nodes.iter().zip(&declarations.zones) {
        println!("  http://{} in zone {}", node.address, zone.name);
    }
    let control: Vec<String> =
        running.control.iter().map(|address| format!("--control {address}")).collect();
    let key_file = running.key_file.display();
    println!("operators: topazmount status {} --key-file {key_file}", control.join(" "));
    println!("declarations to edit and apply: {}", running.folder.display());
    println!("tenants' keys: lab-NAME, with NAME as declared");
    if let Some(line) = running.curl_line() {
        println!("try:\n{line}");
    }
}

async fn run_fleet(nodes_per_zone: usize, deployment: PathBuf) -> Result<u8> {
    let lab_program = std::env::current_exe()?;
    let folder = work_folder();
    let options = FleetOptions {
        deployment,
        folder: folder.clone(),
        program: fleet::sibling_program(&lab_program)?,
        lab_program,
        control_members: CONTROL_MEMBERS,
        nodes_per_zone,
    };
    let fleet = blocking(move || Fleet::start(options)).await?;
    for (name, address) in &fleet.nodes {
        println!("{name} serves callers at http://{address}");
    }
    println!("logs and settings are in {}", folder.display());
    stop_signal().await?;
    drop(fleet);
    std::fs::remove_dir_all(&folder)?;
    Ok(0)
}

/// Runs something that blocks on a thread of its own.
async fn blocking<T: Send + 'static>(work: impl FnOnce() -> T + Send + 'static) -> T {
    let (sender, receiver) = async_channel::bounded(1);
    std::thread::spawn(move || {
        let _ = sender.send_blocking(work());
    });
    receiver.recv().await.expect("the thread sends before it ends")
}

async fn run_stand_in(executor: &Executor, stand_in: StandIn) -> Result<u8> {
    let address = match stand_in {
        StandIn::Engine { address, deployment, name } => {
            let (_, declarations) = local::read_deployment(&deployment)?;
            let parameters = EngineParameters::default();
            let mut options = embedded::engine_options(&declarations, &name, &parameters)?;
            options.address = address_or_any(address);
            engine::start(executor, options).await?.0
        }
        StandIn::Application { address } => {
            let runs = application::Runs::default();
            application::start(executor, address_or_any(address), runs, CALL_WORK).await?
        }
        StandIn::Machines { address } => {
            machines::start(executor, address_or_any(address), LIST_LAG).await?
        }
    };
    println!("{LISTENING}{address}");
    stop_signal().await?;
    Ok(0)
}
