//! Teams and their quotas.

use crate::model::Resources;
use serde::Deserialize;

/// A team of users, with its guarantee and its limit; an amount of 0 means that it has none.
#[derive(Debug, Clone, Deserialize)]
pub struct Team {
    /// The team's name, as submissions have it.
    pub name: String,
    /// CPU cores guaranteed to the team.
    #[serde(default)]
    pub cpus: f64,
    /// Most CPU cores that the team's tasks may use.
    #[serde(default)]
    pub cpus_max: f64,
    /// GPUs guaranteed to the team.
    #[serde(default)]
    pub gpus: f64,
    /// Most GPUs that the team's tasks may use.
    #[serde(default)]
    pub gpus_max: f64,
}

impl Team {
    /// The amounts guaranteed to the team.
    pub fn guarantee(&self) -> Limit {
        Limit::new(self.cpus, self.gpus)
    }

    /// The most that the team's tasks may use.
    pub fn limit(&self) -> Limit {
        Limit::new(self.cpus_max, self.gpus_max)
    }
}

/// A bound on CPUs and GPUs, either of which may be absent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Limit {
    /// Bound on CPUs, in thousandths of a core.
    pub cpus: Option<u64>,
    /// Bound on GPUs, in thousandths of one.
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

    /// Whether `used` stays within the bound.
    pub fn allows(&self, used: Resources) -> bool {
        self.cpus.is_none_or(|bound| used.cpus <= bound)
            && self.gpus.is_none_or(|bound| used.gpus <= bound)
    }

    /// What is left of the bound beside `used`; `u64::MAX` of what is not bounded.
    pub fn remaining(&self, used: Resources) -> Resources {
        let remaining =
            |bound: Option<u64>, used| bound.map_or(u64::MAX, |bound| bound.saturating_sub(used));
        Resources {
            cpus: remaining(self.cpus, used.cpus),
            gpus: remaining(self.gpus, used.gpus),
            memory: u64::MAX,
        }
    }

    /// Whether either amount is bounded.
    pub fn is_bounded(&self) -> bool {
        self.cpus.is_some() || self.gpus.is_some()
    }
}
