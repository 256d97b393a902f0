use super::*;
use crate::engine::test_support::context_at;
use crate::wire::cloud;

fn machine_types_reply() -> CloudReply {
    let machine_type = cloud::MachineType {
        name: "g8".into(),
        cpus: 16.0,
        gpus: 4.0,
        memory_gb: 64.0,
        cache_gb: 100.0,
        fetch_gb_per_s: 0.5,
        price: 4.0,
        spot_price: 1.0,
        boot_s: 20.0,
        zones: vec!["east".into()],
    };
    CloudReply::MachineTypes(cloud::MachineTypeList {
        machine_types: vec![machine_type],
    })
}

#[test]
fn follower_reads_the_types_once_and_leader_reads_them_periodically() {
    let mut catalog = MachineTypeCatalog::default();
    let mut context = context_at(0);
    let now = context.now();
    assert!(catalog.begin_read_if_due(now, false));
    assert!(!catalog.begin_read_if_due(now, true), "a read is in flight");
    catalog.on_read(Ok(machine_types_reply()), &mut context);
    assert!(catalog.is_known());
    assert_eq!(
        catalog.get("g8").map(|machine_type| machine_type.price),
        Some(4.0)
    );
    assert!(catalog.get("g9").is_none());
    let later = now + constants::MACHINE_TYPES_INTERVAL;
    assert!(!catalog.begin_read_if_due(later, false));
    assert!(!catalog.begin_read_if_due(now, true));
    assert!(catalog.begin_read_if_due(later, true));
}

#[test]
fn failed_read_leaves_the_types_unknown_and_is_retried_after_a_pause() {
    let mut catalog = MachineTypeCatalog::default();
    let mut context = context_at(0);
    assert!(catalog.begin_read_if_due(context.now(), false));
    catalog.on_read(Err(CloudError::NoCapacity), &mut context);
    assert!(!catalog.is_known());
    assert!(
        !catalog.begin_read_if_due(context.now(), false),
        "no retry during the pause"
    );
    let later = context.now() + constants::RETRY_MAX_PAUSE;
    assert!(catalog.begin_read_if_due(later, false));
}
