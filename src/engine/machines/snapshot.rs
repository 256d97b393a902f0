//! Builds the snapshots of machines that scheduling uses.

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

/// A machine's snapshot, with the time at which it was built and whether starts may be sent to the
/// machine.
#[derive(Debug, PartialEq)]
pub(super) struct CachedSnapshot {
    /// Time at which the snapshot was built.
    pub(super) built_at: Timestamp,
    /// The snapshot as scheduling uses it.
    pub(super) snapshot: MachineSnapshot,
    /// Whether the machine accepts tasks and has no unconfirmed start. A machine with an
    /// unconfirmed start is locked by the round of that start: it gets no starts of other rounds.
    pub(super) schedulable: bool,
}

impl CachedSnapshot {
    /// Builds the snapshot of a machine at the time `at`.
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
                used_by_services: load.used_by_services,
                images: images.map(|(name, _)| name.clone()).collect(),
                fetching: remaining_fetches(load.fetches, machine_type.fetch_gb_per_s, at),
                boot_gb: machine_type.boot_gb(),
            },
        }
    }

    /// Reports whether the machine still has to fetch images for its tasks.
    pub(super) fn is_fetching(&self) -> bool {
        !self.snapshot.fetching.is_empty()
    }
}

/// The load that a machine's tasks put on it.
#[derive(Debug, Default)]
struct MachineLoad {
    /// Resources requested by all tasks.
    used: Resources,
    /// Resources requested by replicas of services, which run until they are stopped.
    used_by_services: Resources,
    /// Whether a task that is placed on the machine has not been reported by a heartbeat yet.
    has_unconfirmed_start: bool,
    /// Images that are being fetched.
    fetches: Vec<Fetch>,
}

/// The fetch of an image that tasks wait for.
#[derive(Debug)]
struct Fetch {
    image: Arc<str>,
    image_gb: f64,
    /// Time at which the first of the tasks was reported, or the time of the snapshot if none was.
    started_at: Timestamp,
}

impl MachineLoad {
    /// Computes the load from the machine's tasks at the time `at`.
    fn of(machine: &Machine, jobs: &Jobs, at: Timestamp) -> Self {
        let mut load = MachineLoad::default();
        for TaskId { job, index } in &machine.tasks {
            if let Some(job) = jobs.get(job) {
                load.add(machine, job, job.placements.get(index), at);
            }
        }
        load
    }

    /// Adds one task of the job, with its placement if it has one.
    fn add(&mut self, machine: &Machine, job: &Job, placement: Option<&Placement>, at: Timestamp) {
        self.used += job.spec.request;
        if job.spec.kind == JobKind::Service {
            self.used_by_services += job.spec.request;
        }
        let reported = placement.filter(|placement| placement.stage.is_confirmed());
        self.has_unconfirmed_start |= placement.is_some() && reported.is_none();
        let fetching = PlacementStage::Reported(TaskState::Fetching);
        let has_image = machine.has_image(&job.spec.image)
            || reported.is_some_and(|placement| placement.stage != fetching);
        if !has_image {
            let started_at = reported.map_or(at, |placement| placement.stage_since);
            self.add_fetch(job, started_at);
        }
    }

    /// Adds the fetch of the job's image, or merges it with a fetch of the same image.
    fn add_fetch(&mut self, job: &Job, started_at: Timestamp) {
        let image = &job.spec.image;
        match self.fetches.iter_mut().find(|fetch| fetch.image == *image) {
            Some(fetch) => fetch.started_at = started_at.min(fetch.started_at),
            None => self.fetches.push(Fetch {
                image: image.clone(),
                image_gb: job.spec.image_gb,
                started_at,
            }),
        }
    }
}

/// Returns how many GB of each image remain to be fetched, assuming that the fetches share the
/// machine's rate equally from their start.
fn remaining_fetches(fetches: Vec<Fetch>, gb_per_s: f64, at: Timestamp) -> Vec<PendingFetch> {
    let share = gb_per_s / fetches.len().max(1) as f64;
    let to_pending_fetch = |fetch: Fetch| {
        let elapsed = whole_millis(at.saturating_since(fetch.started_at));
        let fetched_gb = elapsed as f64 / 1000.0 * share;
        PendingFetch {
            image: fetch.image,
            remaining_gb: (fetch.image_gb - fetched_gb).max(0.0),
        }
    };
    fetches.into_iter().map(to_pending_fetch).collect()
}
