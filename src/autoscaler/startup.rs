//! The time from renting a machine to a task that runs on it.

use crate::constants;
use crate::model::{JobSpec, MachineType, MachineTypes};
use crate::settings::{ObjectiveKind, ServiceLevelObjective};
use crate::wire::user::JobKind;
use std::time::Duration;

/// Nominal times that pass before a job's tasks run on a machine that is yet to be rented.
#[derive(Debug, Clone, Copy)]
pub(super) struct Startup {
    /// From the request to a worker that takes tasks.
    boot: Duration,
    /// To fetch the job's image.
    fetch: Duration,
}

impl Startup {
    /// The shortest startup on the machine types that fit a task of the job; `None` if none does.
    pub(super) fn shortest(spec: &JobSpec, types: &MachineTypes) -> Option<Startup> {
        let is_usable = |machine_type: &&MachineType| {
            let names = spec.machine_types.as_ref();
            spec.request.fits_in(machine_type.capacity)
                && names.is_none_or(|names| names.contains(&machine_type.name))
        };
        types
            .values()
            .filter(is_usable)
            .map(|machine_type| Startup::on_machine_type(machine_type, spec.image_gb))
            .min_by_key(|startup| startup.total())
    }

    fn on_machine_type(machine_type: &MachineType, image_gb: f64) -> Startup {
        let gb_per_s = machine_type
            .fetch_gb_per_s
            .max(constants::MIN_FETCH_GB_PER_S);
        let fetch_ms = (image_gb / gb_per_s * 1000.0) as u64;
        Startup {
            boot: machine_type.boot_time,
            fetch: Duration::from_millis(fetch_ms),
        }
    }

    fn total(self) -> Duration {
        self.boot + self.fetch
    }

    /// How far ahead machines are rented: the startup and a margin of half of it, in whole
    /// milliseconds.
    pub(super) fn lead_time(self) -> Duration {
        let margin_ms = self.total().as_millis() / 2;
        self.total() + Duration::from_millis(margin_ms as u64)
    }

    /// How long a job's tasks hold their resources, by its owner's estimate; those of a service
    /// hold them for ever.
    pub(super) fn occupancy(self, spec: &JobSpec) -> Duration {
        match spec.kind {
            JobKind::Service => Duration::MAX,
            JobKind::Array | JobKind::Gang => spec.expected_duration.saturating_add(self.fetch),
        }
    }

    /// Whether a job that waits for this startup misses its class's objective for waiting.
    pub(super) fn exceeds_wait_objective(
        self,
        class: &str,
        objectives: &[ServiceLevelObjective],
    ) -> bool {
        objectives.iter().any(|objective| {
            objective.kind == ObjectiveKind::Wait
                && objective.class.as_deref() == Some(class)
                && objective.within.is_some_and(|within| self.total() > within)
        })
    }
}
