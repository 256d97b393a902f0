//! Settings: the platform's TOML file, checked, and what is derived from it.

mod operator;

pub use operator::Operator;

use crate::constants as k;
use crate::model::Resources;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// What is wrong with a settings file.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    #[error("{file}: {source}")]
    Read {
        file: String,
        source: std::io::Error,
    },
    #[error("{file}: {message}")]
    Parse { file: String, message: String },
    #[error("{file}: {field}: {allowed}")]
    Field {
        file: String,
        field: String,
        allowed: String,
    },
}

#[derive(Debug, Clone, Deserialize)]
pub struct Peer {
    #[serde(rename = "node_name")]
    pub node: String,
    #[serde(rename = "site", default)]
    pub zone: String,
    pub addr: SocketAddr,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Services {
    pub cloud: SocketAddr,
    pub state: SocketAddr,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Team {
    pub name: String,
    #[serde(default)]
    pub cpus: f64,
    #[serde(default)]
    pub cpus_max: f64,
    #[serde(default)]
    pub gpus: f64,
    #[serde(default)]
    pub gpus_max: f64,
}

impl Team {
    /// The guarantee; `None` where the team has none in that amount.
    pub fn guarantee(&self) -> Limit {
        Limit::new(self.cpus, self.gpus)
    }

    /// The most its tasks may use.
    pub fn limit(&self) -> Limit {
        Limit::new(self.cpus_max, self.gpus_max)
    }
}

/// A bound on CPUs and GPUs, either of which may be absent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Limit {
    pub cpus: Option<u64>,
    pub gpus: Option<u64>,
}

impl Limit {
    fn new(cpus: f64, gpus: f64) -> Self {
        let bound = |x: f64| (x > 0.0).then(|| Resources::capacity(x, 0.0, 0.0).cpus);
        Limit {
            cpus: bound(cpus),
            gpus: bound(gpus),
        }
    }

    /// Whether `used` stays within the bound.
    pub fn holds(&self, used: Resources) -> bool {
        self.cpus.is_none_or(|most| used.cpus <= most)
            && self.gpus.is_none_or(|most| used.gpus <= most)
    }

    /// What `used` leaves of the bound; all there is where there is none.
    pub fn less(&self, used: Resources) -> Resources {
        let left = |most: Option<u64>, used| most.map_or(u64::MAX, |m| m.saturating_sub(used));
        Resources {
            cpus: left(self.cpus, used.cpus),
            gpus: left(self.gpus, used.gpus),
            memory: u64::MAX,
        }
    }

    pub fn is_some(&self) -> bool {
        self.cpus.is_some() || self.gpus.is_some()
    }
}

/// One aim of the users; kinds this program does not know are kept but not used.
#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    pub kind: String,
    #[serde(default)]
    pub class: Option<String>,
    #[serde(default)]
    pub within_s: Option<f64>,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Workers {
    pub report_s: f64,
    pub lease_s: f64,
    pub gang_wait_s: f64,
    pub gang_peer_s: f64,
    pub cancel_s: f64,
}

#[derive(Debug, Clone, Deserialize)]
pub struct State {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
    /// Limits that will hold from some moment on, without notice.
    #[serde(default)]
    next: Option<NextState>,
}

/// What is left out stays as it is.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
struct NextState {
    rps: Option<f64>,
    write_rps: Option<f64>,
    value_kb: Option<f64>,
    txn_ops: Option<usize>,
}

impl State {
    /// The limits to keep to: the least of those of now and of later. Requests that fit the least of
    /// both fit at any time, so nobody has to find out when the change comes.
    fn keep_to_least(&mut self) {
        let next = self.next.take().unwrap_or_default();
        let least = |now: &mut f64, next: Option<f64>| *now = next.map_or(*now, |n| now.min(n));
        least(&mut self.rps, next.rps);
        least(&mut self.write_rps, next.write_rps);
        least(&mut self.value_kb, next.value_kb);
        self.txn_ops = next.txn_ops.map_or(self.txn_ops, |n| n.min(self.txn_ops));
    }
}

#[derive(Debug, Clone, Deserialize)]
pub struct Cloud {
    pub rps: f64,
    pub list_lag_s: f64,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Cluster {
    pub zones: Vec<String>,
    #[serde(default)]
    pub teams: Vec<Team>,
    #[serde(default)]
    pub objectives: Vec<Objective>,
    pub workers: Workers,
    pub state: State,
    pub cloud: Cloud,
    #[serde(default)]
    pub machine_limits: MachineLimits,
}

/// What this node's machine allows.
#[derive(Debug, Clone, Deserialize)]
#[serde(default)]
pub struct MachineLimits {
    pub max_connections: usize,
}

impl Default for MachineLimits {
    fn default() -> Self {
        MachineLimits {
            max_connections: k::DEFAULT_CONNECTIONS,
        }
    }
}

#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    #[serde(rename = "node_name")]
    pub node: String,
    #[serde(rename = "site", default)]
    pub zone: String,
    pub front: SocketAddr,
    pub back: SocketAddr,
    #[serde(default)]
    pub peers: Vec<Peer>,
    pub services: Services,
    pub cluster: Cluster,
    #[serde(skip)]
    pub operator: Operator,
}

impl Settings {
    /// Reads and checks the platform's file and, where one is given, the operators' file.
    pub fn load(file: &Path, operator: Option<&Path>) -> Result<Settings, SettingsError> {
        let mut settings = Settings::parse(&read(file)?, &file.display().to_string())?;
        if let Some(path) = operator {
            settings.operator = Operator::parse(&read(path)?, &path.display().to_string())?;
        }
        Ok(settings)
    }

    /// Parses and checks the platform's settings; `file` names them in errors.
    pub fn parse(text: &str, file: &str) -> Result<Settings, SettingsError> {
        let mut settings: Settings = toml::from_str(text).map_err(|e| SettingsError::Parse {
            file: file.into(),
            message: e.to_string(),
        })?;
        settings
            .check()
            .map_err(|(field, allowed)| SettingsError::Field {
                file: file.into(),
                field,
                allowed,
            })?;
        settings.cluster.state.keep_to_least();
        Ok(settings)
    }

    fn check(&self) -> Result<(), (String, String)> {
        let fail = |field: &str, allowed: &str| Err((field.to_owned(), allowed.to_owned()));
        if self.node.is_empty() || self.node.len() > 100 || self.node.contains(char::is_whitespace)
        {
            return fail("node_name", "expected 1 to 100 bytes without spaces");
        }
        if self.cluster.zones.is_empty() {
            return fail("cluster.zones", "expected at least one zone");
        }
        let w = &self.cluster.workers;
        let s = &self.cluster.state;
        let positive = [
            ("cluster.workers.report_s", w.report_s),
            ("cluster.workers.lease_s", w.lease_s),
            ("cluster.workers.gang_wait_s", w.gang_wait_s),
            ("cluster.workers.gang_peer_s", w.gang_peer_s),
            ("cluster.workers.cancel_s", w.cancel_s),
            ("cluster.state.rps", s.rps),
            ("cluster.state.write_rps", s.write_rps),
            ("cluster.state.value_kb", s.value_kb),
            ("cluster.cloud.rps", self.cluster.cloud.rps),
        ];
        let next = s.next.clone().unwrap_or_default();
        let to_come = [
            ("cluster.state.next.rps", next.rps),
            ("cluster.state.next.write_rps", next.write_rps),
            ("cluster.state.next.value_kb", next.value_kb),
        ];
        let to_come = to_come
            .into_iter()
            .filter_map(|(field, amount)| Some((field, amount?)));
        for (field, amount) in positive.into_iter().chain(to_come) {
            if !(amount > 0.0 && amount <= 1e6) {
                return fail(field, "expected a number above 0, at most 1e6");
            }
        }
        for (field, amount) in [
            ("cluster.state.value_kb", Some(s.value_kb)),
            ("cluster.state.next.value_kb", next.value_kb),
        ] {
            if amount.is_some_and(|kb| kb < VALUE_KB_MIN) {
                return fail(field, &format!("expected at least {VALUE_KB_MIN}"));
            }
        }
        for (field, amount) in [
            ("cluster.state.txn_ops", Some(s.txn_ops)),
            ("cluster.state.next.txn_ops", next.txn_ops),
        ] {
            if amount.is_some_and(|ops| ops < TXN_OPS_MIN) {
                return fail(field, &format!("expected at least {TXN_OPS_MIN}"));
            }
        }
        if !(0.0..=1e6).contains(&self.cluster.cloud.list_lag_s) {
            return fail(
                "cluster.cloud.list_lag_s",
                "expected a number from 0 to 1e6",
            );
        }
        if self.cluster.machine_limits.max_connections < k::CONNECTIONS_MIN {
            let allowed = format!("expected at least {}", k::CONNECTIONS_MIN);
            return fail("cluster.machine_limits.max_connections", &allowed);
        }
        for team in &self.cluster.teams {
            for (name, amount) in [
                ("cpus", team.cpus),
                ("cpus_max", team.cpus_max),
                ("gpus", team.gpus),
                ("gpus_max", team.gpus_max),
            ] {
                if !(0.0..=1e9).contains(&amount) {
                    return Err((
                        format!("cluster.teams.{}.{name}", team.name),
                        "expected a number from 0 to 1e9".into(),
                    ));
                }
            }
        }
        if w.cancel_s < w.lease_s + k::CANCEL_SLACK_MIN_S {
            return Err((
                "cluster.workers.cancel_s".into(),
                format!(
                    "{} given; expected at least lease_s ({}) and {} s more",
                    w.cancel_s,
                    w.lease_s,
                    k::CANCEL_SLACK_MIN_S
                ),
            ));
        }
        Ok(())
    }

    pub fn team(&self, name: &str) -> Option<&Team> {
        self.cluster.teams.iter().find(|t| t.name == name)
    }

    pub fn timing(&self) -> Timing {
        Timing::new(&self.cluster.workers)
    }

    /// Connections accepted on `front` at once: what the machine allows, less our own, which
    /// few callers do not use up.
    pub fn front_connections(&self) -> usize {
        let most = self.cluster.machine_limits.max_connections;
        most.saturating_sub(OWN_CONNECTIONS).max(most / 2)
    }

    /// Largest record this service writes, in bytes of its JSON form.
    pub fn value_max(&self) -> usize {
        (self.cluster.state.value_kb * 1024.0) as usize
    }
}

/// Least size of a value in the state service, KiB, and least number of changes of a transaction: a
/// submission without long lists, and a part of an array's progress, take less than the one; a change
/// of leader, a round or an end of a job fits into the other.
const VALUE_KB_MIN: f64 = 2.0;
const TXN_OPS_MIN: usize = 4;

/// Sockets that a node uses at most beside those of `front`.
const OWN_CONNECTIONS: usize =
    k::USER_CALLS + k::WORKER_CALLS + k::PEER_CONNECTIONS + 4 * k::POOL_IDLE;

/// Durations that follow from the settings, ms.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// A worker's lease.
    pub worker_lease: u64,
    /// How long after the send time of its last proof of office and of knowing all
    /// cancellations a leader still answers reports ("grace").
    pub grace: u64,
    /// A machine silent this long is returned: its tasks have lapsed by then in most cases,
    /// and the cloud's answer is the proof.
    pub silent: u64,
    pub report: u64,
    /// Within this time of its last report comes the next one of a worker that took the answer:
    /// reports come up to a quarter late, and an answer may take all the time a worker waits.
    pub on_time: u64,
}

impl Timing {
    /// No caller leaves an open connection unused for longer: workers report more often, users
    /// ask about every 5 s.
    pub fn pause(&self) -> Duration {
        Duration::from_millis(2 * self.on_time)
    }

    fn new(w: &Workers) -> Timing {
        let ms = |s: f64| (s * 1000.0) as u64;
        let slow = |t: u64| t + t * k::DRIFT_PPM / 1_000_000;
        let lease = ms(w.lease_s);
        let slack = ms(w.cancel_s).saturating_sub(slow(lease));
        let grace = slack - k::SAFETY_MARGIN_MS.min(slack / 4);
        Timing {
            worker_lease: lease,
            grace: grace - grace * k::DRIFT_PPM / 1_000_000,
            silent: lease,
            report: ms(w.report_s),
            on_time: ms(w.report_s) * 5 / 4 + k::WORKER_WAIT_MS,
        }
    }
}

fn read(path: &Path) -> Result<String, SettingsError> {
    std::fs::read_to_string(path).map_err(|source| SettingsError::Read {
        file: path.display().to_string(),
        source,
    })
}

#[cfg(test)]
pub mod tests;
