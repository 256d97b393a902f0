use super::*;

#[test]
fn large_arrays_survive_their_chunks() {
    let mut set = TaskSet::default();
    for i in [0, 63, 64, DONE_CHUNK - 1, DONE_CHUNK, 99_999] {
        assert!(set.insert(i));
        assert!(!set.insert(i));
    }
    let mut back = TaskSet::default();
    for chunk in 0..=99_999 / DONE_CHUNK {
        back.add_chunk(chunk, &set.chunk_text(chunk), 100_000)
            .unwrap();
    }
    assert_eq!(
        set.iter().collect::<Vec<_>>(),
        back.iter().collect::<Vec<_>>()
    );
    assert_eq!(back.len(), 6);
    assert!(back.remove(64) && !back.remove(64));
    assert!(back.add_chunk(0, "zz", 10).is_none());
    assert_eq!(TaskSet::full(100_000).len(), 100_000);
    assert_eq!(TaskSet::full(70).iter().count(), 70);
    assert!(TaskSet::full(4096).chunk_text(0).len() <= 2048);
}
