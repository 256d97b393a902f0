//! Builds the scheduler's snapshot of a machine.

use crate::constants;
use crate::engine::jobs::Jobs;
use crate::model::{
    Job, Machine, MachineType, Placement, PlacementStage, Resources, TaskId, Timestamp,
    whole_millis,
};
use crate::placement::{MachineSnapshot, PendingFetch};
use crate::wire::user::JobKind;
use crate::wire::worker::TaskState;
use std::sync::Arc;

/// A snapshot with the time at which it was built.
#[derive(Debug, PartialEq)]
pub(super) struct CachedSnapshot {
    pub(super) built_at: Timestamp,
    pub(super) snapshot: MachineSnapshot,
    /// Whether the machine accepts tasks, and no start on it is unconfirmed: such a machine is
    /// locked by its round.
    pub(super) schedulable: bool,
}

impl CachedSnapshot {
    /// The snapshot of a machine at that time.
    pub(super) fn build(
        machine: &Machine,
        machine_type: &MachineType,
        jobs: &Jobs,
        at: Timestamp,
    ) -> Self {
        let load = MachineLoad::of(machine, jobs, at);
        let images = machine.images.iter();
        let tasks = machine.tasks.len() as u32;
        CachedSnapshot {
            built_at: at,
            schedulable: machine.accepts_tasks() && !load.has_unconfirmed_start,
            snapshot: MachineSnapshot {
                id: machine.id.clone(),
                machine_type: machine.machine_type.clone(),
                zone: machine.zone.clone(),
                spot: machine.spot,
                capacity: machine_type.capacity,
                available: machine_type.capacity - load.used,
                free_task_slots: constants::MAX_TASKS_PER_MACHINE.saturating_sub(tasks),
                used_by_services: load.long_running,
                images: images.map(|(name, _)| name.clone()).collect(),
                fetching: left_to_fetch(load.fetches, machine_type.fetch_gb_per_s, at),
                boot_gb: machine_type.boot_gb(),
            },
        }
    }

    /// Whether the machine fetches images.
    pub(super) fn is_fetching(&self) -> bool {
        !self.snapshot.fetching.is_empty()
    }
}

/// What the tasks on a machine take of it.
#[derive(Debug, Default)]
struct MachineLoad {
    used: Resources,
    /// What services take, which don't end by themselves.
    long_running: Resources,
    /// Whether no heartbeat has named a task that was placed here.
    has_unconfirmed_start: bool,
    fetches: Vec<Fetch>,
}

/// An image that tasks wait for.
#[derive(Debug)]
struct Fetch {
    image: Arc<str>,
    image_gb: f64,
    /// When the first of the tasks was reported.
    begun_at: Timestamp,
}

impl MachineLoad {
    fn of(machine: &Machine, jobs: &Jobs, at: Timestamp) -> Self {
        let mut load = MachineLoad::default();
        for TaskId { job, index } in &machine.tasks {
            if let Some(job) = jobs.get(job) {
                load.add(machine, job, job.placements.get(index), at);
            }
        }
        load
    }

    /// Adds a task of the job.
    fn add(&mut self, machine: &Machine, job: &Job, placement: Option<&Placement>, at: Timestamp) {
        self.used += job.spec.request;
        if job.spec.kind == JobKind::Service {
            self.long_running += job.spec.request;
        }
        let reported =
            placement.filter(|placement| matches!(placement.stage, PlacementStage::Reported(_)));
        self.has_unconfirmed_start |= placement.is_some() && reported.is_none();
        let fetching = PlacementStage::Reported(TaskState::Fetching);
        let has_image = machine.has_image(&job.spec.image)
            || reported.is_some_and(|placement| placement.stage != fetching);
        if !has_image {
            let begun_at = reported.map_or(at, |placement| placement.stage_since);
            self.add_fetch(job, begun_at);
        }
    }

    fn add_fetch(&mut self, job: &Job, begun_at: Timestamp) {
        let image = &job.spec.image;
        match self.fetches.iter_mut().find(|fetch| fetch.image == *image) {
            Some(fetch) => fetch.begun_at = begun_at.min(fetch.begun_at),
            None => self.fetches.push(Fetch {
                image: image.clone(),
                image_gb: job.spec.image_gb,
                begun_at,
            }),
        }
    }
}

/// GB of each image that are left to fetch, if all share the machine's rate.
fn left_to_fetch(fetches: Vec<Fetch>, gb_per_s: f64, at: Timestamp) -> Vec<PendingFetch> {
    let share = gb_per_s / fetches.len().max(1) as f64;
    let left = |fetch: Fetch| {
        let elapsed = whole_millis(at.saturating_since(fetch.begun_at));
        let fetched_gb = elapsed as f64 / 1000.0 * share;
        PendingFetch {
            image: fetch.image,
            remaining_gb: (fetch.image_gb - fetched_gb).max(0.0),
        }
    };
    fetches.into_iter().map(left).collect()
}
