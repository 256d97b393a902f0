//! Controller nodes -> cloud.

use serde::{Deserialize, Serialize};

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    pub name: String,
    #[serde(rename = "vcpus")]
    pub cpus: f64,
    pub gpus: f64,
    pub memory_gb: f64,
    pub cache_gb: f64,
    pub fetch_gb_per_s: f64,
    pub price: f64,
    pub spot_price: f64,
    #[serde(rename = "ready_s")]
    pub boot_s: f64,
    #[serde(rename = "yards")]
    pub zones: Vec<String>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineTypes {
    #[serde(rename = "models")]
    pub types: Vec<MachineType>,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rent {
    #[serde(rename = "requisition")]
    pub request: String,
    #[serde(rename = "model")]
    pub machine_type: String,
    #[serde(rename = "yard")]
    pub zone: String,
    #[serde(rename = "loaners")]
    pub spot: bool,
    pub count: u64,
}

/// Names of machines: what a rental answers and what a return asks for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machines {
    #[serde(rename = "hosts")]
    pub machines: Vec<String>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachineState {
    #[serde(rename = "starting")]
    Booting,
    Running,
    Failed,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListedMachine {
    #[serde(rename = "uid")]
    pub id: String,
    #[serde(rename = "model")]
    pub machine_type: String,
    #[serde(rename = "yard")]
    pub zone: String,
    #[serde(rename = "loaners", default)]
    pub spot: bool,
    #[serde(rename = "status")]
    pub state: MachineState,
    #[serde(rename = "held_s")]
    pub age_s: f64,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineList {
    #[serde(rename = "hosts")]
    pub machines: Vec<ListedMachine>,
    #[serde(rename = "truncated", default)]
    pub more: bool,
}
