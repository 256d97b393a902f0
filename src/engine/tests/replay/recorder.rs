//! Records the commands that the engines of a simulated cluster get, and their effects.

use super::mirror;
use super::script::{Command, Process, Script, Step};
use crate::engine::{self, Effect, EngineStatus};
use std::collections::BTreeMap;

#[derive(Default)]
pub(crate) struct Recorder {
    script: Script,
    /// The process in the script that each node runs now.
    current: BTreeMap<usize, usize>,
}

impl Recorder {
    /// A node's process starts.
    pub(crate) fn start(&mut self, process: Process) {
        let position = self.script.processes.len();
        self.current.insert(process.node, position);
        self.script.processes.push(process);
    }

    /// A node's engine took a step.
    pub(crate) fn record(
        &mut self,
        node: usize,
        input: Input,
        effects: &[Effect],
        view: &EngineStatus,
    ) {
        let position = self.current[&node];
        self.script.processes[position].steps.push(Step {
            now: input.now,
            unix_time: input.unix_time,
            commands: input.commands,
            outcome: mirror::outcome(effects, view),
        });
    }

    pub(crate) fn finish(self) -> Script {
        self.script
    }
}

/// What a step was given, taken before the engine consumes it.
pub(crate) struct Input {
    now: u64,
    unix_time: u64,
    commands: Vec<Command>,
}

impl Input {
    pub(crate) fn new(now: u64, unix_time: u64, commands: &[engine::Command]) -> Input {
        Input {
            now,
            unix_time,
            commands: commands.iter().map(mirror::record_command).collect(),
        }
    }
}
