//! Settings of a process of a fleet, in TOML.

use eyre::{Result, WrapErr, eyre};
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use topazmount_admission::PushbackSettings;
use topazmount_control::RolloutSettings;
use topazmount_gateway::{BudgetSettings, ConnectionSettings, GatewaySettings, QuotaSettings};
use topazmount_routing::{BUILT_IN, PolicyProgram, PolicyTable, ProgramLimits, ShareSettings};

/// Settings of one process.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetSettings {
    /// Name, unique in the fleet.
    pub name: String,
    /// Zone.
    pub zone: String,
    /// Region.
    pub region: String,
    /// Secret that all processes of the fleet share.
    pub cluster_key: String,
    /// Internal port of control members, the same on all machines.
    pub peer_port: u16,
    /// Addresses of some control members; only the machine counts.
    pub seeds: Vec<SocketAddr>,
    /// Whether the fleet starts for the first time, with empty disks.
    #[serde(default)]
    pub form_group: bool,
    /// Folder of a control member.
    pub data_folder: Option<PathBuf>,
    /// Where the process listens.
    pub listen: ListenAddresses,
    /// Bounds that it keeps.
    pub bounds: Bounds,
    /// Kept connections to replicas.
    #[serde(default)]
    pub connections: ConnectionPoolSettings,
    /// What a gateway believes of caches.
    #[serde(default)]
    pub caches: CacheSettings,
    /// How long a process believes what replicas and stores ask of it.
    #[serde(default)]
    pub pushback: PushbackLimits,
    /// How a roll-out of weights spares those who serve.
    #[serde(default)]
    pub rollout: RolloutLimits,
    /// Policy programs that decide on a gateway, or are shadowed there.
    #[serde(default, rename = "policy")]
    pub policies: Vec<FleetPolicy>,
}

/// A policy program of a gateway.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetPolicy {
    /// Name in reports.
    pub name: String,
    /// File of the program.
    pub file: PathBuf,
    /// Part of the prompts that it decides, 0 to 1.
    #[serde(default)]
    pub share: f64,
    /// Whether it is compared with whatever decides.
    #[serde(default)]
    pub shadow: bool,
}

/// Addresses; each is served by the kind of process that has a use for it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenAddresses {
    /// Clients of a gateway.
    pub clients: Option<SocketAddr>,
    /// Readiness of a gateway.
    pub ready: Option<SocketAddr>,
    /// Operators and replicas.
    pub control: Option<SocketAddr>,
    /// Clients that ask for gateways.
    pub directory: Option<SocketAddr>,
    /// Metrics.
    pub metrics: Option<SocketAddr>,
}

/// Kept connections of a gateway to replicas.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ConnectionPoolSettings {
    /// Whether any are kept.
    pub keep: bool,
    /// Longest idle time before a request that must run at most once, in milliseconds.
    pub once_idle_ms: u64,
    /// Longest idle time before a request that may be repeated, in milliseconds.
    pub most_idle_ms: u64,
}

impl Default for ConnectionPoolSettings {
    fn default() -> Self {
        let cfg = ConnectionSettings::default();
        ConnectionPoolSettings {
            keep: cfg.is_enabled,
            once_idle_ms: cfg.max_idle_non_retryable.as_millis() as u64,
            most_idle_ms: cfg.max_idle.as_millis() as u64,
        }
    }
}

/// What a gateway believes of replicas' caches.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CacheSettings {
    /// Age up to which a replica almost surely holds what it was seen to read or use, in
    /// milliseconds; what is older is rather taken from a store.
    pub surely_kept_ms: u64,
}

impl Default for CacheSettings {
    fn default() -> Self {
        let surely_kept = GatewaySettings::default().reliable_cache_age;
        CacheSettings { surely_kept_ms: surely_kept.as_millis() as u64 }
    }
}

/// How long a process believes what replicas and stores ask of it, in seconds.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PushbackLimits {
    /// Longest rest.
    pub longest_rest_s: f64,
    /// Longest time for which a replica that said that it leaves is left alone, since it last said so.
    pub longest_leave_s: f64,
}

impl Default for PushbackLimits {
    fn default() -> Self {
        let cfg = PushbackSettings::default();
        PushbackLimits {
            longest_rest_s: cfg.longest_rest.as_secs_f64(),
            longest_leave_s: cfg.longest_leave.as_secs_f64(),
        }
    }
}

/// How a roll-out of weights spares replicas that serve.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RolloutLimits {
    /// Time that a load is taken to need until one was seen to end, in milliseconds.
    pub first_load_ms: u64,
    /// Share of a service's replicas that load at a time where that is enough.
    pub usually_loading: f64,
    /// Share of a service's replicas that go on serving while others load.
    pub least_serving: f64,
}

impl Default for RolloutLimits {
    fn default() -> Self {
        let cfg = RolloutSettings::default();
        RolloutLimits {
            first_load_ms: cfg.initial_load_time.as_millis() as u64,
            usually_loading: cfg.usual_loading_share,
            least_serving: cfg.min_serving_share,
        }
    }
}

/// Bounds, as the operator sets them.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// Time of a planned stop, in seconds.
    pub stop_s: f64,
    /// Time after which a removed key must be refused, in milliseconds; 0 for no bound.
    pub revocation_ms: u64,
    /// Time between the orders of two holders, in milliseconds.
    pub lease_ms: u64,
    /// Time within which a named version of weights must be everywhere, in milliseconds.
    pub spread_ms: u64,
    /// Repeats per request.
    pub retry_ratio: f64,
    /// Repeats beyond that.
    pub retry_slack: f64,
    /// Window of the retry budget, in seconds.
    pub retry_window_s: f64,
    /// Window over which tenants' use is counted, in seconds.
    #[serde(default = "quota_window_s")]
    pub quota_window_s: f64,
    /// Share by which tenants may exceed their limits in a window.
    #[serde(default)]
    pub quota_overrun: f64,
    /// Units beyond that, over all gateways.
    #[serde(default)]
    pub quota_slack: f64,
}

/// Longest window over which use is counted, in seconds: an hour.
const LONGEST_QUOTA_WINDOW_S: f64 = 3_600.0;

/// Longest time that a load may be taken to need at first, in milliseconds: an hour.
const LONGEST_FIRST_LOAD_MS: u64 = 3_600_000;

/// Longest time for which a replica's word may be believed, in seconds: a day.
const LONGEST_PUSHBACK_S: f64 = 86_400.0;

fn quota_window_s() -> f64 {
    QuotaSettings::default().window.as_secs_f64()
}

impl FleetSettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// What is wrong, with file and key.
    pub fn read(path: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(path)
            .wrap_err_with(|| format!("reading {}", path.display()))?;
        Self::parse(&text).wrap_err_with(|| format!("in {}", path.display()))
    }

    /// Checks the text of a settings file.
    ///
    /// # Errors
    /// What is wrong, with the key.
    pub fn parse(text: &str) -> Result<Self> {
        let settings: FleetSettings = toml::from_str(text)?;
        let bounds = &settings.bounds;
        eyre::ensure!(!settings.name.is_empty(), "name: must not be empty");
        eyre::ensure!(!settings.cluster_key.is_empty(), "cluster_key: must not be empty");
        eyre::ensure!(!settings.seeds.is_empty(), "seeds: name at least one control member");
        let is_number = |value: f64| value.is_finite() && value >= 0.0;
        eyre::ensure!(is_number(bounds.stop_s), "bounds.stop_s: must be 0 or more");
        eyre::ensure!(is_number(bounds.retry_ratio), "bounds.retry_ratio: must be 0 or more");
        eyre::ensure!(is_number(bounds.retry_slack), "bounds.retry_slack: must be 0 or more");
        eyre::ensure!(is_number(bounds.retry_window_s), "bounds.retry_window_s: must be 0 or more");
        let window = bounds.quota_window_s;
        let is_window = window > 0.0 && window <= LONGEST_QUOTA_WINDOW_S;
        eyre::ensure!(is_window, "bounds.quota_window_s: must be more than 0 and at most 3600");
        eyre::ensure!(is_number(bounds.quota_overrun), "bounds.quota_overrun: must be 0 or more");
        eyre::ensure!(is_number(bounds.quota_slack), "bounds.quota_slack: must be 0 or more");
        let pushback = &settings.pushback;
        let is_time = |seconds: f64| (0.0..=LONGEST_PUSHBACK_S).contains(&seconds);
        eyre::ensure!(
            is_time(pushback.longest_rest_s),
            "pushback.longest_rest_s: must be 0 to 86400"
        );
        eyre::ensure!(
            is_time(pushback.longest_leave_s),
            "pushback.longest_leave_s: must be 0 to 86400"
        );
        let rollout = &settings.rollout;
        let is_load = (1..=LONGEST_FIRST_LOAD_MS).contains(&rollout.first_load_ms);
        eyre::ensure!(is_load, "rollout.first_load_ms: must be 1 to 3600000");
        let is_share = (0.0..=1.0).contains(&rollout.least_serving);
        eyre::ensure!(is_share, "rollout.least_serving: must be 0 to 1");
        let is_share = (0.0..=1.0).contains(&rollout.usually_loading);
        eyre::ensure!(is_share, "rollout.usually_loading: must be 0 to 1");
        settings.check_policies()?;
        Ok(settings)
    }

    fn check_policies(&self) -> Result<()> {
        let mut names = BTreeSet::from([BUILT_IN]);
        for policy in &self.policies {
            let is_new = names.insert(policy.name.as_str());
            eyre::ensure!(is_new, "policy.name: \"{}\" is taken", policy.name);
            let is_share = (0.0..=1.0).contains(&policy.share);
            eyre::ensure!(is_share, "policy.share: must be 0 to 1 for \"{}\"", policy.name);
        }
        let shares: f64 = self.policies.iter().map(|policy| policy.share).sum();
        eyre::ensure!(shares <= 1.0, "policy.share: the shares add up to more than 1");
        Ok(())
    }

    /// Reads and compiles the policy programs into a table.
    ///
    /// # Errors
    /// What is wrong, with the file and, for a program, its line.
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

    /// Internal addresses of the seeds.
    pub fn seed_peer_addresses(&self) -> Vec<SocketAddr> {
        self.seeds.iter().map(|seed| SocketAddr::new(seed.ip(), self.peer_port)).collect()
    }

    /// Time of a planned stop.
    pub fn stop_timeout(&self) -> Duration {
        Duration::from_secs_f64(self.bounds.stop_s)
    }

    /// Bounds of a gateway.
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
                max_idle_non_retryable: Duration::from_millis(self.connections.once_idle_ms),
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
        }
    }

    /// How long every kind of process believes what replicas and stores ask of it.
    pub fn pushback_settings(&self) -> PushbackSettings {
        PushbackSettings {
            longest_rest: Duration::from_secs_f64(self.pushback.longest_rest_s),
            longest_leave: Duration::from_secs_f64(self.pushback.longest_leave_s),
        }
    }

    /// Bounds of the roll-out of weights.
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
