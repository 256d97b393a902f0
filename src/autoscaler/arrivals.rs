//! Prediction of the jobs that will arrive soon, based on recent arrivals.

use super::startup::Startup;
use crate::constants::{ARRIVAL_WINDOW, MAX_ARRIVALS};
use crate::model::{JobId, JobSpec, MachineTypes, UnixTime};
use crate::settings::ServiceLevelObjective;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// The most recent arrivals of jobs that could run immediately, at most [`MAX_ARRIVALS`].
#[derive(Debug, Default)]
pub struct ArrivalHistory {
    /// Specifications of the jobs, keyed by the time from which the job could run and by job id.
    /// That time does not change when a node restarts.
    arrivals: BTreeMap<(UnixTime, JobId), JobSpec>,
}

impl ArrivalHistory {
    /// Records a job that could run from `ready_at` on. Drops the earliest arrival if more than
    /// [`MAX_ARRIVALS`] are recorded.
    pub fn record(&mut self, ready_at: UnixTime, id: &JobId, spec: &JobSpec) {
        self.arrivals.insert((ready_at, id.clone()), spec.clone());
        if self.arrivals.len() > MAX_ARRIVALS {
            self.arrivals.pop_first();
        }
    }

    /// Returns the jobs that are expected to arrive while a machine boots, as copies of the most
    /// recent arrivals of their class. Includes only classes with a wait objective that a job
    /// misses if a machine has to be rented for it first.
    pub fn expected_jobs(
        &self,
        now: UnixTime,
        types: &MachineTypes,
        objectives: &[ServiceLevelObjective],
    ) -> Vec<JobSpec> {
        let window = self.rate_window(now);
        let mut expected = Vec::new();
        for (class, specs) in self.latest_by_class(now, window) {
            let startup = specs.iter().find_map(|spec| {
                let startup = Startup::shortest(spec, types)?;
                startup
                    .exceeds_wait_objective(class, objectives)
                    .then_some(startup)
            });
            let Some(startup) = startup else {
                continue;
            };
            let count = expected_concurrent_jobs(&specs, startup, window);
            expected.extend(specs.into_iter().take(count).map(without_image));
        }
        expected
    }

    /// Returns the time span over which the rate of arrivals is measured: the time since the
    /// earliest recorded arrival, but at least 1 ms and at most [`ARRIVAL_WINDOW`].
    fn rate_window(&self, now: UnixTime) -> Duration {
        let first = self.arrivals.keys().next();
        let first = first.map_or(now, |(ready_at, _)| *ready_at);
        let recorded_span = now.saturating_since(first);
        recorded_span.clamp(Duration::from_millis(1), ARRIVAL_WINDOW)
    }

    /// Returns the arrivals within the window, grouped by class, most recent first.
    fn latest_by_class(
        &self,
        now: UnixTime,
        window: Duration,
    ) -> BTreeMap<&Arc<str>, Vec<&JobSpec>> {
        let mut classes: BTreeMap<&Arc<str>, Vec<&JobSpec>> = BTreeMap::new();
        for ((ready_at, _), spec) in self.arrivals.iter().rev() {
            if now.saturating_since(*ready_at) <= window {
                classes.entry(&spec.class).or_default().push(spec);
            }
        }
        classes
    }
}

/// Returns how many jobs of a class hold resources at the same time if, throughout the lead time of
/// `startup`, jobs arrive at the rate measured over the window. A job that ends within the lead
/// time frees its resources for a later one.
fn expected_concurrent_jobs(specs: &[&JobSpec], startup: Startup, window: Duration) -> usize {
    let lead_time = startup.lead_time();
    let total_occupancy = specs
        .iter()
        .map(|spec| startup.occupancy(spec).min(lead_time))
        .fold(Duration::ZERO, Duration::saturating_add);
    let count = total_occupancy.as_millis().div_ceil(window.as_millis());
    usize::try_from(count).unwrap_or(usize::MAX)
}

/// Returns a copy of the specification that needs no image. Expected jobs do not all arrive at the
/// same time, nor with these images. If the copies had images, each would be planned on a separate
/// machine to fetch its image.
fn without_image(spec: &JobSpec) -> JobSpec {
    JobSpec {
        image_gb: 0.0,
        ..spec.clone()
    }
}
