//! Command line of `topazmount-lab`.

use bpaf::Bpaf;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

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
    /// Run failures on a virtual clock and judge what must always hold
    #[bpaf(command)]
    Simulate {
        /// Scenario: a fault, several joined with +, "calm", or "all"; "list" shows the names
        #[bpaf(argument("NAME"), fallback("all".to_owned()))]
        scenario: String,
        /// Seeds, first and last
        #[bpaf(argument("A..B"), fallback(SeedRange { first: 1, last: 1 }))]
        seeds: SeedRange,
        /// Tell on standard error what happens
        trace: bool,
        /// Print one JSON object a scenario
        json: bool,
        /// Deployment folder
        #[bpaf(positional("DIR"))]
        deployment: PathBuf,
    },
    /// Compare policies on the same seeded traffic, on a virtual clock
    #[bpaf(command)]
    Experiment(#[bpaf(external(experiment_flags))] ExperimentFlags),
    /// Measure what each role costs, as slopes over sizes (docs/CAPACITY.md)
    #[bpaf(command)]
    Scale {
        /// Hollow nodes of the joint run
        #[bpaf(argument("N"), fallback(100))]
        nodes: usize,
        /// Hollow replicas of the joint run
        #[bpaf(argument("M"), fallback(400))]
        replicas: usize,
        /// Print one JSON object a line
        json: bool,
    },
    /// Model the control plane of a fleet of registered replicas (docs/CAPACITY.md)
    #[bpaf(command("control-scale"))]
    ControlScale(#[bpaf(external(control_scale_flags))] ControlScaleFlags),
    /// Send chat requests to a node at a steady rate and report what came back
    #[bpaf(command)]
    Load(#[bpaf(external(load_flags))] LoadFlags),
    /// Run one stand-in; a fleet starts these
    #[bpaf(command("stand-in"))]
    StandIn(#[bpaf(external(stand_in))] StandIn),
}

/// The fleet to model.
#[derive(Clone, Debug, Bpaf)]
pub struct ControlScaleFlags {
    /// Gateways
    #[bpaf(argument("G"), fallback(300))]
    pub gateways: usize,
    /// Registered replicas
    #[bpaf(argument("R"), fallback(3_000))]
    pub replicas: usize,
    /// Control members
    #[bpaf(argument("M"), fallback(10))]
    pub members: usize,
    /// Interval of the replicas' heartbeats, in milliseconds
    #[bpaf(argument("MS"), fallback(1_200))]
    pub heartbeat_ms: u64,
    /// Print one JSON object a phase, and one for all
    pub json: bool,
}

/// What to compare.
#[derive(Clone, Debug, Bpaf)]
pub struct ExperimentFlags {
    /// Policies, separated by commas: "built-in", "upper-bound", a name in policies/ or a file
    #[bpaf(argument("A,B"))]
    pub policies: String,
    /// Seeds, first and last; the same traffic for each policy
    #[bpaf(argument("A..B"), fallback(SeedRange { first: 1, last: 10 }))]
    pub seeds: SeedRange,
    /// Shares of the deployment's capacity, separated by commas
    #[bpaf(argument("X,Y"), fallback("0.5,0.8,0.95".to_owned()))]
    pub loads: String,
    /// What happens in mid-run, separated by commas: crash, shift, herd, or none
    #[bpaf(argument("WHAT"), fallback("none".to_owned()))]
    pub events: String,
    /// Capacity in requests a second; measured with the upper bound when it is not given
    #[bpaf(argument("RATE"))]
    pub capacity: Option<f64>,
    /// A trace of requests to replay instead of the deployment's mix (JSON lines, docs/POLICIES.md)
    #[bpaf(argument("FILE"))]
    pub trace: Option<PathBuf>,
    /// Skip malformed lines of the trace and count them, instead of refusing the file
    pub skip_malformed: bool,
    /// Folder for report.json and report.html; must not exist
    #[bpaf(argument("FOLDER"))]
    pub out: PathBuf,
    /// Print one JSON object a policy and load
    pub json: bool,
    /// Deployment folder
    #[bpaf(positional("DIR"))]
    pub deployment: PathBuf,
}

/// What load to send.
#[derive(Clone, Debug, Bpaf)]
pub struct LoadFlags {
    /// Address of a node or, for comparison, of an engine
    #[bpaf(argument("IP:PORT"))]
    pub target: SocketAddr,
    /// API key
    #[bpaf(argument("KEY"))]
    pub api_key: String,
    /// Model
    #[bpaf(argument("MODEL"))]
    pub model: String,
    /// Requests a second
    #[bpaf(argument("RATE"), fallback(10.0))]
    pub rate: f64,
    /// Seconds
    #[bpaf(argument("SECONDS"), fallback(10))]
    pub seconds: u64,
    /// Bytes of each prompt; half of them are the same in all
    #[bpaf(argument("BYTES"), fallback(2_000))]
    pub prompt_bytes: usize,
    /// Tokens of each answer at most
    #[bpaf(argument("TOKENS"), fallback(8))]
    pub max_tokens: u32,
    /// Print one JSON object
    pub json: bool,
}

/// Seeds from the first to the last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SeedRange {
    /// First.
    pub first: u64,
    /// Last.
    pub last: u64,
}

impl FromStr for SeedRange {
    type Err = String;

    /// Reads `A..B`, both included, or one seed.
    fn from_str(text: &str) -> Result<Self, String> {
        let (first, last) = text.split_once("..").unwrap_or((text, text));
        let number = |part: &str| {
            part.trim().parse::<u64>().map_err(|_| format!("\"{part}\" is not a seed"))
        };
        let (first, last) = (number(first)?, number(last)?);
        if first > last {
            return Err(format!("{first} is after {last}; write the smaller seed first"));
        }
        Ok(SeedRange { first, last })
    }
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
