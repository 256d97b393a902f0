//! Records the commands to the engines of a simulated cluster, and their effects.

use super::conversion;
use super::script::{Command, Process, Script, Step};
use crate::engine::{self, Effect, EngineStatus};
use std::collections::BTreeMap;

/// A recording in progress.
#[derive(Default)]
pub(crate) struct Recorder {
    script: Script,
    /// Index in the script of each node's current process, by node.
    current_process: BTreeMap<usize, usize>,
}

impl Recorder {
    /// Records the start of a node's process.
    pub(crate) fn start_process(&mut self, process: Process) {
        let position = self.script.processes.len();
        self.current_process.insert(process.node, position);
        self.script.processes.push(process);
    }

    /// Records a step of a node's engine.
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

    /// Returns the recorded script.
    pub(crate) fn finish(self) -> Script {
        self.script
    }
}

/// The input of a step, copied before the engine consumes it.
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
