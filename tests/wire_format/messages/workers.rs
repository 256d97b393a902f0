//! Tests of the messages exchanged with workers.

use super::super::fixture_table::FixtureTable;
use super::{assert_decodes, assert_round_trip};
use umbervale::wire::worker::{
    DirectCommands, ExitReason, Heartbeat, HeartbeatResponse, LeaderRedirect, Task, TaskState,
    WorkerCommand,
};

pub(super) fn task(
    state: TaskState,
    exit_reason: Option<ExitReason>,
    checkpoint_saved: Option<bool>,
) -> Task {
    Task {
        task: "run-000412/3".into(),
        attempt: 2,
        state,
        exit_reason,
        checkpoint_saved,
    }
}

/// Returns a heartbeat without optional fields and without tasks.
fn minimal_heartbeat() -> Heartbeat {
    Heartbeat {
        machine: "host-000231".into(),
        address: "10.1.0.232:9000".into(),
        machine_type: "g8".into(),
        zone: "east".into(),
        spot: false,
        incarnation: 1,
        sequence: 0,
        fencing_token: 0,
        preemption_notice_s: None,
        tasks: Vec::new(),
    }
}

/// Returns a heartbeat with all optional fields and two tasks.
pub(super) fn full_heartbeat() -> Heartbeat {
    Heartbeat {
        spot: true,
        incarnation: 300,
        sequence: 88,
        fencing_token: 1 << 40,
        preemption_notice_s: Some(29.5),
        tasks: vec![
            task(TaskState::Running, None, None),
            task(TaskState::Exited, Some(ExitReason::Stopped), Some(true)),
        ],
        ..minimal_heartbeat()
    }
}

#[test]
fn heartbeats_match_the_fixtures() {
    let mut table = FixtureTable::open("wire/reports.txt");
    assert_round_trip(&mut table, "minimal", &minimal_heartbeat());
    assert_round_trip(&mut table, "full", &full_heartbeat());
    assert_decodes(&mut table, "optional_left_out", &minimal_heartbeat());
    assert_decodes(&mut table, "unknown_fields", &full_heartbeat());
    for (name, state) in [
        ("task_fetching", TaskState::Fetching),
        ("task_waiting", TaskState::WaitingForGang),
        ("task_running", TaskState::Running),
        ("task_saving", TaskState::Checkpointing),
        ("task_exited", TaskState::Exited),
    ] {
        assert_round_trip(&mut table, name, &task(state, None, None));
    }
    for (name, reason) in [
        ("why_done", ExitReason::Completed),
        ("why_stopped", ExitReason::Stopped),
        ("why_peers", ExitReason::GangPeerLost),
        ("why_alone", ExitReason::GangIncomplete),
        ("why_error", ExitReason::Failed),
        ("why_no_room", ExitReason::InsufficientResources),
        ("why_busy", ExitReason::AttemptConflict),
        ("why_unknown", ExitReason::UnknownTask),
    ] {
        let exited = task(TaskState::Exited, Some(reason), None);
        assert_round_trip(&mut table, name, &exited);
    }
    for (name, saved) in [("saved", true), ("not_saved", false)] {
        let stopped = task(TaskState::Exited, Some(ExitReason::Stopped), Some(saved));
        assert_round_trip(&mut table, name, &stopped);
    }
    table.finish();
}

fn start_command() -> WorkerCommand {
    WorkerCommand::Start {
        task: "run-000412/4".into(),
        attempt: 2,
    }
}

fn stop_command(grace_s: u64) -> WorkerCommand {
    WorkerCommand::Stop {
        task: "run-000377/1".into(),
        attempt: 1 << 40,
        grace_s,
    }
}

fn forget_command() -> WorkerCommand {
    WorkerCommand::Forget {
        task: "run-000398/0".into(),
        attempt: 1,
    }
}

#[test]
fn worker_responses_and_commands_match_the_fixtures() {
    let mut table = FixtureTable::open("wire/orders.txt");
    assert_round_trip(&mut table, "start", &start_command());
    assert_round_trip(&mut table, "stop", &stop_command(10));
    assert_round_trip(&mut table, "stop_at_once", &stop_command(0));
    assert_round_trip(&mut table, "forget", &forget_command());
    let all_commands = || vec![start_command(), stop_command(10), forget_command()];
    let response = |fencing_token, commands| HeartbeatResponse {
        fencing_token,
        commands,
    };
    assert_round_trip(&mut table, "answer", &response(41, all_commands()));
    assert_round_trip(&mut table, "answer_empty", &response(u64::MAX, Vec::new()));
    assert_round_trip(&mut table, "answer_default", &HeartbeatResponse::default());
    let redirect = LeaderRedirect {
        leader: Some("drone-2".into()),
    };
    assert_round_trip(&mut table, "elsewhere", &redirect);
    assert_round_trip(&mut table, "elsewhere_unknown", &LeaderRedirect::default());
    assert_decodes(&mut table, "elsewhere_null", &LeaderRedirect::default());
    let direct = |commands| DirectCommands {
        fencing_token: 41,
        incarnation: 1,
        commands,
    };
    assert_round_trip(&mut table, "direct", &direct(all_commands()));
    assert_round_trip(&mut table, "direct_empty", &direct(Vec::new()));
    table.finish();
}
