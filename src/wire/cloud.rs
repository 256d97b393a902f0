//! Messages between controller nodes and the cloud.

use serde::{Deserialize, Serialize};

/// A machine type that the cloud offers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Name of the type.
    pub name: String,
    /// Number of CPU cores.
    #[serde(rename = "vcpus")]
    pub cpus: f64,
    /// Number of GPUs.
    pub gpus: f64,
    /// Memory, GB.
    pub memory_gb: f64,
    /// Size of the image cache, GB.
    pub cache_gb: f64,
    /// Nominal rate at which images are fetched, GB per second.
    pub fetch_gb_per_s: f64,
    /// Price per hour of an on-demand machine.
    pub price: f64,
    /// Current price per hour of a spot instance.
    pub spot_price: f64,
    /// Nominal boot time in seconds.
    #[serde(rename = "ready_s")]
    pub boot_s: f64,
    /// Zones that offer the type.
    #[serde(rename = "yards")]
    pub zones: Vec<String>,
}

/// The list of all machine types that the cloud offers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineTypeList {
    /// The machine types.
    #[serde(rename = "models")]
    pub machine_types: Vec<MachineType>,
}

/// A request to rent machines. The cloud rents only once for requests with the same id.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RentRequest {
    /// Idempotency key of the request; never reused for another request.
    #[serde(rename = "requisition")]
    pub request_id: String,
    /// Name of the machine type.
    #[serde(rename = "model")]
    pub machine_type: String,
    /// Name of the zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether to rent spot instances.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Maximum number of machines to rent.
    pub count: u64,
}

/// A list of machine names: the response to a rental request and the body of a return request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineNames {
    /// Names of the machines.
    #[serde(rename = "hosts")]
    pub machines: Vec<String>,
}

/// State of a machine in the cloud's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachineState {
    /// The machine is rented and has not finished booting.
    #[serde(rename = "starting")]
    Booting,
    /// The machine runs, or has failed less than 30 s ago.
    Running,
    /// The machine has stopped without being returned; it is listed until it is returned.
    Failed,
}

/// A machine in the cloud's list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListedMachine {
    /// Name of the machine.
    #[serde(rename = "uid")]
    pub id: String,
    /// Name of the machine type.
    #[serde(rename = "model")]
    pub machine_type: String,
    /// Name of the zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether the machine is a spot instance.
    #[serde(rename = "loaners", default)]
    pub spot: bool,
    /// State of the machine at the time that the list describes.
    #[serde(rename = "status")]
    pub state: MachineState,
    /// Seconds since the rental request, at the time that the list describes.
    #[serde(rename = "held_s")]
    pub age_s: f64,
}

/// A page of the cloud's machine list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachinePage {
    /// Machines ordered by name.
    #[serde(rename = "hosts")]
    pub machines: Vec<ListedMachine>,
    /// Whether further pages follow.
    #[serde(rename = "truncated", default)]
    pub has_more: bool,
}
