//! Parsing and validation of declarations and process settings in TOML.
//!
//! All problems are reported in one pass, each with file, key and remedy. Only [`read_folder`] and
//! [`read_process_file`] read from disk.

mod declarations;
mod process;
mod reader;
mod source;

pub use declarations::{
    Application, Declarations, Engine, Limits, Model, Network, PolicyDeclaration, PolicyShare,
    Replica, Routing, Service, Tenant, WeightsStore, Zone, api_key_hash,
};
pub use process::{
    ControlSettings, NodeSettings, Overrides, Peer, parse_control, parse_node, read_process_file,
};
pub use reader::{Problem, Problems};
pub use source::{ApplyDeltaError, FileDelta, MAIN_FILE, SourceFiles, read_folder};
