//! Command line of `topazmount-lab`.

use bpaf::Bpaf;
use std::net::SocketAddr;
use std::path::PathBuf;

/// What to do.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version, fallback_to_usage)]
/// Tries topazmount out: whole deployments with stand-ins, simulated failures, experiments.
pub struct Options {
    /// Log level: error, warn, info, debug or trace
    #[bpaf(long, argument("LEVEL"), fallback("warn".to_owned()), display_fallback)]
    pub log: String,
    /// What to do
    #[bpaf(external)]
    pub command: Command,
}

/// Subcommands.
#[derive(Clone, Debug, Bpaf)]
pub enum Command {
    /// Run a whole deployment in this process and serve callers
    #[bpaf(command)]
    Up {
        /// Where the first zone's node listens
        #[bpaf(argument("IP:PORT"), fallback(SocketAddr::from(([127, 0, 0, 1], 0))))]
        address: SocketAddr,
        /// Deployment folder
        #[bpaf(positional("DIR"))]
        deployment: PathBuf,
    },
    /// Run a whole deployment as processes on loopback, until Ctrl-C
    #[bpaf(command)]
    Fleet {
        /// Nodes for each zone
        #[bpaf(argument("N"), fallback(1))]
        nodes_per_zone: usize,
        /// Deployment folder
        #[bpaf(positional("DIR"))]
        deployment: PathBuf,
    },
    /// Run one stand-in; a fleet starts these
    #[bpaf(command("stand-in"))]
    StandIn(#[bpaf(external(stand_in))] StandIn),
}

/// Stand-ins.
#[derive(Clone, Debug, Bpaf)]
pub enum StandIn {
    /// An engine of a deployment
    #[bpaf(command)]
    Engine {
        /// Where to listen; any free port by default
        #[bpaf(argument("IP:PORT"))]
        address: Option<SocketAddr>,
        /// Deployment folder
        #[bpaf(positional("DIR"))]
        deployment: PathBuf,
        /// Name of the engine
        #[bpaf(positional("NAME"))]
        name: String,
    },
    /// A replica of an application
    #[bpaf(command)]
    Application {
        /// Where to listen; any free port by default
        #[bpaf(argument("IP:PORT"))]
        address: Option<SocketAddr>,
    },
    /// The platform's list of machines
    #[bpaf(command)]
    Machines {
        /// Where to listen; any free port by default
        #[bpaf(argument("IP:PORT"))]
        address: Option<SocketAddr>,
    },
}

/// Parser of the command line.
pub fn parser() -> bpaf::OptionParser<Options> {
    options()
}
