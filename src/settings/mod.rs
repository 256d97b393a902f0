//! Settings: the platform's TOML file, checked, and what is derived from it.
//!
//! `cluster` and `team` have the parts of the file, `validation` the checks on its values,
//! `timing` the durations that follow from them, `capacity` the memory that a node needs,
//! `warning` what operators are warned of, `operator` the operators' own file, and `error` why
//! a file is refused.

mod capacity;
mod cluster;
mod error;
mod operator;
mod team;
mod timing;
mod validation;
mod warning;

pub use cluster::{
    Cloud, Cluster, MachineLimits, ObjectiveKind, ServiceLevelObjective, State, Workers,
};
pub use error::{InvalidField, ParseError, SettingsError};
pub use operator::Operator;
pub use team::{Limit, Team};
pub use timing::Timing;
pub use warning::SettingsWarning;

use crate::constants;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;

/// Bodies of the largest size for which there is always memory.
const MIN_BODIES: usize = 4;

/// Sockets that a node uses at most beside those of `front`.
const OWN_CONNECTIONS: usize = constants::MAX_USER_CALLS
    + constants::MAX_WORKER_CALLS
    + constants::MAX_PEER_CONNECTIONS
    + IDLE_CONNECTION_ADDRESSES * constants::MAX_IDLE_CONNECTIONS;

/// Addresses to which idle connections are allowed for: the two services, with a margin.
const IDLE_CONNECTION_ADDRESSES: usize = 4;

/// Bytes of a KiB.
const BYTES_PER_KIB: f64 = 1024.0;

/// Another controller node.
#[derive(Debug, Clone, Deserialize)]
pub struct Peer {
    /// The node's name.
    #[serde(rename = "node_name")]
    pub node: String,
    /// The node's zone.
    #[serde(rename = "site", default)]
    pub zone: String,
    /// Where the node accepts connections of its peers.
    pub addr: SocketAddr,
}

/// Addresses of the services that a node calls.
#[derive(Debug, Clone, Deserialize)]
pub struct Services {
    /// The cloud's API.
    pub cloud: SocketAddr,
    /// The state service.
    pub state: SocketAddr,
}

/// The settings of a node.
#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    /// The node's name, unique in the cluster.
    #[serde(rename = "node_name")]
    pub node: String,
    /// The node's zone.
    #[serde(rename = "site", default)]
    pub zone: String,
    /// Where the node accepts connections of users, workers and the load balancer.
    pub front: SocketAddr,
    /// Where the node accepts connections of its peers.
    pub back: SocketAddr,
    /// The other nodes of the cluster.
    #[serde(default)]
    pub peers: Vec<Peer>,
    /// Services that the node calls.
    pub services: Services,
    /// What is the same for all nodes.
    pub cluster: Cluster,
    /// The operators' own settings; the defaults if there is no file of theirs.
    #[serde(skip)]
    pub operator: Operator,
}

impl Settings {
    /// Reads and checks the platform's file and, where one is given, the operators' file.
    ///
    /// # Errors
    ///
    /// [`SettingsError::Read`] if a file can't be read, and those of [`Settings::parse`] and
    /// [`Operator::parse`].
    pub fn load(file: &Path, operator: Option<&Path>) -> Result<Settings, SettingsError> {
        let mut settings = Settings::parse(&read(file)?, &file.display().to_string())?;
        if let Some(path) = operator {
            settings.operator = Operator::parse(&read(path)?, &path.display().to_string())?;
        }
        Ok(settings)
    }

    /// Parses and checks the platform's settings; `file` names them in errors.
    ///
    /// # Errors
    ///
    /// [`SettingsError::Parse`] if the text does not have the expected form, and
    /// [`SettingsError::Field`] if a value is not allowed.
    pub fn parse(text: &str, file: &str) -> Result<Settings, SettingsError> {
        let mut settings: Settings =
            toml::from_str(text).map_err(|error| SettingsError::Parse {
                file: file.into(),
                source: error.into(),
            })?;
        validation::validate(&settings).map_err(|source| SettingsError::Field {
            file: file.into(),
            source,
        })?;
        settings.cluster.state.apply_lower_limits();
        Ok(settings)
    }

    /// The team of that name, if there is one.
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.cluster.teams.iter().find(|team| team.name == name)
    }

    /// Durations that follow from the settings.
    pub fn timing(&self) -> Timing {
        Timing::new(&self.cluster.workers)
    }

    /// Connections accepted on `front` at once: what the machine allows, less those that the node
    /// opens itself, but at least half, since it rarely has all of its own open.
    pub fn max_front_connections(&self) -> usize {
        let max_connections = self.cluster.machine_limits.max_connections;
        let remaining = max_connections.saturating_sub(OWN_CONNECTIONS);
        remaining.max(max_connections / 2)
    }

    /// Bytes that the bodies of requests may take at one time.
    pub fn body_budget(&self) -> usize {
        let share = self.memory_bytes() / constants::BODY_MEMORY_DIVISOR;
        share.max(MIN_BODIES * constants::MAX_BODY_BYTES)
    }

    /// Size of the largest value that the state service accepts, in bytes of its JSON form.
    pub fn max_value_bytes(&self) -> usize {
        (self.cluster.state.value_kb * BYTES_PER_KIB) as usize
    }
}

fn read(path: &Path) -> Result<String, SettingsError> {
    std::fs::read_to_string(path).map_err(|source| SettingsError::Read {
        file: path.display().to_string(),
        source,
    })
}

#[cfg(test)]
pub(crate) mod tests;
