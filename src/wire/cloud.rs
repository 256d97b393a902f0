//! Messages between controller nodes and the cloud.

use serde::{Deserialize, Serialize};

/// A machine type that the cloud offers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Name of the type.
    pub name: String,
    /// CPU cores.
    #[serde(rename = "vcpus")]
    pub cpus: f64,
    /// GPUs.
    pub gpus: f64,
    /// Memory, GB.
    pub memory_gb: f64,
    /// Space for images, GB.
    pub cache_gb: f64,
    /// Nominal rate at which images are fetched, GB per second.
    pub fetch_gb_per_s: f64,
    /// Price per hour.
    pub price: f64,
    /// Current price per hour as a spot instance.
    pub spot_price: f64,
    /// Nominal time to boot, s.
    #[serde(rename = "ready_s")]
    pub boot_s: f64,
    /// Zones that have the type.
    #[serde(rename = "yards")]
    pub zones: Vec<String>,
}

/// All machine types.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineTypeList {
    /// The types.
    #[serde(rename = "models")]
    pub machine_types: Vec<MachineType>,
}

/// A request to rent machines. Requests with the same id rent only once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RentRequest {
    /// Idempotency key of the request; never reused for another one.
    #[serde(rename = "requisition")]
    pub request_id: String,
    /// Machine type.
    #[serde(rename = "model")]
    pub machine_type: String,
    /// Zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether spot instances are asked for.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Most machines to rent.
    pub count: u64,
}

/// Names of machines: the response to a rental, and the body of a return.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineNames {
    /// The names.
    #[serde(rename = "hosts")]
    pub machines: Vec<String>,
}

/// State of a machine as the cloud lists it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachineState {
    /// Rented, and not up yet.
    #[serde(rename = "starting")]
    Booting,
    /// Up, or dead for less than half a minute.
    Running,
    /// Stopped by itself; listed until it is returned.
    Failed,
}

/// A machine in the cloud's list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListedMachine {
    /// Name of the machine.
    #[serde(rename = "uid")]
    pub id: String,
    /// Machine type.
    #[serde(rename = "model")]
    pub machine_type: String,
    /// Zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether it is a spot instance.
    #[serde(rename = "loaners", default)]
    pub spot: bool,
    /// State at the time that the list describes.
    #[serde(rename = "status")]
    pub state: MachineState,
    /// Seconds since the rental request, at the time that the list describes.
    #[serde(rename = "held_s")]
    pub age_s: f64,
}

/// A page of the cloud's machine list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachinePage {
    /// Machines in order of their names.
    #[serde(rename = "hosts")]
    pub machines: Vec<ListedMachine>,
    /// Whether further machines follow the last one.
    #[serde(rename = "truncated", default)]
    pub has_more: bool,
}
