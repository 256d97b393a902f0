//! Recorded scripts, replayed: the engine's effects are byte for byte those of the recording.
//!
//! The files in `tests/fixtures/replay/` hold all commands to the engines of a few simulated clusters,
//! with the effects of every step. They guard refactorings: a change that keeps the
//! engine's behavior keeps these effects, and the files with them.

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

fn fixture_path(name: &str) -> PathBuf {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    root.join(format!("tests/fixtures/replay/{name}.msgpack"))
}

fn read_script(name: &str) -> Script {
    let bytes = std::fs::read(fixture_path(name)).unwrap();
    rmp_serde::from_slice(&bytes).unwrap()
}

/// Feeds each process of the script to a fresh engine, up to the first step with other effects.
fn replay(name: &str, script: &Script) {
    for (number, process) in script.processes.iter().enumerate() {
        let settings = node_settings(&process.settings, process.node, process.nodes);
        let mut engine = Engine::new(Arc::new(settings), process.seed);
        for (position, step) in process.steps.iter().enumerate() {
            let outcome = conversion::replay_step(&mut engine, step);
            assert!(
                outcome == step.outcome,
                "{name}: process {number} (node {}), step {position} at {} ms\ntold {:#?}\nexpected {:#?}\ngot {outcome:#?}",
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

/// Guards against a recorder that omits something on which the engine depends.
#[test]
fn fresh_recordings_are_deterministic_and_replayable() {
    for scenario in &SCENARIOS {
        let script = scenario.record();
        assert!(script == scenario.record(), "{}", scenario.name);
        replay(scenario.name, &script);
    }
}

/// Writes the files anew, which only an intended change of the engine's behaviour calls for: `cargo
/// test --lib write_replay_files -- --ignored`.
#[test]
#[ignore = "writes the files that the others read"]
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
