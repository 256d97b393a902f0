//! Messages of users, workers, the cloud and the state service.

use super::fixture_table::FixtureTable;
use rmpv::Value;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fmt::Debug;
use umbervale::wire::cloud::{
    ListedMachine, MachineNames, MachinePage, MachineState, MachineType, MachineTypeList,
    RentRequest,
};
use umbervale::wire::store::{
    Changes, Comparison, Conflict, GrantLeaseRequest, Item, LeaseGranted, Listing, Mutation,
    Revision, Transaction, WatchEvent,
};
use umbervale::wire::user::{JobKind, JobState, JobStatus, JobSubmission, Priority, Refusal};
use umbervale::wire::worker::{
    DirectCommands, ExitReason, Heartbeat, HeartbeatResponse, LeaderRedirect, Task, TaskState,
    WorkerCommand,
};
use umbervale::wire::{decode, encode};

/// The case is written as pinned, and the pinned bytes are read as the case.
#[track_caller]
fn both_ways<T>(table: &mut FixtureTable, name: &str, message: &T)
where
    T: Serialize + DeserializeOwned + PartialEq + Debug,
{
    let pinned = table.take_bytes(name);
    assert_eq!(encode(message), pinned, "{name}");
    assert_eq!(decode::<T>(&pinned).ok().as_ref(), Some(message), "{name}");
}

/// Bytes of another form that are read as the case.
#[track_caller]
fn read_as<T>(table: &mut FixtureTable, name: &str, message: &T)
where
    T: DeserializeOwned + PartialEq + Debug,
{
    let pinned = table.take_bytes(name);
    assert_eq!(decode::<T>(&pinned).ok().as_ref(), Some(message), "{name}");
}

fn minimal_job() -> JobSubmission {
    JobSubmission {
        id: "run-1".into(),
        class: "train".into(),
        team: "vision".into(),
        kind: JobKind::Array,
        priority: Priority::Normal,
        tasks: 1,
        cpus: 0.0,
        gpus: 0.0,
        memory_gb: 0.0,
        image: "img-1".into(),
        image_gb: 0.0,
        machine_types: None,
        zone: None,
        single_zone: false,
        spread_zones: false,
        allows_spot: false,
        expected_duration_s: 0.0,
        checkpoint_interval_s: 0.0,
        checkpoint_cost_s: 0.0,
        deadline_s: None,
        depends_on: Vec::new(),
    }
}

fn full_job() -> JobSubmission {
    JobSubmission {
        id: "run-000412".into(),
        class: "train".into(),
        team: "vision".into(),
        kind: JobKind::Gang,
        priority: Priority::High,
        tasks: 100_000,
        cpus: 8.5,
        gpus: 1.0,
        memory_gb: 64.0,
        image: "img-07".into(),
        image_gb: 6.2,
        machine_types: Some(vec!["g8".into(), "c32".into()]),
        zone: Some("east".into()),
        single_zone: true,
        spread_zones: true,
        allows_spot: true,
        expected_duration_s: 240.0,
        checkpoint_interval_s: 30.0,
        checkpoint_cost_s: 4.0,
        deadline_s: Some(900.0),
        depends_on: vec!["run-000410".into(), "run-000411".into()],
    }
}

#[test]
fn submissions_match_the_fixtures() {
    let mut table = FixtureTable::open("wire/submissions.txt");
    both_ways(&mut table, "minimal", &minimal_job());
    both_ways(&mut table, "full", &full_job());
    for (name, kind) in [
        ("kind_array", JobKind::Array),
        ("kind_gang", JobKind::Gang),
        ("kind_service", JobKind::Service),
    ] {
        let job = JobSubmission {
            kind,
            ..minimal_job()
        };
        both_ways(&mut table, name, &job);
    }
    for (name, priority) in [
        ("priority_low", Priority::Low),
        ("priority_normal", Priority::Normal),
        ("priority_high", Priority::High),
        ("priority_production", Priority::Production),
    ] {
        let job = JobSubmission {
            priority,
            ..minimal_job()
        };
        both_ways(&mut table, name, &job);
    }
    let no_types = JobSubmission {
        machine_types: Some(Vec::new()),
        ..minimal_job()
    };
    both_ways(&mut table, "no_types", &no_types);
    read_as(&mut table, "optional_left_out", &minimal_job());
    read_as(&mut table, "awaits_null", &minimal_job());
    read_as(&mut table, "awaits_repeated", &full_job());
    read_as(&mut table, "unknown_fields", &full_job());
    read_as(&mut table, "whole_amounts", &minimal_job());
    table.finish();
}

#[test]
fn user_responses_match_the_fixtures() {
    let mut table = FixtureTable::open("wire/user_answers.txt");
    let status = |state, counts: Option<(u64, u64)>| JobStatus {
        id: "run-000412".into(),
        state,
        completed_tasks: counts.map(|(done, _)| done),
        running_tasks: counts.map(|(_, running)| running),
    };
    for (name, state) in [
        ("queued", JobState::Queued),
        ("running", JobState::Running),
        ("done", JobState::Done),
        ("cancelled", JobState::Cancelled),
    ] {
        both_ways(&mut table, name, &status(state, None));
        let with_counts = format!("{name}_with_counts");
        both_ways(&mut table, &with_counts, &status(state, Some((3, 100_000))));
    }
    for (name, error) in [("refusal", "unknown team"), ("refusal_empty", "")] {
        // Only written.
        assert_eq!(encode(&Refusal { error }), table.take_bytes(name), "{name}");
    }
    table.finish();
}

fn task(state: TaskState, exit_reason: Option<ExitReason>, checkpoint_saved: Option<bool>) -> Task {
    Task {
        task: "run-000412/3".into(),
        attempt: 2,
        state,
        exit_reason,
        checkpoint_saved,
    }
}

fn minimal_report() -> Heartbeat {
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

fn full_report() -> Heartbeat {
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
        ..minimal_report()
    }
}

#[test]
fn heartbeats_match_the_fixtures() {
    let mut table = FixtureTable::open("wire/reports.txt");
    both_ways(&mut table, "minimal", &minimal_report());
    both_ways(&mut table, "full", &full_report());
    read_as(&mut table, "optional_left_out", &minimal_report());
    read_as(&mut table, "unknown_fields", &full_report());
    for (name, state) in [
        ("task_fetching", TaskState::Fetching),
        ("task_waiting", TaskState::WaitingForGang),
        ("task_running", TaskState::Running),
        ("task_saving", TaskState::Checkpointing),
        ("task_exited", TaskState::Exited),
    ] {
        both_ways(&mut table, name, &task(state, None, None));
    }
    for (name, why) in [
        ("why_done", ExitReason::Completed),
        ("why_stopped", ExitReason::Stopped),
        ("why_peers", ExitReason::GangPeerLost),
        ("why_alone", ExitReason::GangIncomplete),
        ("why_error", ExitReason::Failed),
        ("why_no_room", ExitReason::InsufficientResources),
        ("why_busy", ExitReason::AttemptConflict),
        ("why_unknown", ExitReason::UnknownTask),
    ] {
        let exited = task(TaskState::Exited, Some(why), None);
        both_ways(&mut table, name, &exited);
    }
    for (name, saved) in [("saved", true), ("not_saved", false)] {
        let stopped = task(TaskState::Exited, Some(ExitReason::Stopped), Some(saved));
        both_ways(&mut table, name, &stopped);
    }
    table.finish();
}

fn start() -> WorkerCommand {
    WorkerCommand::Start {
        task: "run-000412/4".into(),
        attempt: 2,
    }
}

fn stop(grace_s: u64) -> WorkerCommand {
    WorkerCommand::Stop {
        task: "run-000377/1".into(),
        attempt: 1 << 40,
        grace_s,
    }
}

fn forget() -> WorkerCommand {
    WorkerCommand::Forget {
        task: "run-000398/0".into(),
        attempt: 1,
    }
}

#[test]
fn worker_responses_and_commands_match_the_fixtures() {
    let mut table = FixtureTable::open("wire/orders.txt");
    both_ways(&mut table, "start", &start());
    both_ways(&mut table, "stop", &stop(10));
    both_ways(&mut table, "stop_at_once", &stop(0));
    both_ways(&mut table, "forget", &forget());
    let all = || vec![start(), stop(10), forget()];
    let answer = |fencing_token, commands| HeartbeatResponse {
        fencing_token,
        commands,
    };
    both_ways(&mut table, "answer", &answer(41, all()));
    both_ways(&mut table, "answer_empty", &answer(u64::MAX, Vec::new()));
    both_ways(&mut table, "answer_default", &HeartbeatResponse::default());
    let elsewhere = LeaderRedirect {
        leader: Some("drone-2".into()),
    };
    both_ways(&mut table, "elsewhere", &elsewhere);
    both_ways(&mut table, "elsewhere_unknown", &LeaderRedirect::default());
    read_as(&mut table, "elsewhere_null", &LeaderRedirect::default());
    let direct = |orders| DirectCommands {
        fencing_token: 41,
        incarnation: 1,
        commands: orders,
    };
    both_ways(&mut table, "direct", &direct(all()));
    both_ways(&mut table, "direct_empty", &direct(Vec::new()));
    table.finish();
}

fn machine_type() -> MachineType {
    MachineType {
        name: "g8".into(),
        cpus: 96.0,
        gpus: 8.0,
        memory_gb: 768.0,
        cache_gb: 200.0,
        fetch_gb_per_s: 1.0,
        price: 12.0,
        spot_price: 4.5,
        boot_s: 45.0,
        zones: vec!["a".into(), "b".into()],
    }
}

fn listed(state: MachineState, spot: bool) -> ListedMachine {
    ListedMachine {
        id: "host-000231".into(),
        machine_type: "g8".into(),
        zone: "a".into(),
        spot,
        state,
        age_s: 61.5,
    }
}

#[test]
fn cloud_messages_match_the_fixtures() {
    let mut table = FixtureTable::open("wire/cloud.txt");
    let nowhere = MachineType {
        zones: Vec::new(),
        ..machine_type()
    };
    let machine_types = |machine_types| MachineTypeList { machine_types };
    both_ways(
        &mut table,
        "types",
        &machine_types(vec![machine_type(), nowhere]),
    );
    both_ways(&mut table, "types_none", &machine_types(Vec::new()));
    read_as(
        &mut table,
        "types_whole",
        &machine_types(vec![machine_type()]),
    );
    let rent = |spot, count| RentRequest {
        request_id: "r-17".into(),
        machine_type: "g8".into(),
        zone: "a".into(),
        spot,
        count,
    };
    both_ways(&mut table, "rent_spot", &rent(true, 50));
    both_ways(&mut table, "rent_ordinary", &rent(false, 1));
    let machines = |machines| MachineNames { machines };
    let two = vec!["host-000231".into(), "host-000232".into()];
    both_ways(&mut table, "machines", &machines(two));
    both_ways(&mut table, "machines_none", &machines(Vec::new()));
    for (name, state) in [
        ("listed_booting", MachineState::Booting),
        ("listed_running", MachineState::Running),
        ("listed_failed", MachineState::Failed),
    ] {
        both_ways(&mut table, name, &listed(state, true));
    }
    let ordinary = listed(MachineState::Running, false);
    both_ways(&mut table, "listed_ordinary", &ordinary);
    read_as(&mut table, "listed_left_out", &ordinary);
    let page = |machines, more| MachinePage {
        machines,
        has_more: more,
    };
    let both = vec![ordinary, listed(MachineState::Booting, true)];
    both_ways(&mut table, "list", &page(both, true));
    both_ways(&mut table, "list_empty", &page(Vec::new(), false));
    read_as(&mut table, "list_left_out", &page(Vec::new(), false));
    table.finish();
}

fn any_value() -> Value {
    let field = |name: &str, value| (Value::from(name), value);
    Value::Map(vec![
        field("null", Value::Nil),
        field("number", 412.into()),
        field("below_zero", (-7).into()),
        field("amount", 0.5.into()),
        field("flag", true.into()),
        field("list", Value::Array(vec!["text".into(), 1.into()])),
        field("map", Value::Map(Vec::new())),
    ])
}

fn item() -> Item {
    Item {
        key: "a/b".into(),
        value: any_value(),
        version: 412,
    }
}

#[test]
fn state_service_messages_match_the_fixtures() {
    let mut table = FixtureTable::open("wire/store.txt");
    both_ways(&mut table, "item", &item());
    read_as(&mut table, "item_leased", &item());
    let typed = Item::<GrantLeaseRequest> {
        key: "a/b".into(),
        value: GrantLeaseRequest { ttl_ms: 5_000 },
        version: 0,
    };
    both_ways(&mut table, "item_of_a_type", &typed);
    let listing = |items, more| Listing {
        items,
        has_more: more,
        revision: 431,
    };
    both_ways(&mut table, "listing", &listing(vec![item(), item()], true));
    both_ways(&mut table, "listing_empty", &listing(Vec::new(), false));
    read_as(&mut table, "listing_left_out", &listing(Vec::new(), false));
    let condition = Comparison {
        key: "a/b".into(),
        version: 0,
    };
    both_ways(&mut table, "condition", &condition);
    let put = |lease| Mutation::Put {
        key: "a/b".into(),
        value: any_value(),
        lease,
    };
    both_ways(&mut table, "put", &put(None));
    both_ways(&mut table, "put_leased", &put(Some(7)));
    let delete = Mutation::Delete { key: "c/d".into() };
    both_ways(&mut table, "delete", &delete);
    both_ways(&mut table, "txn_empty", &Transaction::default());
    let txn = Transaction::default()
        .compare("a/b", 0)
        .compare("c/d", 412)
        .put("a/b", any_value())
        .put_with_lease("live/lead", 1.into(), 7)
        .delete("c/d");
    both_ways(&mut table, "txn", &txn);
    both_ways(&mut table, "revision", &Revision { revision: 432 });
    let conflict = Conflict {
        failed_keys: vec!["a/b".into()],
    };
    both_ways(&mut table, "conflict", &conflict);
    read_as(&mut table, "conflict_with_revision", &conflict);
    both_ways(&mut table, "hold", &GrantLeaseRequest { ttl_ms: 600_000 });
    both_ways(&mut table, "lease", &LeaseGranted { lease: 7 });
    let changed = WatchEvent::Put {
        key: "c/9".into(),
        value: any_value(),
        version: 433,
    };
    both_ways(&mut table, "event_put", &changed);
    let deleted = WatchEvent::Delete {
        key: "c/d".into(),
        version: 432,
    };
    both_ways(&mut table, "event_delete", &deleted);
    let changes = |events| Changes {
        revision: 433,
        events,
    };
    both_ways(&mut table, "changes", &changes(vec![changed, deleted]));
    both_ways(&mut table, "changes_none", &changes(Vec::new()));
    table.finish();
}

/// What stands in place of a field in a malformed body.
fn malformed_values() -> Vec<(&'static str, Value)> {
    vec![
        ("null", Value::Nil),
        ("flag", true.into()),
        ("number", 7.into()),
        ("below_zero", (-1).into()),
        ("amount", 0.5.into()),
        ("text", "other".into()),
        ("list", Value::Array(vec![Value::Nil])),
        ("map", Value::Map(vec![("key".into(), Value::Nil)])),
    ]
}

/// What the sender of a body is told of it.
fn told<T: DeserializeOwned>(body: &Value) -> String {
    match decode::<T>(&encode(body)) {
        Ok(_) => "accepted".into(),
        Err(error) => error.to_string(),
    }
}

/// Takes out and spoils each field of a message, one after the other.
fn spoil_each_field<T: DeserializeOwned>(table: &mut FixtureTable, group: &str, good: &[u8]) {
    let good: Value = rmp_serde::from_slice(good).unwrap();
    let fields = good.as_map().unwrap();
    for (at, (key, _)) in fields.iter().enumerate() {
        let field = key.as_str().unwrap();
        let mut without = fields.clone();
        without.remove(at);
        let name = format!("{group}.{field}.missing");
        let text = told::<T>(&Value::Map(without));
        assert_eq!(text, table.take_text(&name), "{name}");
        for (form, value) in malformed_values() {
            let mut spoilt = fields.clone();
            spoilt[at].1 = value;
            let name = format!("{group}.{field}.{form}");
            let text = told::<T>(&Value::Map(spoilt));
            assert_eq!(text, table.take_text(&name), "{name}");
        }
    }
}

#[test]
fn malformed_bodies_are_refused_with_the_texts_of_the_fixtures() {
    let mut table = FixtureTable::open("wire/malformed.txt");
    spoil_each_field::<JobSubmission>(&mut table, "submission", &encode(&full_job()));
    spoil_each_field::<Heartbeat>(&mut table, "report", &encode(&full_report()));
    let stopped = task(TaskState::Exited, Some(ExitReason::Stopped), Some(true));
    spoil_each_field::<Task>(&mut table, "task", &encode(&stopped));
    table.finish();
}
