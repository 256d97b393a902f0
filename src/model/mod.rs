//! What the scheduler knows: jobs, teams' use, machines and rounds. Pure data: no I/O and no
//! clock is read here; times come in as [`Ms`].

pub mod dependencies;
mod job;
mod machine;
mod task_set;

pub use job::{InheritedUrgency, Job, JobPhase, JobSpec, Placement, PlacementStage, StopRequest};
pub use machine::{FencingToken, HeartbeatSequence, Machine, MachinePhase};
pub use task_set::TaskSet;

use std::collections::BTreeMap;
use std::ops::{Add, AddAssign, Sub};
use std::sync::Arc;

/// Milliseconds of this process's steady clock.
pub type Ms = u64;

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub Arc<str>);

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

/// One task: its job and its number.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    pub job: JobId,
    pub index: u32,
}

impl TaskId {
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

/// Amounts in thousandths, so that capacity is compared in whole numbers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Resources {
    pub cpus: u64,
    pub gpus: u64,
    pub memory: u64,
}

/// Room for the inexactness of decimal numbers in binary, in thousandths.
const ROUNDING: f64 = 1e-6;

impl Resources {
    /// What a task needs: rounded up.
    pub fn demand(cpus: f64, gpus: f64, memory: f64) -> Self {
        let up = |x: f64| (x * 1000.0 - ROUNDING).ceil().max(0.0) as u64;
        Resources {
            cpus: up(cpus),
            gpus: up(gpus),
            memory: up(memory),
        }
    }

    /// What a machine or a limit offers: rounded down.
    pub fn capacity(cpus: f64, gpus: f64, memory: f64) -> Self {
        let down = |x: f64| (x * 1000.0 + ROUNDING).floor().max(0.0) as u64;
        Resources {
            cpus: down(cpus),
            gpus: down(gpus),
            memory: down(memory),
        }
    }

    pub fn fits_in(self, room: Resources) -> bool {
        self.cpus <= room.cpus && self.gpus <= room.gpus && self.memory <= room.memory
    }

    pub fn times(self, n: u64) -> Self {
        Resources {
            cpus: self.cpus.saturating_mul(n),
            gpus: self.gpus.saturating_mul(n),
            memory: self.memory.saturating_mul(n),
        }
    }

    /// How many times `need` fits in; of nothing, as often as anyone asks.
    pub fn max_multiple(self, request: Resources) -> u32 {
        let times = |whole: u64, part: u64| whole.checked_div(part).unwrap_or(u64::MAX);
        let least = times(self.cpus, request.cpus)
            .min(times(self.gpus, request.gpus))
            .min(times(self.memory, request.memory));
        least.min(u64::from(u32::MAX)) as u32
    }

    /// The least of both in each amount.
    pub fn component_min(self, other: Resources) -> Self {
        Resources {
            cpus: self.cpus.min(other.cpus),
            gpus: self.gpus.min(other.gpus),
            memory: self.memory.min(other.memory),
        }
    }

    /// How full `self` makes something of size `whole`, in thousandths of its scarcest amount.
    pub fn permille_of(self, whole: Resources) -> u64 {
        let part = |a: u64, b: u64| a.saturating_mul(1000).checked_div(b).unwrap_or(0);
        part(self.cpus, whole.cpus)
            .max(part(self.gpus, whole.gpus))
            .max(part(self.memory, whole.memory))
    }
}

impl Add for Resources {
    type Output = Resources;
    fn add(self, o: Resources) -> Resources {
        Resources {
            cpus: self.cpus.saturating_add(o.cpus),
            gpus: self.gpus.saturating_add(o.gpus),
            memory: self.memory.saturating_add(o.memory),
        }
    }
}

impl AddAssign for Resources {
    fn add_assign(&mut self, o: Resources) {
        *self = *self + o;
    }
}

impl Sub for Resources {
    type Output = Resources;
    fn sub(self, o: Resources) -> Resources {
        Resources {
            cpus: self.cpus.saturating_sub(o.cpus),
            gpus: self.gpus.saturating_sub(o.gpus),
            memory: self.memory.saturating_sub(o.memory),
        }
    }
}

/// A machine type with its amounts in whole units.
#[derive(Debug, Clone, PartialEq)]
pub struct MachineType {
    pub name: Arc<str>,
    pub capacity: Resources,
    pub cache_gb: f64,
    pub fetch_gb_per_s: f64,
    pub price: f64,
    pub spot_price: f64,
    pub boot_ms: u64,
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
            boot_ms: (wire.boot_s.max(0.0) * 1000.0) as u64,
            zones: wire.zones.iter().map(|z| z.as_str().into()).collect(),
        }
    }
}

impl MachineType {
    /// GB of images that it fetches in the time in which one of its type boots.
    pub fn boot_gb(&self) -> f64 {
        self.boot_ms as f64 / 1000.0 * self.fetch_gb_per_s
    }

    pub fn price_of(&self, spot: bool) -> f64 {
        if spot { self.spot_price } else { self.price }
    }
}

/// Machine types by name.
pub type MachineTypes = BTreeMap<Arc<str>, MachineType>;

#[cfg(test)]
mod tests;
