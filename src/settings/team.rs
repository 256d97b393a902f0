//! Teams and their quotas.

use crate::model::Resources;
use serde::Deserialize;

/// A team of users with its guaranteed resources and its limit. An amount of 0 means that there is
/// no guarantee or no limit.
#[derive(Debug, Clone, Deserialize)]
pub struct Team {
    /// The team's name, as used in submissions.
    pub name: String,
    /// CPU cores guaranteed to the team.
    #[serde(default)]
    pub cpus: f64,
    /// Maximum number of CPU cores that the team's tasks may use.
    #[serde(default)]
    pub cpus_max: f64,
    /// GPUs guaranteed to the team.
    #[serde(default)]
    pub gpus: f64,
    /// Maximum number of GPUs that the team's tasks may use.
    #[serde(default)]
    pub gpus_max: f64,
}

impl Team {
    /// Returns the resources that are guaranteed to the team.
    pub fn guarantee(&self) -> Limit {
        Limit::new(self.cpus, self.gpus)
    }

    /// Returns the maximum resources that the team's tasks may use.
    pub fn limit(&self) -> Limit {
        Limit::new(self.cpus_max, self.gpus_max)
    }
}

/// A bound on CPUs and GPUs, either of which may be absent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Limit {
    /// Bound on CPUs, in thousandths of a core.
    pub cpus: Option<u64>,
    /// Bound on GPUs, in thousandths of a GPU.
    pub gpus: Option<u64>,
}

impl Limit {
    fn new(cpus: f64, gpus: f64) -> Self {
        let amounts = Resources::capacity(cpus, gpus, 0.0);
        Limit {
            cpus: (cpus > 0.0).then_some(amounts.cpus),
            gpus: (gpus > 0.0).then_some(amounts.gpus),
        }
    }

    /// Reports whether `used` is within the bound.
    pub fn allows(&self, used: Resources) -> bool {
        self.cpus.is_none_or(|bound| used.cpus <= bound)
            && self.gpus.is_none_or(|bound| used.gpus <= bound)
    }

    /// Returns the part of the bound that `used` leaves free; `u64::MAX` for resources without a
    /// bound.
    pub fn remaining(&self, used: Resources) -> Resources {
        let remaining =
            |bound: Option<u64>, used| bound.map_or(u64::MAX, |bound| bound.saturating_sub(used));
        Resources {
            cpus: remaining(self.cpus, used.cpus),
            gpus: remaining(self.gpus, used.gpus),
            memory: u64::MAX,
        }
    }

    /// Reports whether CPUs or GPUs are bounded.
    pub fn is_bounded(&self) -> bool {
        self.cpus.is_some() || self.gpus.is_some()
    }
}
