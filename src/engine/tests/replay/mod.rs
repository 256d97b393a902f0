//! Replay tests: they feed recorded commands to the engine and compare its effects byte for byte
//! with the recorded ones.
//!
//! The files in `tests/fixtures/replay/` contain all commands to the engines of a few simulated
//! clusters, with the effects of every step. They guard against unintended changes of behavior in
//! refactorings: a change that keeps the engine's behavior keeps these effects, so the files stay
//! valid.

mod conversion;
mod coverage;
mod recorder;
mod scenarios;
mod script;

pub(crate) use recorder::{Input, Recorder};
pub(crate) use script::{Process, Script};

use super::simulated_cluster::node_settings;
use crate::engine::Engine;
use scenarios::SCENARIOS;
use std::path::PathBuf;
use std::sync::Arc;

/// Returns the path of a scenario's recorded script.
fn fixture_path(name: &str) -> PathBuf {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    root.join(format!("tests/fixtures/replay/{name}.msgpack"))
}

/// Reads a scenario's recorded script.
fn read_script(name: &str) -> Script {
    let bytes = std::fs::read(fixture_path(name)).unwrap();
    rmp_serde::from_slice(&bytes).unwrap()
}

/// Feeds each recorded process to a new engine and asserts that each step has the recorded outcome.
fn replay(name: &str, script: &Script) {
    for (number, process) in script.processes.iter().enumerate() {
        let settings = node_settings(&process.settings, process.node, process.nodes);
        let mut engine = Engine::new(Arc::new(settings), process.seed);
        for (position, step) in process.steps.iter().enumerate() {
            let outcome = conversion::replay_step(&mut engine, step);
            assert!(
                outcome == step.outcome,
                "{name}: process {number} (node {}), step {position} at {} ms\ncommands {:#?}\nexpected {:#?}\ngot {outcome:#?}",
                process.node,
                step.now,
                step.commands,
                step.outcome,
            );
        }
    }
}

#[test]
fn recorded_steps_replay_with_identical_effects() {
    for scenario in &SCENARIOS {
        replay(scenario.name, &read_script(scenario.name));
    }
}

/// Guards against a recorder that omits an input on which the engine's effects depend: two
/// recordings of a scenario would differ, or the replay would have other effects.
#[test]
fn fresh_recordings_are_deterministic_and_replayable() {
    for scenario in &SCENARIOS {
        let script = scenario.record();
        assert!(script == scenario.record(), "{}", scenario.name);
        replay(scenario.name, &script);
    }
}

/// Regenerates the recorded scripts. This is only needed after an intended change of the engine's
/// behavior. Run `cargo test --lib write_replay_files -- --ignored`.
#[test]
#[ignore = "overwrites the fixtures that the other tests read"]
fn write_replay_files() {
    for scenario in &SCENARIOS {
        let script = scenario.record();
        std::fs::write(
            fixture_path(scenario.name),
            rmp_serde::to_vec(&script).unwrap(),
        )
        .unwrap();
    }
}
