//! Coverage of the recorded scripts: replaying them verifies the engine only if they exercise it.

use super::scenarios::SCENARIOS;
use super::{read_script, script};
use std::collections::{BTreeMap, BTreeSet};

/// Guards against recorded scripts that replay without differences only because they exercise too
/// little of the engine.
#[test]
fn recorded_scripts_cover_every_kind_of_command_and_effect() {
    let mut coverage = Coverage::default();
    for scenario in &SCENARIOS {
        for process in read_script(scenario.name).processes {
            coverage.increment("process".into());
            for step in process.steps {
                coverage.add_step(scenario.name, &step);
            }
        }
    }
    println!("{coverage:#?}");
    for kind in REQUIRED_KINDS {
        assert!(
            coverage.counts.contains_key(kind),
            "the recorded scripts contain no {kind}"
        );
    }
    let leader_replaced = coverage.terms.len() > SCENARIOS.len();
    assert!(leader_replaced, "no leader was replaced");
}

/// Counts of the kinds of commands, effects and task states in the scripts.
#[derive(Debug, Default)]
struct Coverage {
    counts: BTreeMap<String, usize>,
    /// Terms with a leader, each with the name of its scenario.
    terms: BTreeSet<(&'static str, u64)>,
}

impl Coverage {
    fn increment(&mut self, kind: String) {
        *self.counts.entry(kind).or_default() += 1;
    }

    fn add_step(&mut self, scenario: &'static str, step: &script::Step) {
        self.increment("step".into());
        if step.commands.len() > 1 {
            self.increment("batch of several commands".into());
        }
        for command in &step.commands {
            self.increment(kind_of_command(command));
            for state in task_states_in(command) {
                self.increment(state);
            }
        }
        for effect in &step.outcome.effects {
            self.increment(kind_of_effect(effect));
            for command in worker_commands_in(effect) {
                self.increment(command);
            }
        }
        if step.outcome.status.leading {
            self.terms.insert((scenario, step.outcome.status.term));
        }
    }
}

/// The kinds that must occur in the recorded scripts.
const REQUIRED_KINDS: [&str; 56] = [
    "command Heartbeat",
    "command Heartbeat with a preemption notice",
    "command TaskCounts",
    "command StoreAnswer Item",
    "command StoreAnswer Listing",
    "command StoreAnswer Committed",
    "command StoreAnswer LeaseGranted",
    "command StoreAnswer Done",
    "command StoreAnswer Changes",
    "command StoreAnswer Refused",
    "command StoreAnswer Unknown",
    "command CloudAnswer Types",
    "command CloudAnswer Rented",
    "command CloudAnswer Returned",
    "command CloudAnswer Listed",
    "command CloudAnswer Failed",
    "command CloudAnswer NoCapacity",
    "command Announcement",
    "command JobCancelled",
    "command BlockedJobState",
    "command UnknownJobs",
    "effect Reply HeartbeatAnswer",
    "effect Reply Redirect",
    "effect Reply Unavailable",
    "effect Reply TaskCounts",
    "effect Reply BlockedJobState",
    "effect Reply UnknownJobs",
    "effect Store Commit",
    "effect Store Watch",
    "effect Cloud Rent",
    "effect Cloud Return",
    "effect Cloud List",
    "effect WorkerCommands",
    "effect Store Get",
    "effect Store List",
    "effect Store GrantLease",
    "effect Store RenewLease",
    "effect Store EndLease",
    "effect Cloud Types",
    "command StoreAnswer Conflict",
    "batch of several commands",
    "worker command launch",
    "worker command kill",
    "worker command forget",
    "task fetching",
    "task gathering",
    "task running",
    "task saving",
    "task ended done",
    "task ended stopped",
    "task ended error",
    "task ended peers",
    "task ended alone",
    "task ended full",
    "task ended busy",
    "task ended no_such",
];

/// Returns the variant name of a value of one of the script's enums, taken from its `Debug` output.
fn variant_name(value: &impl std::fmt::Debug) -> String {
    let text = format!("{value:?}");
    let end = text.find(|letter: char| !letter.is_alphanumeric());
    text[..end.unwrap_or(text.len())].to_owned()
}

fn kind_of_command(command: &script::Command) -> String {
    let kind = variant_name(command);
    match command {
        script::Command::StoreAnswer { answer, .. } => {
            format!("command {kind} {}", variant_name(answer))
        }
        script::Command::CloudAnswer { answer, .. } => {
            format!("command {kind} {}", variant_name(answer))
        }
        script::Command::Heartbeat { body, .. } if has_notice(body) => {
            format!("command {kind} with a preemption notice")
        }
        _ => format!("command {kind}"),
    }
}

/// Reports whether a heartbeat contains a preemption notice.
fn has_notice(heartbeat: &script::Body) -> bool {
    !heartbeat.decoded()["recall_s"].is_nil()
}

/// Returns the states of the tasks in a heartbeat, with the exit reason of tasks that have exited.
fn task_states_in(command: &script::Command) -> Vec<String> {
    let script::Command::Heartbeat { body, .. } = command else {
        return Vec::new();
    };
    let heartbeat = body.decoded();
    let state = |task: &rmpv::Value| match task["cause"].as_str() {
        Some(cause) => format!("task {} {cause}", task["status"].as_str().unwrap()),
        None => format!("task {}", task["status"].as_str().unwrap()),
    };
    let tasks = heartbeat["pieces"].as_array().unwrap();
    tasks.iter().map(state).collect()
}

/// Returns the kinds of the commands that an effect sends to a worker.
fn worker_commands_in(effect: &script::Effect) -> Vec<String> {
    let (script::Effect::WorkerCommands { body, .. }
    | script::Effect::Reply {
        reply: script::Reply::HeartbeatAnswer(body),
        ..
    }) = effect
    else {
        return Vec::new();
    };
    let message = body.decoded();
    let kind =
        |command: &rmpv::Value| format!("worker command {}", command["verb"].as_str().unwrap());
    message["orders"]
        .as_array()
        .unwrap()
        .iter()
        .map(kind)
        .collect()
}

fn kind_of_effect(effect: &script::Effect) -> String {
    let kind = variant_name(effect);
    match effect {
        script::Effect::Reply { reply, .. } => format!("effect {kind} {}", variant_name(reply)),
        script::Effect::Store { request, .. } => format!("effect {kind} {}", variant_name(request)),
        script::Effect::Cloud { request, .. } => format!("effect {kind} {}", variant_name(request)),
        script::Effect::WorkerCommands { .. } => format!("effect {kind}"),
    }
}
