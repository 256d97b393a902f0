//! Records the engines' steps for the replay tests.

use super::super::replay::{Input, Process, Recorder, Script};
use super::SimulatedCluster;
use super::settings::settings_text;
use crate::engine::{Command, Effect, Engine};

/// A step that is being recorded; empty if no recording is in progress.
pub(super) struct Recording<'a>(Option<(&'a mut Recorder, Input)>);

impl<'a> Recording<'a> {
    /// Copies the input of a step before the engine consumes it.
    pub(super) fn begin(
        recorder: Option<&'a mut Recorder>,
        uptime: u64,
        unix_time: u64,
        batch: &[Command],
    ) -> Recording<'a> {
        Recording(recorder.map(|recorder| (recorder, Input::new(uptime, unix_time, batch))))
    }

    /// Records the step with its effects and the resulting status of the engine.
    pub(super) fn finish(self, node: usize, effects: &[Effect], engine: &Engine) {
        if let Some((recorder, input)) = self.0 {
            recorder.record_step(node, input, effects, &engine.status());
        }
    }
}

impl SimulatedCluster {
    /// Starts recording the engines' steps. It must be called before the first step.
    pub(crate) fn start_recording(&mut self) {
        self.recorder = Some(Recorder::default());
        for node in 0..self.nodes.len() {
            self.record_process_start(node);
        }
    }

    /// Ends the recording and returns its script.
    ///
    /// # Panics
    ///
    /// Panics if no recording is in progress.
    pub(crate) fn finish_recording(&mut self) -> Script {
        self.recorder.take().unwrap().finish()
    }

    /// Records the start of a node's process, if a recording is in progress.
    pub(super) fn record_process_start(&mut self, node: usize) {
        let seed = self.seed_of(node);
        if let Some(recorder) = &mut self.recorder {
            recorder.start_process(Process {
                settings: settings_text(self.gpus_max, self.upcoming_limits),
                node,
                nodes: self.nodes.len(),
                seed,
                steps: Vec::new(),
            });
        }
    }
}
