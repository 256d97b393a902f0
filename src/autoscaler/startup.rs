//! Startup time: the time from the request for a machine until a task runs on the machine.

use crate::constants;
use crate::model::{JobSpec, MachineType, MachineTypes};
use crate::settings::{ObjectiveKind, ServiceLevelObjective};
use crate::wire::user::JobKind;
use std::time::Duration;

/// Nominal startup time of a job's tasks on a machine that has yet to be rented.
#[derive(Debug, Clone, Copy)]
pub(super) struct Startup {
    /// Time from the rental request until the machine's worker accepts tasks.
    boot: Duration,
    /// Time to fetch the job's image.
    fetch: Duration,
}

impl Startup {
    /// Returns the shortest startup among the machine types that the job may use and that fit one
    /// of its tasks, or `None` if there is no such type.
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

    /// Returns the startup of a job with an image of `image_gb` GB on a machine of this type.
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

    /// Returns how long before their use machines are rented: the startup time and a margin of half
    /// of that time, rounded down to whole milliseconds.
    pub(super) fn lead_time(self) -> Duration {
        let margin_ms = self.total().as_millis() / 2;
        self.total() + Duration::from_millis(margin_ms as u64)
    }

    /// Returns how long a job's tasks hold their resources, based on the user's estimate of the
    /// job's duration. Tasks of a service have no end, so `Duration::MAX` is returned for them.
    pub(super) fn occupancy(self, spec: &JobSpec) -> Duration {
        match spec.kind {
            JobKind::Service => Duration::MAX,
            JobKind::Array | JobKind::Gang => spec.expected_duration.saturating_add(self.fetch),
        }
    }

    /// Reports whether a job of the class that waits for this startup misses the class's wait
    /// objective. Objectives without a class are not considered.
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
