//! Settings: the platform's TOML file, checked, and what is derived from it.
//!
//! [`cluster`] and [`team`] have the parts of the file, [`validation`] the checks on its values,
//! [`timing`] the durations that follow from them, [`capacity`] the memory that it all takes, and [`operator`] the operators' own file.

mod capacity;
mod cluster;
mod operator;
mod team;
mod timing;
mod validation;

pub use capacity::MemoryNeed;
pub use cluster::{
    Cloud, Cluster, MachineLimits, ObjectiveKind, ServiceLevelObjective, State, Workers,
};
pub use operator::Operator;
pub use team::{Limit, Team};
pub use timing::Timing;

use crate::constants;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;

/// What is wrong with a settings file.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("{file}: {source}")]
    Read {
        file: String,
        source: std::io::Error,
    },
    /// The file's text does not have the expected form.
    #[error("{file}: {message}")]
    Parse { file: String, message: String },
    /// A field's value is not allowed.
    #[error("{file}: {field}: {allowed}")]
    Field {
        file: String,
        field: String,
        allowed: String,
    },
}

/// Another controller node.
#[derive(Debug, Clone, Deserialize)]
pub struct Peer {
    #[serde(rename = "node_name")]
    pub node: String,
    #[serde(rename = "site", default)]
    pub zone: String,
    pub addr: SocketAddr,
}

/// Addresses of the services that a node calls.
#[derive(Debug, Clone, Deserialize)]
pub struct Services {
    pub cloud: SocketAddr,
    pub state: SocketAddr,
}

/// The settings of a node.
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
        validation::validate(&settings).map_err(|invalid| SettingsError::Field {
            file: file.into(),
            field: invalid.field,
            allowed: invalid.allowed,
        })?;
        settings.cluster.state.keep_to_least();
        Ok(settings)
    }

    /// The team of that name.
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.cluster.teams.iter().find(|t| t.name == name)
    }

    /// Durations that follow from the settings.
    pub fn timing(&self) -> Timing {
        Timing::new(&self.cluster.workers)
    }

    /// Connections accepted on `front` at once: what the machine allows, less our own, which
    /// few callers do not use up.
    pub fn front_connections(&self) -> usize {
        let most = self.cluster.machine_limits.max_connections;
        most.saturating_sub(OWN_CONNECTIONS).max(most / 2)
    }

    /// Bytes that the bodies of requests may take at one time.
    pub fn body_budget(&self) -> usize {
        let memory = self.cluster.machine_limits.mem_mb * 1e6;
        (memory as usize / constants::BODY_MEMORY_DIVISOR)
            .max(MIN_BODIES * constants::MAX_BODY_BYTES)
    }

    /// Largest record this service writes, in bytes of its JSON form.
    pub fn value_max(&self) -> usize {
        (self.cluster.state.value_kb * 1024.0) as usize
    }
}

/// Bodies of the largest size for which there is always memory.
const MIN_BODIES: usize = 4;

/// Sockets that a node uses at most beside those of `front`.
const OWN_CONNECTIONS: usize = constants::MAX_USER_CALLS
    + constants::MAX_WORKER_CALLS
    + constants::MAX_PEER_CONNECTIONS
    + 4 * constants::MAX_IDLE_CONNECTIONS;

fn read(path: &Path) -> Result<String, SettingsError> {
    std::fs::read_to_string(path).map_err(|source| SettingsError::Read {
        file: path.display().to_string(),
        source,
    })
}

#[cfg(test)]
pub mod tests;
