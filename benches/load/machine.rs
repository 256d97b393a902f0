//! A machine and its worker, written from the protocol: it executes commands at once.

use crate::constants::{MACHINE_TYPE, SERVICE_PREFIX};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;
use umbervale::wire::cloud::{ListedMachine, MachineState};
use umbervale::wire::worker::{
    DirectCommands, ExitReason, Heartbeat, HeartbeatResponse, Task, TaskState, WorkerCommand,
};

/// How long the tasks of an array run.
const RUN_TIME: Duration = Duration::from_secs(40);

/// A machine with its worker.
#[derive(Debug)]
pub(crate) struct Machine {
    pub(crate) zone: String,
    incarnation: u64,
    sequence: u64,
    fencing_token: u64,
    /// A higher fencing token came with direct commands: the worker sends a heartbeat at once.
    heartbeat_now: bool,
    tasks: BTreeMap<TaskAttempt, RunningTask>,
}

/// An attempt to run a task.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct TaskAttempt {
    task: String,
    attempt: u64,
}

impl TaskAttempt {
    fn new(task: &str, attempt: u64) -> TaskAttempt {
        let task = task.to_owned();
        TaskAttempt { task, attempt }
    }
}

#[derive(Debug)]
struct RunningTask {
    state: TaskState,
    ends_at: Instant,
}

impl Machine {
    /// A machine without tasks.
    pub(crate) fn new(zone: &str) -> Machine {
        Machine {
            zone: zone.to_owned(),
            incarnation: 1,
            sequence: 0,
            fencing_token: 0,
            heartbeat_now: false,
            tasks: BTreeMap::new(),
        }
    }

    /// The machine as the cloud lists it.
    pub(crate) fn listed(&self, name: &str) -> ListedMachine {
        ListedMachine {
            id: name.to_owned(),
            machine_type: MACHINE_TYPE.into(),
            zone: self.zone.clone(),
            spot: false,
            state: MachineState::Running,
            age_s: 1.0,
        }
    }

    /// How many tasks are on it.
    pub(crate) fn task_count(&self) -> usize {
        self.tasks.len()
    }

    /// How many of its tasks run.
    pub(crate) fn running_tasks(&self) -> usize {
        let tasks = self.tasks.values();
        tasks
            .filter(|task| task.state == TaskState::Running)
            .count()
    }

    /// Whether a higher fencing token has come directly since this was last asked.
    pub(crate) fn take_heartbeat_request(&mut self) -> bool {
        std::mem::take(&mut self.heartbeat_now)
    }

    /// Starts tasks that wait for their image, and completes those that have run long enough.
    pub(crate) fn advance(&mut self) {
        let now = Instant::now();
        for (attempt, task) in &mut self.tasks {
            match task.state {
                TaskState::Fetching => task.state = TaskState::Running,
                TaskState::Running
                    if now >= task.ends_at && !attempt.task.starts_with(SERVICE_PREFIX) =>
                {
                    task.state = TaskState::Exited;
                }
                _ => {}
            }
        }
    }

    /// Executes the commands of a reply; whether there were any.
    pub(crate) fn accept(&mut self, response: &HeartbeatResponse) -> bool {
        if response.fencing_token < self.fencing_token {
            return false;
        }
        self.fencing_token = response.fencing_token;
        self.execute(&response.commands);
        !response.commands.is_empty()
    }

    /// Executes direct commands, if they are for its incarnation and not from an earlier leader.
    pub(crate) fn accept_direct(&mut self, direct: &DirectCommands) {
        self.sequence += 1;
        if direct.fencing_token >= self.fencing_token && direct.incarnation == self.incarnation {
            self.heartbeat_now |= direct.fencing_token > self.fencing_token;
            self.fencing_token = direct.fencing_token;
            self.execute(&direct.commands);
        }
    }

    fn execute(&mut self, commands: &[WorkerCommand]) {
        for command in commands {
            match command {
                WorkerCommand::Start { task, attempt } => {
                    let started = RunningTask {
                        state: TaskState::Fetching,
                        ends_at: Instant::now() + RUN_TIME,
                    };
                    let attempt = TaskAttempt::new(task, *attempt);
                    self.tasks.entry(attempt).or_insert(started);
                }
                WorkerCommand::Stop { task, attempt, .. }
                | WorkerCommand::Forget { task, attempt } => {
                    self.tasks.remove(&TaskAttempt::new(task, *attempt));
                }
            }
        }
    }

    /// The next heartbeat of its worker.
    pub(crate) fn heartbeat(&mut self, name: &str, address: SocketAddr) -> Heartbeat {
        self.sequence += 1;
        let tasks = self.tasks.iter().map(|(id, it)| Task {
            task: id.task.clone(),
            attempt: id.attempt,
            state: it.state,
            exit_reason: (it.state == TaskState::Exited).then_some(ExitReason::Completed),
            checkpoint_saved: None,
        });
        Heartbeat {
            machine: name.into(),
            address: address.to_string(),
            machine_type: MACHINE_TYPE.into(),
            zone: self.zone.clone(),
            spot: false,
            incarnation: self.incarnation,
            sequence: self.sequence,
            fencing_token: self.fencing_token,
            preemption_notice_s: None,
            tasks: tasks.collect(),
        }
    }
}
