use super::*;

#[test]
fn large_arrays_survive_their_chunks() {
    let mut set = TaskSet::default();
    for i in [
        0,
        63,
        64,
        PROGRESS_RECORD_TASKS - 1,
        PROGRESS_RECORD_TASKS,
        99_999,
    ] {
        assert!(set.insert(i));
        assert!(!set.insert(i));
    }
    let mut back = TaskSet::default();
    for part in 0..=99_999 / PROGRESS_RECORD_TASKS {
        back.insert_encoded_part(
            part * PROGRESS_RECORD_TASKS,
            &set.encode_part(part),
            100_000,
        )
        .unwrap();
    }
    assert_eq!(
        set.iter().collect::<Vec<_>>(),
        back.iter().collect::<Vec<_>>()
    );
    assert_eq!(back.len(), 6);
    assert!(back.remove(64) && !back.remove(64));
    assert!(back.insert_encoded_part(0, "zz", 10).is_none());
    assert_eq!(TaskSet::full(100_000).len(), 100_000);
    assert_eq!(TaskSet::full(70).iter().count(), 70);
    assert!(TaskSet::full(4096).encode_part(0).len() <= 1024);
}
