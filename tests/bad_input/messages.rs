//! Tests of damaged forms of the messages that a node decodes. Each message has all its optional fields.

use super::mutations::{damaged_forms, encode};
use super::support::map;
use super::{ACCEPTED, Case, assert_fixture};
use rmpv::Value;
use serde::de::DeserializeOwned;
use umbervale::wire::{cloud, decode, store, user, worker};

/// Asserts that a message is accepted and that the outcomes of its damaged forms match the fixture.
fn assert_damaged_forms_match<T: DeserializeOwned>(fixture: &str, message: &Value) {
    let mut cases = vec![Case::new("undamaged", decode::<T>(&encode(message)))];
    assert_eq!(cases[0].outcome, ACCEPTED, "{fixture}");
    for damaged in damaged_forms(message) {
        cases.push(Case::new(damaged.name, decode::<T>(&damaged.body)));
    }
    assert_fixture(fixture, &cases);
}

fn list(elements: Vec<Value>) -> Value {
    Value::Array(elements)
}

/// Returns a submission with all optional fields.
pub(crate) fn submission() -> Value {
    map(vec![
        ("uid", "run-000412".into()),
        ("docket", "train".into()),
        ("crew", "vision".into()),
        ("form", "array".into()),
        ("precedence", "normal".into()),
        ("pieces", 3.into()),
        ("vcpus", 4.0.into()),
        ("gpus", 1.into()),
        ("memory_gb", 8.into()),
        ("plate", "img-1".into()),
        ("image_gb", 1.5.into()),
        ("models", list(vec!["g8".into()])),
        ("yard", "east".into()),
        ("together", false.into()),
        ("scatter", false.into()),
        ("loaners", false.into()),
        ("expected_s", 30.into()),
        ("bookmark_s", 0.into()),
        ("bookmark_cost_s", 0.into()),
        ("due_s", 600.0.into()),
        ("awaits", list(vec!["run-000411".into()])),
    ])
}

/// Returns a heartbeat with all optional fields and one exited task.
pub(crate) fn heartbeat() -> Value {
    let task = map(vec![
        ("piece", "run-000412/0".into()),
        ("try", 1.into()),
        ("status", "ended".into()),
        ("cause", "done".into()),
        ("stored", true.into()),
    ]);
    map(vec![
        ("host", "host-000001".into()),
        ("address", "127.0.0.1:9000".into()),
        ("model", "g8".into()),
        ("yard", "east".into()),
        ("loaners", false.into()),
        ("shift", 1.into()),
        ("tally", 88.into()),
        ("warrant", 0.into()),
        ("recall_s", 30.0.into()),
        ("pieces", list(vec![task])),
    ])
}

fn item() -> Value {
    map(vec![
        ("path", "live/job/run-000412".into()),
        ("data", map(vec![("state", "queued".into())])),
        ("stamp", 7.into()),
    ])
}

#[test]
fn errors_for_damaged_submissions_match_the_fixture() {
    assert_damaged_forms_match::<user::JobSubmission>("submission.txt", &submission());
}

#[test]
fn errors_for_damaged_heartbeats_match_the_fixture() {
    assert_damaged_forms_match::<worker::Heartbeat>("report.txt", &heartbeat());
}

#[test]
fn errors_for_damaged_items_match_the_fixture() {
    assert_damaged_forms_match::<store::Item>("item.txt", &item());
}

#[test]
fn errors_for_damaged_typed_items_match_the_fixture() {
    let item = map(vec![
        ("path", "live/job/run-000412".into()),
        ("data", map(vec![("ledger_rev", 3.into())])),
        ("stamp", 7.into()),
    ]);
    assert_damaged_forms_match::<store::Item<store::Revision>>("item_of_revision.txt", &item);
}

#[test]
fn errors_for_damaged_listings_match_the_fixture() {
    let listing = map(vec![
        ("items", list(vec![item()])),
        ("truncated", true.into()),
        ("ledger_rev", 9.into()),
    ]);
    assert_damaged_forms_match::<store::Listing>("listing.txt", &listing);
}

#[test]
fn errors_for_damaged_changes_match_the_fixture() {
    let put = map(vec![
        ("put", "live/job/run-000412".into()),
        ("data", 1.into()),
        ("stamp", 7.into()),
    ]);
    let remove = map(vec![
        ("remove", "live/job/run-000411".into()),
        ("stamp", 8.into()),
    ]);
    let changes = map(vec![
        ("ledger_rev", 9.into()),
        ("events", list(vec![put, remove])),
    ]);
    assert_damaged_forms_match::<store::Changes>("changes.txt", &changes);
}

#[test]
fn errors_for_damaged_revisions_match_the_fixture() {
    let revision = map(vec![("ledger_rev", 9.into())]);
    assert_damaged_forms_match::<store::Revision>("revision.txt", &revision);
}

#[test]
fn errors_for_damaged_conflicts_match_the_fixture() {
    let conflict = map(vec![("failed", list(vec!["live/job/run-000412".into()]))]);
    assert_damaged_forms_match::<store::Conflict>("conflict.txt", &conflict);
}

#[test]
fn errors_for_damaged_leases_match_the_fixture() {
    let lease = map(vec![("tenure", 5.into())]);
    assert_damaged_forms_match::<store::LeaseGranted>("lease.txt", &lease);
}

#[test]
fn errors_for_damaged_machine_types_match_the_fixture() {
    let machine_type = map(vec![
        ("name", "g8".into()),
        ("vcpus", 16.into()),
        ("gpus", 4.into()),
        ("memory_gb", 64.into()),
        ("cache_gb", 100.into()),
        ("fetch_gb_per_s", 0.4.into()),
        ("price", 4.into()),
        ("spot_price", 1.into()),
        ("ready_s", 20.into()),
        ("yards", list(vec!["east".into()])),
    ]);
    let types = map(vec![("models", list(vec![machine_type]))]);
    assert_damaged_forms_match::<cloud::MachineTypeList>("machine_types.txt", &types);
}

#[test]
fn errors_for_damaged_machine_lists_match_the_fixture() {
    let machine = map(vec![
        ("uid", "host-000001".into()),
        ("model", "g8".into()),
        ("yard", "east".into()),
        ("loaners", true.into()),
        ("status", "starting".into()),
        ("held_s", 12.5.into()),
    ]);
    let machines = map(vec![
        ("hosts", list(vec![machine])),
        ("truncated", true.into()),
    ]);
    assert_damaged_forms_match::<cloud::MachinePage>("machine_list.txt", &machines);
}

#[test]
fn errors_for_damaged_machine_names_match_the_fixture() {
    let machines = map(vec![("hosts", list(vec!["host-000001".into()]))]);
    assert_damaged_forms_match::<cloud::MachineNames>("machines.txt", &machines);
}
