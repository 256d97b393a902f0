//! Teams, and the bounds on what their tasks use.

use crate::model::Resources;
use serde::Deserialize;

/// A team of users, with its guarantee and its limit; 0 where it has none.
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

    /// Whether either amount is bounded.
    pub fn is_some(&self) -> bool {
        self.cpus.is_some() || self.gpus.is_some()
    }
}
