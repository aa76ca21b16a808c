//! Command line of `topazmount`.

use bpaf::{Bpaf, Parser};
use std::net::SocketAddr;
use std::path::PathBuf;

/// What to do.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version, fallback_to_usage)]
/// Router for language-model traffic whose prompts share long prefixes.
///
/// A deployment is declared in a folder (see deployments/). `check` reads one without starting
/// anything; `control` and `node` are its processes; `config`, `policy` and `status` talk to the
/// running control group.
pub struct Options {
    /// Log level: error, warn, info, debug or trace
    #[bpaf(long, argument("LEVEL"), fallback("info".to_owned()), display_fallback)]
    pub log: String,
    /// What to do
    #[bpaf(external)]
    pub command: Command,
}

/// Subcommands.
#[derive(Clone, Debug, Bpaf)]
pub enum Command {
    /// Serve callers: run beside each caller
    #[bpaf(command)]
    Node(#[bpaf(external(process_flags))] ProcessFlags),
    /// Keep the configuration and the ledger: run 3 or 5 of them, with disks
    #[bpaf(command)]
    Control {
        #[bpaf(external(process_flags))]
        /// Settings
        process: ProcessFlags,
        /// Form a new group with the members of the settings file; only once, with empty data
        /// folders. Without it an empty member asks the others to join.
        #[bpaf(long)]
        form_group: bool,
    },
    /// Check a deployment folder as a whole, offline
    #[bpaf(command)]
    Check {
        /// Print one JSON object a problem
        json: bool,
        /// Deployment folder
        #[bpaf(positional("DIR"))]
        folder: PathBuf,
    },
    /// Read or change the configuration of the running control group
    #[bpaf(command)]
    Config(#[bpaf(external(config_command))] ConfigCommand),
    /// Check policy programs and compare how policies perform
    #[bpaf(command)]
    Policy(#[bpaf(external(policy_command))] PolicyCommand),
    /// Show who is alive, who leads, and which revision is in force where
    #[bpaf(command)]
    Status(#[bpaf(external(group))] Group),
    /// Print the hash of an API key, as declarations store it; the key is read from standard input
    #[bpaf(command("key-hash"))]
    KeyHash,
}

/// Flags of a process.
#[derive(Clone, Debug, Bpaf)]
pub struct ProcessFlags {
    /// Settings file
    #[bpaf(argument("FILE"))]
    pub settings: PathBuf,
    /// Zone, in place of the file's
    #[bpaf(argument("ZONE"))]
    pub zone: Option<String>,
    /// Own address, in place of the file's
    #[bpaf(argument("IP:PORT"))]
    pub address: Option<SocketAddr>,
}

/// How to reach the control group.
#[derive(Clone, Debug, Bpaf)]
pub struct Group {
    /// A control member's address; repeat it for each
    #[bpaf(argument("IP:PORT"), some("name at least one control member with --control"))]
    pub control: Vec<SocketAddr>,
    /// File that holds the cluster key
    #[bpaf(argument("FILE"))]
    pub key_file: PathBuf,
    /// Print one JSON object a line
    pub json: bool,
}

/// Subcommands of `config`.
#[derive(Clone, Debug, Bpaf)]
pub enum ConfigCommand {
    /// Show what applying a folder would change
    #[bpaf(command)]
    Diff {
        #[bpaf(external(group))]
        /// Group
        group: Group,
        /// Deployment folder
        #[bpaf(positional("DIR"))]
        folder: PathBuf,
    },
    /// Put a folder in force everywhere
    #[bpaf(command)]
    Apply {
        #[bpaf(external(group))]
        /// Group
        group: Group,
        /// Revision that the change is made against, as `config status` shows it
        #[bpaf(argument("REVISION"))]
        expect_revision: u64,
        /// Name of this change; sent again, it gets the first answer
        #[bpaf(argument("ID"))]
        request_id: String,
        /// Deployment folder
        #[bpaf(positional("DIR"))]
        folder: PathBuf,
    },
    /// Show the newest revision and who has not got it yet
    #[bpaf(command)]
    Status(#[bpaf(external(group))] Group),
    /// Show accepted changes, newest first
    #[bpaf(command)]
    History(#[bpaf(external(group))] Group),
}

/// Subcommands of `policy`.
#[derive(Clone, Debug, Bpaf)]
pub enum PolicyCommand {
    /// Check a policy program
    #[bpaf(command)]
    Check {
        /// Program
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// List the policies in force with their shares
    #[bpaf(command)]
    List(#[bpaf(external(group))] Group),
    /// Compare policies by the counters of running nodes
    #[bpaf(command)]
    Report {
        /// A node's callers' address; repeat it for each
        #[bpaf(argument("IP:PORT"), some("name at least one node with --node"))]
        node: Vec<SocketAddr>,
        /// Print one JSON object a policy
        json: bool,
    },
}

/// Parser of the command line.
pub fn parser() -> bpaf::OptionParser<Options> {
    options()
}

/// Keeps the trait in use for the derive above.
const _: fn() = || {
    fn is_parser<T>(_: impl Parser<T>) {}
    is_parser(command());
};
