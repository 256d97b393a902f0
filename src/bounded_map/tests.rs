use super::*;

#[test]
fn the_oldest_is_dropped() {
    let mut recent = BoundedMap::new(2);
    for id in ["a", "b", "b", "c"] {
        recent.insert(id, 1);
    }
    assert_eq!(recent.get("a"), None);
    assert_eq!(recent.get("b"), Some(&1));
    assert_eq!(recent.values.len(), 2);
}
