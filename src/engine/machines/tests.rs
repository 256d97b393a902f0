use super::*;
use crate::engine::test_support::{instant, job, jobs_with, placement};
use crate::model::{MachinePhase, MachineType, PlacementStage, TaskId};
use crate::wire::user::JobKind;
use crate::wire::worker::TaskState;
use std::time::Duration;

fn types() -> Arc<MachineTypes> {
    let machine_type = MachineType {
        name: "g8".into(),
        capacity: Resources::capacity(16.0, 4.0, 64.0),
        cache_gb: 100.0,
        fetch_gb_per_s: 0.5,
        price: 4.0,
        spot_price: 1.0,
        boot_time: Duration::from_secs(20),
        zones: vec!["east".into()],
    };
    Arc::new(BTreeMap::from([("g8".into(), machine_type)]))
}

/// Returns a fleet with one machine that accepts tasks, and the id of the machine.
fn one_machine_fleet() -> (Machines, MachineId) {
    let mut machines = Machines::default();
    let id = MachineId::from("host-1");
    machines.insert_if_absent(&id, |id| {
        let mut machine = Machine::new(id, "g8".into(), "east".into(), false, instant(0));
        machine.phase = MachinePhase::Up;
        machine.responsive = true;
        machine
    });
    (machines, id)
}

fn schedulable(machines: &Machines) -> Vec<MachineSnapshot> {
    machines.schedulable(Resources::default())
}

#[test]
fn machine_of_unknown_type_has_no_snapshot() {
    let (mut machines, _) = one_machine_fleet();
    let jobs = Jobs::default();
    machines.refresh_snapshots(&jobs, None, instant(0));
    assert!(schedulable(&machines).is_empty());
    machines.refresh_snapshots(&jobs, Some(&types()), instant(0));
    assert_eq!(schedulable(&machines).len(), 1);
}

#[test]
fn snapshot_subtracts_placed_tasks_and_unconfirmed_start_makes_machine_unschedulable() {
    let (mut machines, id) = one_machine_fleet();
    let task = TaskId {
        job: "run-1".into(),
        index: 0,
    };
    machines.get_mut(&id).unwrap().tasks.insert(task);
    let mut job = job(JobKind::Service, 1);
    job.place(0, placement(PlacementStage::Planned));
    let mut jobs = jobs_with(job);
    machines.refresh_snapshots(&jobs, Some(&types()), instant(0));
    assert!(schedulable(&machines).is_empty());
    let job = jobs.get_mut(&"run-1".into()).unwrap();
    let running = PlacementStage::Reported(TaskState::Running);
    job.placements.get_mut(&0).unwrap().stage = running;
    let request = job.spec.request;
    machines.mark_dirty(&id);
    machines.refresh_snapshots(&jobs, Some(&types()), instant(0));
    let snapshot = &schedulable(&machines)[0];
    assert_eq!(snapshot.available, snapshot.capacity - request);
    assert_eq!(snapshot.used_by_services, request);
    assert!(machines.snapshots_agree(&jobs, instant(0)));
}

#[test]
fn update_marks_machine_dirty_only_if_scheduling_is_affected() {
    let (mut machines, id) = one_machine_fleet();
    machines.refresh_snapshots(&Jobs::default(), Some(&types()), instant(0));
    machines.update(&id, |machine| machine.last_heartbeat_at = instant(9));
    assert!(machines.dirty.is_empty());
    machines.update(&id, |machine| machine.draining = true);
    assert!(machines.dirty.contains(&id));
    machines.refresh_snapshots(&Jobs::default(), Some(&types()), instant(9));
    assert!(schedulable(&machines).is_empty());
}

#[test]
fn removing_a_machine_removes_its_snapshot() {
    let (mut machines, id) = one_machine_fleet();
    machines.refresh_snapshots(&Jobs::default(), Some(&types()), instant(0));
    assert!(machines.remove(&id).is_some());
    assert!(machines.is_empty() && schedulable(&machines).is_empty());
    assert!(machines.remove(&id).is_none());
}
