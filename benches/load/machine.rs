//! A simulated machine and its worker, written from the protocol. The worker executes commands
//! immediately.

use crate::constants::{MACHINE_TYPE, SERVICE_PREFIX};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;
use umbervale::wire::cloud::{ListedMachine, MachineState};
use umbervale::wire::worker::{
    DirectCommands, ExitReason, Heartbeat, HeartbeatResponse, Task, TaskState, WorkerCommand,
};

/// Run time of the tasks of an array.
const RUN_TIME: Duration = Duration::from_secs(40);

/// A machine with its worker.
#[derive(Debug)]
pub(crate) struct Machine {
    pub(crate) zone: String,
    incarnation: u64,
    sequence: u64,
    fencing_token: u64,
    /// Whether direct commands with a higher fencing token have arrived, after which the worker
    /// sends a heartbeat without waiting for the interval.
    heartbeat_requested: bool,
    tasks: BTreeMap<TaskAttempt, RunningTask>,
}

/// One attempt to run a task.
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
    /// Creates a machine without tasks.
    pub(crate) fn new(zone: &str) -> Machine {
        Machine {
            zone: zone.to_owned(),
            incarnation: 1,
            sequence: 0,
            fencing_token: 0,
            heartbeat_requested: false,
            tasks: BTreeMap::new(),
        }
    }

    /// Returns the machine's entry in the cloud's list.
    pub(crate) fn to_listed(&self, name: &str) -> ListedMachine {
        ListedMachine {
            id: name.to_owned(),
            machine_type: MACHINE_TYPE.into(),
            zone: self.zone.clone(),
            spot: false,
            state: MachineState::Running,
            age_s: 1.0,
        }
    }

    /// Returns the number of tasks on the machine.
    pub(crate) fn task_count(&self) -> usize {
        self.tasks.len()
    }

    /// Returns the number of running tasks on the machine.
    pub(crate) fn running_tasks(&self) -> usize {
        let tasks = self.tasks.values();
        tasks
            .filter(|task| task.state == TaskState::Running)
            .count()
    }

    /// Reports whether direct commands with a higher fencing token have arrived since the last
    /// call.
    pub(crate) fn take_heartbeat_request(&mut self) -> bool {
        std::mem::take(&mut self.heartbeat_requested)
    }

    /// Starts the tasks that are fetching their image, and completes array tasks that have run for
    /// [`RUN_TIME`].
    pub(crate) fn advance_tasks(&mut self) {
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

    /// Executes the commands of a response. Returns whether there were any.
    pub(crate) fn accept_response(&mut self, response: &HeartbeatResponse) -> bool {
        if response.fencing_token < self.fencing_token {
            return false;
        }
        self.fencing_token = response.fencing_token;
        self.execute(&response.commands);
        !response.commands.is_empty()
    }

    /// Executes direct commands if they are for the worker's incarnation and not from an earlier
    /// leader.
    pub(crate) fn accept_direct_commands(&mut self, direct: &DirectCommands) {
        self.sequence += 1;
        if direct.fencing_token >= self.fencing_token && direct.incarnation == self.incarnation {
            self.heartbeat_requested |= direct.fencing_token > self.fencing_token;
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

    /// Returns the worker's next heartbeat.
    pub(crate) fn heartbeat(&mut self, name: &str, address: SocketAddr) -> Heartbeat {
        self.sequence += 1;
        let tasks = self.tasks.iter().map(|(attempt, task)| Task {
            task: attempt.task.clone(),
            attempt: attempt.attempt,
            state: task.state,
            exit_reason: (task.state == TaskState::Exited).then_some(ExitReason::Completed),
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
