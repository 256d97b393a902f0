//! Recording of the engines' steps, for the replay tests.

use super::super::replay::{Input, Process, Recorder, Script};
use super::SimulatedCluster;
use super::settings::settings_text;
use crate::engine::{Command, Effect, Engine};

/// A step that is being recorded, or not, if no recording was asked for.
pub(super) struct Recording<'a>(Option<(&'a mut Recorder, Input)>);

impl<'a> Recording<'a> {
    /// Takes what a step is given.
    pub(super) fn begin(
        recorder: Option<&'a mut Recorder>,
        uptime: u64,
        unix_time: u64,
        batch: &[Command],
    ) -> Recording<'a> {
        Recording(recorder.map(|recorder| (recorder, Input::new(uptime, unix_time, batch))))
    }

    /// Records the step with its effects.
    pub(super) fn finish(self, node: usize, effects: &[Effect], engine: &Engine) {
        if let Some((recorder, input)) = self.0 {
            recorder.record_step(node, input, effects, &engine.status());
        }
    }
}

impl SimulatedCluster {
    /// Records the engines' steps from now on: called before the first one.
    pub(crate) fn start_recording(&mut self) {
        self.recorder = Some(Recorder::default());
        for node in 0..self.nodes.len() {
            self.record_process_start(node);
        }
    }

    /// Ends the recording.
    pub(crate) fn finish_recording(&mut self) -> Script {
        self.recorder.take().unwrap().finish()
    }

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
