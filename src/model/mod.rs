//! The scheduler's data model: jobs, tasks, placements, machines and resources.
//!
//! The module performs no I/O and reads no clock; callers pass times as [`Timestamp`] and
//! [`UnixTime`].

pub mod dependencies;
mod gang_start;
mod job;
mod job_spec;
mod machine;
mod placement;
mod task_set;
mod time;

pub use gang_start::{GangStart, GangTiming};
pub use job::{InheritedUrgency, Job, JobPhase};
pub use job_spec::JobSpec;
pub use machine::{FencingToken, HeartbeatSequence, Machine, MachinePhase, Quarantine};
pub use placement::{Placement, PlacementStage, StopRequest};
pub use task_set::TaskSet;
pub use time::{Timestamp, UnixTime, whole_millis};

use std::collections::BTreeMap;
use std::ops::{Add, AddAssign, Sub};
use std::sync::Arc;
use std::time::Duration;

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(
            /// The identifier as text.
            pub Arc<str>,
        );

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                $name(text.into())
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

text_id!(
    /// A job's id, chosen by its user.
    JobId
);
text_id!(
    /// A machine's name, chosen by the cloud.
    MachineId
);

/// Identifies one task of a job; displayed as `<job>/<index>`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// Id of the job.
    pub job: JobId,
    /// Index of the task within the job, from 0.
    pub index: u32,
}

impl TaskId {
    /// Parses `<job>/<index>`; returns `None` if the text has another form.
    pub fn parse(text: &str) -> Option<TaskId> {
        let (job, index) = text.rsplit_once('/')?;
        Some(TaskId {
            job: job.into(),
            index: index.parse().ok()?,
        })
    }
}

impl std::fmt::Display for TaskId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

/// Amounts of resources in thousandths of a unit, so that sums and comparisons of decimal amounts
/// are exact.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Resources {
    /// Thousandths of a CPU core.
    pub cpus: u64,
    /// Thousandths of a GPU.
    pub gpus: u64,
    /// Thousandths of a GB of memory.
    pub memory: u64,
}

/// Rounding tolerance for decimal numbers without an exact binary floating-point representation, in
/// thousandths of a unit.
const ROUNDING_TOLERANCE: f64 = 1e-6;

impl Resources {
    /// Converts the amounts that a task requests, rounding up to whole thousandths.
    pub fn demand(cpus: f64, gpus: f64, memory: f64) -> Self {
        let round_up = |x: f64| (x * 1000.0 - ROUNDING_TOLERANCE).ceil().max(0.0) as u64;
        Resources {
            cpus: round_up(cpus),
            gpus: round_up(gpus),
            memory: round_up(memory),
        }
    }

    /// Converts the amounts that a machine or a limit offers, rounding down to whole thousandths.
    pub fn capacity(cpus: f64, gpus: f64, memory: f64) -> Self {
        let round_down = |x: f64| (x * 1000.0 + ROUNDING_TOLERANCE).floor().max(0.0) as u64;
        Resources {
            cpus: round_down(cpus),
            gpus: round_down(gpus),
            memory: round_down(memory),
        }
    }

    /// Reports whether no amount exceeds that of `available`.
    pub fn fits_in(self, available: Resources) -> bool {
        self.cpus <= available.cpus
            && self.gpus <= available.gpus
            && self.memory <= available.memory
    }

    /// Multiplies each amount by `count`, saturating.
    pub fn times(self, count: u64) -> Self {
        Resources {
            cpus: self.cpus.saturating_mul(count),
            gpus: self.gpus.saturating_mul(count),
            memory: self.memory.saturating_mul(count),
        }
    }

    /// Returns how many times `request` fits into these amounts, at most [`u32::MAX`]. An empty
    /// request yields [`u32::MAX`].
    pub fn max_multiple(self, request: Resources) -> u32 {
        let multiple_of = |whole: u64, part: u64| whole.checked_div(part).unwrap_or(u64::MAX);
        let multiple = multiple_of(self.cpus, request.cpus)
            .min(multiple_of(self.gpus, request.gpus))
            .min(multiple_of(self.memory, request.memory));
        multiple.min(u64::from(u32::MAX)) as u32
    }

    /// Returns the smaller of the two values for each amount.
    pub fn component_min(self, other: Resources) -> Self {
        Resources {
            cpus: self.cpus.min(other.cpus),
            gpus: self.gpus.min(other.gpus),
            memory: self.memory.min(other.memory),
        }
    }

    /// Returns these amounts as a share of `whole`, in thousandths: the largest of the shares of
    /// CPUs, GPUs and memory. An amount of which `whole` has none counts as 0.
    pub fn permille_of(self, whole: Resources) -> u64 {
        let permille =
            |part: u64, total: u64| part.saturating_mul(1000).checked_div(total).unwrap_or(0);
        permille(self.cpus, whole.cpus)
            .max(permille(self.gpus, whole.gpus))
            .max(permille(self.memory, whole.memory))
    }
}

impl Add for Resources {
    type Output = Resources;
    fn add(self, other: Resources) -> Resources {
        Resources {
            cpus: self.cpus.saturating_add(other.cpus),
            gpus: self.gpus.saturating_add(other.gpus),
            memory: self.memory.saturating_add(other.memory),
        }
    }
}

impl AddAssign for Resources {
    fn add_assign(&mut self, other: Resources) {
        *self = *self + other;
    }
}

impl Sub for Resources {
    type Output = Resources;
    fn sub(self, other: Resources) -> Resources {
        Resources {
            cpus: self.cpus.saturating_sub(other.cpus),
            gpus: self.gpus.saturating_sub(other.gpus),
            memory: self.memory.saturating_sub(other.memory),
        }
    }
}

/// A machine type in the scheduler's units.
#[derive(Debug, Clone, PartialEq)]
pub struct MachineType {
    /// Name of the type.
    pub name: Arc<str>,
    /// Resources that a machine of the type provides.
    pub capacity: Resources,
    /// Size of the image cache, GB.
    pub cache_gb: f64,
    /// Rate at which a machine fetches images, GB per second.
    pub fetch_gb_per_s: f64,
    /// Price per hour of an on-demand machine.
    pub price: f64,
    /// Current price per hour of a spot instance.
    pub spot_price: f64,
    /// Nominal boot time.
    pub boot_time: Duration,
    /// Zones that offer the type.
    pub zones: Vec<Arc<str>>,
}

impl From<&crate::wire::cloud::MachineType> for MachineType {
    fn from(wire: &crate::wire::cloud::MachineType) -> Self {
        MachineType {
            name: wire.name.as_str().into(),
            capacity: Resources::capacity(wire.cpus, wire.gpus, wire.memory_gb),
            cache_gb: wire.cache_gb,
            fetch_gb_per_s: wire.fetch_gb_per_s,
            price: wire.price,
            spot_price: wire.spot_price,
            boot_time: Duration::from_millis((wire.boot_s.max(0.0) * 1000.0) as u64),
            zones: wire.zones.iter().map(|zone| zone.as_str().into()).collect(),
        }
    }
}

impl MachineType {
    /// Returns how many GB of images a machine of this type fetches in the time that one takes to
    /// boot.
    pub fn boot_gb(&self) -> f64 {
        whole_millis(self.boot_time) as f64 / 1000.0 * self.fetch_gb_per_s
    }

    /// Returns the price per hour of a spot instance or of an on-demand machine.
    pub fn hourly_price(&self, spot: bool) -> f64 {
        if spot { self.spot_price } else { self.price }
    }
}

/// Machine types by name.
pub type MachineTypes = BTreeMap<Arc<str>, MachineType>;

#[cfg(test)]
mod tests;
