use super::*;

#[test]
fn outcome_is_matched_with_its_call_only_once() {
    let mut outbox = Outbox::default();
    let call = StoreCall::KeepAlive { lease: 3 };
    outbox.call_store(PendingCall::ReadTerm, call.clone());
    outbox.call_store(PendingCall::Untracked, call);
    let effects = outbox.take_effects();
    assert_eq!(effects.len(), 2);
    assert!(matches!(
        effects[0],
        Effect::CallStore {
            call_id: 1,
            urgent: true,
            ..
        }
    ));
    assert!(matches!(
        effects[1],
        Effect::CallStore {
            call_id: 2,
            urgent: false,
            ..
        }
    ));
    assert!(matches!(outbox.complete(1), Some(PendingCall::ReadTerm)));
    assert!(outbox.complete(1).is_none());
    assert!(outbox.take_effects().is_empty());
}

#[test]
fn only_leader_calls_are_dropped() {
    let mut outbox = Outbox::default();
    outbox.call_cloud(PendingCall::ListMachines, CloudCall::ListMachineTypes);
    outbox.call_cloud(PendingCall::ListMachineTypes, CloudCall::ListMachineTypes);
    outbox.drop_leader_calls();
    assert!(outbox.complete(1).is_none());
    assert!(outbox.complete(2).is_some());
}
