//! Records the commands that the engines of a simulated cluster get, and their effects.

use super::conversion;
use super::script::{Command, Process, Script, Step};
use crate::engine::{self, Effect, EngineStatus};
use std::collections::BTreeMap;

#[derive(Default)]
pub(crate) struct Recorder {
    script: Script,
    /// The process in the script that each node runs now.
    current_process: BTreeMap<usize, usize>,
}

impl Recorder {
    /// A node's process starts.
    pub(crate) fn start_process(&mut self, process: Process) {
        let position = self.script.processes.len();
        self.current_process.insert(process.node, position);
        self.script.processes.push(process);
    }

    /// A node's engine took a step.
    pub(crate) fn record_step(
        &mut self,
        node: usize,
        input: Input,
        effects: &[Effect],
        status: &EngineStatus,
    ) {
        let position = self.current_process[&node];
        self.script.processes[position].steps.push(Step {
            now: input.uptime,
            unix_time: input.unix_time,
            commands: input.commands,
            outcome: conversion::record_outcome(effects, status),
        });
    }

    pub(crate) fn finish(self) -> Script {
        self.script
    }
}

/// What a step was given, taken before the engine consumes it.
pub(crate) struct Input {
    uptime: u64,
    unix_time: u64,
    commands: Vec<Command>,
}

impl Input {
    pub(crate) fn new(uptime: u64, unix_time: u64, commands: &[engine::Command]) -> Input {
        Input {
            uptime,
            unix_time,
            commands: commands.iter().map(conversion::record_command).collect(),
        }
    }
}
