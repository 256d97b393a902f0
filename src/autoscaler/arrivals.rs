//! Prediction of jobs that arrive soon, from those that arrived lately.

use super::startup::Startup;
use crate::constants::{ARRIVAL_WINDOW, MAX_ARRIVALS};
use crate::model::{JobId, JobSpec, MachineTypes, UnixTime};
use crate::settings::ServiceLevelObjective;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// The latest arrivals of jobs that could run at once, at most [`MAX_ARRIVALS`].
#[derive(Debug, Default)]
pub struct ArrivalHistory {
    /// By the time from which the job could run, which is the same on a node that has just started,
    /// and id.
    arrivals: BTreeMap<(UnixTime, JobId), JobSpec>,
}

impl ArrivalHistory {
    /// Records a job that could run from `ready_at` on; drops the earliest arrival beyond the limit.
    pub fn record(&mut self, ready_at: UnixTime, id: &JobId, spec: &JobSpec) {
        self.arrivals.insert((ready_at, id.clone()), spec.clone());
        if self.arrivals.len() > MAX_ARRIVALS {
            self.arrivals.pop_first();
        }
    }

    /// Jobs to expect while a machine boots, as copies of the latest arrivals of their class. Only
    /// for classes with an objective that a job misses if a machine has to be rented for it first.
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

    /// The time over which the rate of arrivals is taken.
    fn rate_window(&self, now: UnixTime) -> Duration {
        let first = self.arrivals.keys().next();
        let first = first.map_or(now, |(ready_at, _)| *ready_at);
        let recorded_span = now.saturating_since(first);
        recorded_span.clamp(Duration::from_millis(1), ARRIVAL_WINDOW)
    }

    /// Arrivals within the window by class, the latest first.
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

/// How many jobs of a class hold resources at the same time, if they arrive for the lead time of
/// `startup` at the rate of the window. A job that ends within the lead time leaves its resources
/// to a later one.
fn expected_concurrent_jobs(specs: &[&JobSpec], startup: Startup, window: Duration) -> usize {
    let lead_time = startup.lead_time();
    let total_occupancy = specs
        .iter()
        .map(|spec| startup.occupancy(spec).min(lead_time))
        .fold(Duration::ZERO, Duration::saturating_add);
    let count = total_occupancy.as_millis().div_ceil(window.as_millis());
    usize::try_from(count).unwrap_or(usize::MAX)
}

/// A copy that needs resources only. Expected jobs do not all arrive at once, nor with these
/// images; with an image, each would be planned on a machine of its own to fetch it.
fn without_image(spec: &JobSpec) -> JobSpec {
    JobSpec {
        image_gb: 0.0,
        ..spec.clone()
    }
}
