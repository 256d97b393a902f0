use super::*;

#[test]
fn set_of_a_large_array_is_restored_from_its_encoded_parts() {
    let mut set = TaskSet::default();
    for index in [
        0,
        63,
        64,
        PROGRESS_RECORD_TASKS - 1,
        PROGRESS_RECORD_TASKS,
        99_999,
    ] {
        assert!(set.insert(index));
        assert!(!set.insert(index));
    }
    let mut restored = TaskSet::default();
    for part in 0..=99_999 / PROGRESS_RECORD_TASKS {
        restored
            .insert_encoded_part(
                part * PROGRESS_RECORD_TASKS,
                &set.encode_part(part),
                100_000,
            )
            .unwrap();
    }
    assert_eq!(
        set.iter().collect::<Vec<_>>(),
        restored.iter().collect::<Vec<_>>()
    );
    assert_eq!(restored.len(), 6);
    assert!(restored.remove(64) && !restored.remove(64));
    assert!(restored.insert_encoded_part(0, "zz", 10).is_none());
    assert_eq!(TaskSet::full(100_000).len(), 100_000);
    assert_eq!(TaskSet::full(70).iter().count(), 70);
    assert!(TaskSet::full(4096).encode_part(0).len() <= 1024);
}
