use super::*;

#[test]
fn inserting_into_a_full_map_evicts_the_oldest_entry() {
    let mut map = BoundedMap::new(2);
    for id in ["a", "b", "b", "c"] {
        map.insert(id, 1);
    }
    assert_eq!(map.get("a"), None);
    assert_eq!(map.get("b"), Some(&1));
    assert_eq!(map.values.len(), 2);
}
