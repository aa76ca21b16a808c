//! Settings of a fleet's processes, in TOML.

use eyre::{Result, WrapErr, eyre};
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;
use topazmount_admission::PushbackSettings;
use topazmount_control::{DEFAULT_HEARTBEAT_INTERVAL, RolloutSettings};
use topazmount_gateway::{BudgetSettings, ConnectionSettings, GatewaySettings, QuotaSettings};
use topazmount_routing::{BUILT_IN, PolicyProgram, PolicyTable, ProgramLimits, ShareSettings};

/// Settings of one process.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetSettings {
    /// Name of the process, unique in the fleet.
    pub name: String,
    /// Zone that the process runs in.
    pub zone: String,
    /// Region of the zone.
    pub region: String,
    /// Secret that all processes of the fleet share.
    pub cluster_key: String,
    /// Port for messages between the fleet's processes, the same on all machines.
    pub peer_port: u16,
    /// Port at which gateways accept tunnels of each other, the same on all machines; the port after
    /// `peer_port` by default.
    pub tunnel_port: Option<u16>,
    /// Addresses of some control members; only their IP addresses are used.
    pub seeds: Vec<SocketAddr>,
    /// Whether the fleet starts for the first time, with empty disks.
    #[serde(default)]
    pub form_group: bool,
    /// Interval at which replicas send heartbeats, in milliseconds.
    #[serde(default = "heartbeat_ms")]
    pub heartbeat_ms: u64,
    /// Data folder of a control member.
    pub data_folder: Option<PathBuf>,
    /// Addresses at which the process listens.
    pub listen: ListenAddresses,
    /// Time limits, retry budget and quotas.
    pub bounds: Bounds,
    /// Pooled connections to replicas.
    #[serde(default)]
    pub connections: ConnectionPoolSettings,
    /// Assumptions about replicas' caches.
    #[serde(default)]
    pub caches: CacheSettings,
    /// Upper bounds on pushback from replicas and stores.
    #[serde(default)]
    pub pushback: PushbackLimits,
    /// Limits on roll-outs of weights.
    #[serde(default)]
    pub rollout: RolloutLimits,
    /// Policy programs of a gateway.
    #[serde(default, rename = "policy")]
    pub policies: Vec<FleetPolicy>,
}

/// A policy program of a gateway.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetPolicy {
    /// Name in reports and metrics.
    pub name: String,
    /// File of the program.
    pub file: PathBuf,
    /// Share of the prompts that it decides, 0 to 1.
    #[serde(default)]
    pub share: f64,
    /// Whether its decisions are computed and compared with the active ones.
    #[serde(default)]
    pub shadow: bool,
}

/// Addresses at which a process listens; each kind of process uses some of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenAddresses {
    /// Requests of clients to a gateway.
    pub clients: Option<SocketAddr>,
    /// Readiness checks of a gateway.
    pub ready: Option<SocketAddr>,
    /// Calls of operators and replicas to a control member.
    pub control: Option<SocketAddr>,
    /// Directory of gateways for clients.
    pub directory: Option<SocketAddr>,
    /// Metrics of any process.
    pub metrics: Option<SocketAddr>,
}

/// Pooled connections of a gateway to replicas.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ConnectionPoolSettings {
    /// Whether connections are pooled.
    pub keep: bool,
    /// Has no effect: requests that must run at most once are sent on new connections. Still accepted,
    /// so that existing files remain valid.
    pub once_idle_ms: Option<u64>,
    /// Maximum idle time of a connection, in milliseconds. Only requests that may be repeated use
    /// pooled connections.
    pub most_idle_ms: u64,
    /// Local address of connections to replicas, on a machine with several; the system chooses it
    /// otherwise.
    pub local_ip: Option<IpAddr>,
}

impl Default for ConnectionPoolSettings {
    fn default() -> Self {
        let defaults = ConnectionSettings::default();
        ConnectionPoolSettings {
            keep: defaults.is_enabled,
            once_idle_ms: None,
            most_idle_ms: defaults.max_idle.as_millis() as u64,
            local_ip: None,
        }
    }
}

/// Assumptions of a gateway about replicas' caches.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CacheSettings {
    /// Time after its last use for which a prompt part is assumed to be in a replica's cache, in
    /// milliseconds. Older parts are preferably fetched from a store.
    pub surely_kept_ms: u64,
}

impl Default for CacheSettings {
    fn default() -> Self {
        let surely_kept = GatewaySettings::default().reliable_cache_age;
        CacheSettings { surely_kept_ms: surely_kept.as_millis() as u64 }
    }
}

/// Upper bounds on pushback from replicas and stores, in seconds.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PushbackLimits {
    /// Longest backoff.
    pub longest_rest_s: f64,
    /// Time after which a replica's last report that it is leaving expires.
    pub longest_leave_s: f64,
}

impl Default for PushbackLimits {
    fn default() -> Self {
        let defaults = PushbackSettings::default();
        PushbackLimits {
            longest_rest_s: defaults.max_backoff.as_secs_f64(),
            longest_leave_s: defaults.max_leaving.as_secs_f64(),
        }
    }
}

/// Limits on roll-outs of weights.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RolloutLimits {
    /// Assumed duration of a load until one has completed, in milliseconds.
    pub first_load_ms: u64,
    /// Share of a service's replicas that load at a time, unless more are needed to finish in time.
    pub usually_loading: f64,
    /// Share of a service's replicas that keep serving while others load.
    pub least_serving: f64,
}

impl Default for RolloutLimits {
    fn default() -> Self {
        let defaults = RolloutSettings::default();
        RolloutLimits {
            first_load_ms: defaults.initial_load_time.as_millis() as u64,
            usually_loading: defaults.usual_loading_share,
            least_serving: defaults.min_serving_share,
        }
    }
}

/// Time limits, retry budget and quotas.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// Time limit of a graceful stop, in seconds.
    pub stop_s: f64,
    /// Time after which a removed API key must be refused, in milliseconds; 0 for no limit.
    pub revocation_ms: u64,
    /// Minimum time between the orders of two leaders, in milliseconds.
    pub lease_ms: u64,
    /// Time within which all replicas must have a published version of weights, in milliseconds.
    pub spread_ms: u64,
    /// Retries per request.
    pub retry_ratio: f64,
    /// Retries allowed in addition.
    pub retry_slack: f64,
    /// Window of the retry budget, in seconds.
    pub retry_window_s: f64,
    /// Window over which tenants' usage is counted, in seconds.
    #[serde(default = "quota_window_s")]
    pub quota_window_s: f64,
    /// Share by which tenants may exceed their limits in a window.
    #[serde(default)]
    pub quota_overrun: f64,
    /// Units allowed in addition, over all gateways.
    #[serde(default)]
    pub quota_slack: f64,
}

/// Longest quota window, in seconds.
const MAX_QUOTA_WINDOW_S: f64 = 3_600.0;

/// Longest assumed duration of a load, in milliseconds.
const MAX_FIRST_LOAD_MS: u64 = 3_600_000;

/// Upper bound of both pushback limits, in seconds.
const MAX_PUSHBACK_S: f64 = 86_400.0;

/// Longest interval of heartbeats, in milliseconds.
const MAX_HEARTBEAT_MS: u64 = 600_000;

fn heartbeat_ms() -> u64 {
    DEFAULT_HEARTBEAT_INTERVAL.as_millis() as u64
}

fn quota_window_s() -> f64 {
    QuotaSettings::default().window.as_secs_f64()
}

impl FleetSettings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    /// If the file can't be read or a setting is invalid; names the file and the key.
    pub fn read(path: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(path)
            .wrap_err_with(|| format!("reading {}", path.display()))?;
        Self::parse(&text).wrap_err_with(|| format!("in {}", path.display()))
    }

    /// Parses and validates the text of a settings file.
    ///
    /// # Errors
    /// If a setting is invalid; names the key.
    pub fn parse(text: &str) -> Result<Self> {
        let settings: FleetSettings = toml::from_str(text)?;
        let bounds = &settings.bounds;
        eyre::ensure!(!settings.name.is_empty(), "name: must not be empty");
        eyre::ensure!(!settings.cluster_key.is_empty(), "cluster_key: must not be empty");
        eyre::ensure!(!settings.seeds.is_empty(), "seeds: must list at least one control member");
        let is_interval = (1..=MAX_HEARTBEAT_MS).contains(&settings.heartbeat_ms);
        eyre::ensure!(is_interval, "heartbeat_ms: must be 1 to {MAX_HEARTBEAT_MS}");
        let is_non_negative = |value: f64| value.is_finite() && value >= 0.0;
        eyre::ensure!(is_non_negative(bounds.stop_s), "bounds.stop_s: must be 0 or more");
        eyre::ensure!(is_non_negative(bounds.retry_ratio), "bounds.retry_ratio: must be 0 or more");
        eyre::ensure!(is_non_negative(bounds.retry_slack), "bounds.retry_slack: must be 0 or more");
        eyre::ensure!(
            is_non_negative(bounds.retry_window_s),
            "bounds.retry_window_s: must be 0 or more"
        );
        let window = bounds.quota_window_s;
        let is_valid_window = window > 0.0 && window <= MAX_QUOTA_WINDOW_S;
        eyre::ensure!(
            is_valid_window,
            "bounds.quota_window_s: must be more than 0 and at most 3600"
        );
        eyre::ensure!(
            is_non_negative(bounds.quota_overrun),
            "bounds.quota_overrun: must be 0 or more"
        );
        eyre::ensure!(is_non_negative(bounds.quota_slack), "bounds.quota_slack: must be 0 or more");
        let pushback = &settings.pushback;
        let is_valid = |seconds: f64| (0.0..=MAX_PUSHBACK_S).contains(&seconds);
        eyre::ensure!(
            is_valid(pushback.longest_rest_s),
            "pushback.longest_rest_s: must be 0 to 86400"
        );
        eyre::ensure!(
            is_valid(pushback.longest_leave_s),
            "pushback.longest_leave_s: must be 0 to 86400"
        );
        let rollout = &settings.rollout;
        let is_valid_duration = (1..=MAX_FIRST_LOAD_MS).contains(&rollout.first_load_ms);
        eyre::ensure!(is_valid_duration, "rollout.first_load_ms: must be 1 to 3600000");
        let is_share = (0.0..=1.0).contains(&rollout.least_serving);
        eyre::ensure!(is_share, "rollout.least_serving: must be 0 to 1");
        let is_share = (0.0..=1.0).contains(&rollout.usually_loading);
        eyre::ensure!(is_share, "rollout.usually_loading: must be 0 to 1");
        settings.check_policies()?;
        Ok(settings)
    }

    /// Logs settings that have no effect.
    pub(super) fn warn_unused(&self) {
        if let Some(value) = self.connections.once_idle_ms {
            log::warn!("gateway: event=unused_setting key=connections.once_idle_ms value={value}");
        }
    }

    fn check_policies(&self) -> Result<()> {
        let mut names = BTreeSet::from([BUILT_IN]);
        for policy in &self.policies {
            let is_new = names.insert(policy.name.as_str());
            eyre::ensure!(is_new, "policy.name: \"{}\" is already used", policy.name);
            let is_share = (0.0..=1.0).contains(&policy.share);
            eyre::ensure!(is_share, "policy.share: must be 0 to 1 for \"{}\"", policy.name);
        }
        let shares: f64 = self.policies.iter().map(|policy| policy.share).sum();
        eyre::ensure!(shares <= 1.0, "policy.share: the sum of all shares must be at most 1");
        Ok(())
    }

    /// Reads and compiles the policy programs and puts them into a table.
    ///
    /// # Errors
    /// If a file can't be read or a program is invalid; names the file and, for a program, its line.
    pub fn load_policies(&self, table: &mut PolicyTable) -> Result<()> {
        let mut programs = Vec::new();
        for policy in &self.policies {
            let text = std::fs::read_to_string(&policy.file)
                .wrap_err_with(|| format!("reading {}", policy.file.display()))?;
            let program = PolicyProgram::compile(&text, ProgramLimits::default())
                .map_err(|error| eyre!("{}: {error}", policy.file.display()))?;
            programs.push((policy.name.clone(), program));
        }
        let shares: Vec<ShareSettings> = self
            .policies
            .iter()
            .map(|policy| ShareSettings { policy: policy.name.clone(), share: policy.share })
            .collect();
        let shadows: Vec<String> = self
            .policies
            .iter()
            .filter(|policy| policy.shadow)
            .map(|policy| policy.name.clone())
            .collect();
        table.replace(programs, &shares, &shadows);
        Ok(())
    }

    /// Addresses of the seeds with the internal port.
    pub fn seed_peer_addresses(&self) -> Vec<SocketAddr> {
        self.seeds.iter().map(|seed| SocketAddr::new(seed.ip(), self.peer_port)).collect()
    }

    /// Port at which gateways accept tunnels.
    pub fn tunnel_port(&self) -> u16 {
        self.tunnel_port.unwrap_or(self.peer_port.wrapping_add(1))
    }

    /// UDP port at which control members hold records of streams. It has the number of the port for
    /// tunnels, which is a TCP port of gateways.
    pub fn origin_port(&self) -> u16 {
        self.tunnel_port()
    }

    /// Interval at which replicas send heartbeats.
    pub fn heartbeat_interval(&self) -> Duration {
        Duration::from_millis(self.heartbeat_ms)
    }

    /// Time limit of a graceful stop.
    pub fn stop_timeout(&self) -> Duration {
        Duration::from_secs_f64(self.bounds.stop_s)
    }

    /// Settings of a gateway.
    pub fn gateway_settings(&self) -> GatewaySettings {
        let bounds = &self.bounds;
        let revocation = Duration::from_millis(bounds.revocation_ms);
        GatewaySettings {
            max_revocation_delay: (!revocation.is_zero()).then_some(revocation),
            budget: BudgetSettings {
                ratio: bounds.retry_ratio,
                slack: bounds.retry_slack,
                window: Duration::from_secs_f64(bounds.retry_window_s),
            },
            connections: ConnectionSettings {
                is_enabled: self.connections.keep,
                max_idle: Duration::from_millis(self.connections.most_idle_ms),
            },
            reliable_cache_age: Duration::from_millis(self.caches.surely_kept_ms),
            quota: QuotaSettings {
                window: Duration::from_secs_f64(bounds.quota_window_s),
                overrun: bounds.quota_overrun,
                slack: bounds.quota_slack,
            },
            pushback: self.pushback_settings(),
            rollout: self.rollout_settings(),
            heartbeat_interval: self.heartbeat_interval(),
        }
    }

    /// Upper bounds on pushback, the same for all kinds of processes.
    pub fn pushback_settings(&self) -> PushbackSettings {
        PushbackSettings {
            max_backoff: Duration::from_secs_f64(self.pushback.longest_rest_s),
            max_leaving: Duration::from_secs_f64(self.pushback.longest_leave_s),
        }
    }

    /// Settings of roll-outs of weights.
    pub fn rollout_settings(&self) -> RolloutSettings {
        RolloutSettings {
            lease: Duration::from_millis(self.bounds.lease_ms),
            deadline: Duration::from_millis(self.bounds.spread_ms),
            initial_load_time: Duration::from_millis(self.rollout.first_load_ms),
            usual_loading_share: self.rollout.usually_loading,
            min_serving_share: self.rollout.least_serving,
            pushback: self.pushback_settings(),
        }
    }
}
