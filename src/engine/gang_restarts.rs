//! Restarts of tasks whose gang was incomplete.
//!
//! A task of a gang that has its image waits for the others and exits after a while. By the
//! protocol the others may go on fetching or waiting, and a replacement with the same attempt
//! number completes the gang. So the exited task keeps its place, and is started again on the same
//! machine once the others have their image too. Stopping the others would make their machines
//! give up the fetch, and the next attempt would meet the same difference again.
//!
//! Nothing new is stored: the round of the attempt names the same machine, and the worker reports
//! the exited task until it is told to forget it. The commands to forget it and to start it again
//! are sent in one response to a heartbeat, so the worker executes both or neither, and a new
//! leader finds the exited task in the heartbeat.

use super::Engine;
use crate::constants;
use crate::model::{GangStart, JobId, MachineId, Placement, PlacementStage, TaskId};
use crate::wire::worker::TaskState;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

impl Engine {
    /// Handles a task that exited on the machine on which it is placed because its gang was
    /// incomplete. Returns false if the gang can't begin in this attempt.
    pub(super) fn await_gang_restart(&mut self, machine: &MachineId, id: &TaskId) -> bool {
        let Some(placement) = self.jobs.placement(id) else {
            return false;
        };
        if placement.restarts >= constants::MAX_GANG_RESTARTS {
            return false;
        }
        // A task that is being restarted and still reported as exited has not received the
        // commands, or has exited again since. They are sent again.
        if !placement.stage.is_kept_for_restart() {
            tracing::info!(task = %id, %machine, "gang task exited, awaiting the others");
            self.record_reported_stage(machine, id, PlacementStage::AwaitingRestart);
        }
        match self.gang_start(&id.job) {
            GangStart::Ready => {
                self.restart_exited_tasks(&id.job);
                true
            }
            GangStart::Incomplete => !self.fail_stalled_fetch(&id.job),
            GangStart::Impossible => false,
        }
    }

    /// Starts the exited tasks of a gang again if all others wait for them.
    pub(super) fn restart_gang_if_ready(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        if job.has_task_awaiting_restart() && self.gang_start(id) == GangStart::Ready {
            self.restart_exited_tasks(id);
        }
    }

    /// Reports whether the attempt is to be started again on its machine, so that the worker must
    /// not forget it before.
    pub(super) fn is_kept_for_restart(&self, id: &TaskId, attempt: u64) -> bool {
        let placement = self.jobs.placement(id);
        placement.is_some_and(|placement| {
            placement.attempt == attempt && placement.stage.is_kept_for_restart()
        })
    }

    /// Removes the placements of the job's tasks that are to be stopped and have exited already.
    pub(super) fn remove_stopped_exited_tasks(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        let has_exited = |placement: &Placement| {
            placement.stage == PlacementStage::AwaitingRestart && placement.stop_request.is_some()
        };
        let placements = job.placements.iter();
        let exited: Vec<u32> = placements
            .filter(|(_, placement)| has_exited(placement))
            .map(|(index, _)| *index)
            .collect();
        for index in exited {
            self.remove_placement(&TaskId {
                job: id.clone(),
                index,
            });
        }
    }

    fn gang_start(&self, id: &JobId) -> GangStart {
        let timing = self.context.timing().gang;
        let job = self.jobs.get(id);
        job.map_or(GangStart::Impossible, |job| {
            job.gang_start(timing, self.context.now())
        })
    }

    /// Marks the exited tasks of a gang to be started again, and requests heartbeats from their
    /// machines, whose responses carry the commands.
    fn restart_exited_tasks(&mut self, id: &JobId) {
        let now = self.context.now();
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let mut machines = BTreeSet::new();
        for placement in job.placements.values_mut() {
            if placement.stage == PlacementStage::AwaitingRestart {
                placement.enter_stage(PlacementStage::Restarting, now);
                machines.insert(placement.machine.clone());
            }
        }
        if !machines.is_empty() {
            let machines = machines.len();
            tracing::info!(job = %id, machines, "restarting exited gang tasks");
        }
        for machine in machines {
            self.request_heartbeat(&machine);
        }
    }

    /// Looks for a task of the gang whose image fetch takes longer than
    /// [`Engine::fetch_time_limit`] and counts it as failed on its machine. Returns whether there
    /// is one.
    fn fail_stalled_fetch(&mut self, id: &JobId) -> bool {
        let Some((index, machine)) = self.stalled_fetch(id) else {
            return false;
        };
        tracing::info!(job = %id, index, %machine, "image fetch has stalled");
        self.on_task_failed(&machine, id);
        true
    }

    fn stalled_fetch(&self, id: &JobId) -> Option<(u32, MachineId)> {
        let now = self.context.now();
        let fetching = PlacementStage::Reported(TaskState::Fetching);
        let placements = self.jobs.get(id)?.placements.iter();
        let mut stalled = placements.filter(|(_, placement)| {
            let fetching_for = now.saturating_since(placement.state_since);
            placement.stage == fetching
                && self
                    .fetch_time_limit(&placement.machine)
                    .is_some_and(|limit| fetching_for > limit)
        });
        let (index, placement) = stalled.next()?;
        Some((*index, placement.machine.clone()))
    }

    /// Returns the time after which a fetch on the machine counts as stalled: a multiple of the
    /// nominal time to fetch the images of all tasks placed there, which share the machine's rate.
    fn fetch_time_limit(&self, id: &MachineId) -> Option<Duration> {
        let machine = self.leadership.leader()?.machines.get(id)?;
        let machine_type = self.machine_types.get(&machine.machine_type)?;
        let jobs = machine
            .tasks
            .iter()
            .filter_map(|task| self.jobs.get(&task.job));
        let images: BTreeMap<&Arc<str>, f64> = jobs
            .map(|job| (&job.spec.image, job.spec.image_gb))
            .collect();
        let rate = machine_type
            .fetch_gb_per_s
            .max(constants::MIN_FETCH_GB_PER_S);
        let nominal_s = images.values().sum::<f64>() / rate;
        let limit_s = nominal_s * constants::STALLED_FETCH_FACTOR;
        let limit = Duration::try_from_secs_f64(limit_s).unwrap_or(Duration::MAX);
        Some(limit.max(constants::MIN_FETCH_TIME_LIMIT))
    }
}
