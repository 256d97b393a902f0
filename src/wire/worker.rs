//! Workers -> controller nodes, and controller nodes -> workers.

use serde::{Deserialize, Serialize};

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskState {
    Fetching,
    #[serde(rename = "gathering")]
    Waiting,
    Running,
    Saving,
    #[serde(rename = "ended")]
    Exited,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Why {
    #[serde(rename = "done")]
    Done,
    #[serde(rename = "stopped")]
    Stopped,
    #[serde(rename = "peers")]
    Peers,
    #[serde(rename = "alone")]
    Alone,
    #[serde(rename = "error")]
    Error,
    #[serde(rename = "full")]
    NoRoom,
    #[serde(rename = "busy")]
    Busy,
    #[serde(rename = "no_such")]
    Unknown,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Task {
    #[serde(rename = "piece")]
    pub task: String,
    #[serde(rename = "try")]
    pub attempt: u64,
    #[serde(rename = "status")]
    pub state: TaskState,
    #[serde(rename = "cause", default, skip_serializing_if = "Option::is_none")]
    pub why: Option<Why>,
    #[serde(rename = "stored", default, skip_serializing_if = "Option::is_none")]
    pub saved: Option<bool>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    #[serde(rename = "host")]
    pub machine: String,
    #[serde(rename = "address")]
    pub addr: String,
    #[serde(rename = "model")]
    pub machine_type: String,
    #[serde(rename = "yard")]
    pub zone: String,
    #[serde(rename = "loaners", default)]
    pub spot: bool,
    #[serde(rename = "shift")]
    pub session: u64,
    #[serde(rename = "tally")]
    pub seq: u64,
    #[serde(rename = "warrant")]
    pub token: u64,
    #[serde(rename = "recall_s", default)]
    pub notice_s: Option<f64>,
    #[serde(rename = "pieces")]
    pub tasks: Vec<Task>,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "verb", rename_all = "lowercase")]
pub enum Order {
    #[serde(rename = "launch")]
    Start {
        #[serde(rename = "piece")]
        task: String,
        #[serde(rename = "try")]
        attempt: u64,
    },
    #[serde(rename = "kill")]
    Stop {
        #[serde(rename = "piece")]
        task: String,
        #[serde(rename = "try")]
        attempt: u64,
        #[serde(rename = "wind_down_s")]
        grace_s: u64,
    },
    Forget {
        #[serde(rename = "piece")]
        task: String,
        #[serde(rename = "try")]
        attempt: u64,
    },
}

/// The answer to an accepted report.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Orders {
    #[serde(rename = "warrant")]
    pub token: u64,
    pub orders: Vec<Order>,
}

/// The answer that sends a worker elsewhere.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Elsewhere {
    #[serde(rename = "foreman", default, skip_serializing_if = "Option::is_none")]
    pub report_to: Option<String>,
}

/// Orders sent directly to a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DirectOrders {
    #[serde(rename = "warrant")]
    pub token: u64,
    #[serde(rename = "shift")]
    pub session: u64,
    pub orders: Vec<Order>,
}
