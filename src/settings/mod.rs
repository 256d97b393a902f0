//! Loads and validates the settings, and derives durations and limits from them.
//!
//! `cluster` and `team` contain the sections of the platform's TOML file, `validation` the checks
//! of its values, `timing` the derived durations, `capacity` the memory that a node needs,
//! `warning` the warnings for operators, `operator` the operators' own file, and `error` the errors
//! of a file that is refused.

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

/// Number of request bodies of the maximum size for which memory is always available.
const MIN_BODIES: usize = 4;

/// Maximum number of sockets that a node uses in addition to those of `front`.
const OWN_CONNECTIONS: usize = constants::MAX_USER_CALLS
    + constants::MAX_WORKER_CALLS
    + constants::MAX_PEER_CONNECTIONS
    + IDLE_CONNECTION_ADDRESSES * constants::MAX_IDLE_CONNECTIONS;

/// Number of addresses for whose idle connections sockets are reserved: the two services and a
/// margin.
const IDLE_CONNECTION_ADDRESSES: usize = 4;

/// Number of bytes in a KiB.
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
    /// Address on which the node accepts connections of its peers.
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
    /// Address on which the node accepts connections of users, workers and the load balancer.
    pub front: SocketAddr,
    /// Address on which the node accepts connections of its peers.
    pub back: SocketAddr,
    /// The other nodes of the cluster.
    #[serde(default)]
    pub peers: Vec<Peer>,
    /// Addresses of the services that the node calls.
    pub services: Services,
    /// Settings that all nodes share.
    pub cluster: Cluster,
    /// The operators' own settings; the defaults if no operators' file is given.
    #[serde(skip)]
    pub operator: Operator,
}

impl Settings {
    /// Reads and validates the platform's file and, if given, the operators' file.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError::Read`] if a file can't be read, and the errors of
    /// [`Settings::parse`] and [`Operator::parse`].
    pub fn load(file: &Path, operator_file: Option<&Path>) -> Result<Settings, SettingsError> {
        let mut settings = Settings::parse(&read_file(file)?, &file.display().to_string())?;
        if let Some(path) = operator_file {
            settings.operator = Operator::parse(&read_file(path)?, &path.display().to_string())?;
        }
        Ok(settings)
    }

    /// Parses and validates the platform's settings; errors contain `file` as the name of the file.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError::Parse`] if the text can't be parsed, and [`SettingsError::Field`]
    /// if a value is not allowed.
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

    /// Returns the team with this name, if it exists.
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.cluster.teams.iter().find(|team| team.name == name)
    }

    /// Returns the durations that are derived from the settings.
    pub fn timing(&self) -> Timing {
        Timing::new(&self.cluster.workers)
    }

    /// Returns the maximum number of concurrent connections on `front`: the machine's limit minus
    /// the connections that the node opens itself, but at least half of the limit, since the node
    /// rarely has all of its own connections open.
    pub fn max_front_connections(&self) -> usize {
        let max_connections = self.cluster.machine_limits.max_connections;
        let remaining = max_connections.saturating_sub(OWN_CONNECTIONS);
        remaining.max(max_connections / 2)
    }

    /// Returns the maximum memory of all request bodies at any time, in bytes.
    pub fn body_budget(&self) -> usize {
        let share = self.memory_bytes() / constants::BODY_MEMORY_DIVISOR;
        share.max(MIN_BODIES * constants::MAX_BODY_BYTES)
    }

    /// Returns the maximum size of a value in the state service, in bytes of JSON.
    pub fn max_value_bytes(&self) -> usize {
        (self.cluster.state.value_kb * BYTES_PER_KIB) as usize
    }
}

fn read_file(path: &Path) -> Result<String, SettingsError> {
    std::fs::read_to_string(path).map_err(|source| SettingsError::Read {
        file: path.display().to_string(),
        source,
    })
}

#[cfg(test)]
pub(crate) mod tests;
