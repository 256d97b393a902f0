use super::*;
use crate::placement::tests::slot;
use crate::wire::user::{Kind, tests::job as wire_job};

fn replica() -> Spec {
    Spec::read(&wire_job("run-1", Kind::Service, 4))
}

/// A slot on which `count` replicas stand, with their image.
fn holding(id: &str, zone: &str, count: u32) -> Slot {
    let mut slot = slot(id, zone, 8.0);
    let spec = replica();
    slot.images.push(spec.image.clone());
    slot.take(&spec, count);
    slot
}

fn drained(slots: &[Slot], counts: &[(&str, usize)]) -> Option<MachineId> {
    let spec = replica();
    let candidates: Vec<Drainable<'_>> = counts
        .iter()
        .map(|(id, count)| Drainable {
            machine: (*id).into(),
            replicas: vec![&spec; *count],
        })
        .collect();
    choose(&candidates, slots)
}

/// After the last large jobs, services stood three to a machine of eight until the end of the day.
#[test]
fn the_emptiest_machine_gives_its_replicas_to_a_fuller_one() {
    let slots = [holding("a", "east", 4), holding("b", "east", 3)];
    let both = [("a", 4), ("b", 3)];
    assert_eq!(drained(&slots, &both), Some("b".into()));
    assert_eq!(drained(&slots, &both[..1]), None, "never to an emptier one");
}

/// A replica that had to fetch its image would be down for a minute, one in another zone would
/// change the spread, and one without room would wait for a machine to boot.
#[test]
fn replicas_stay_where_a_move_would_cost_more() {
    let mut no_image = [holding("a", "east", 5), holding("b", "east", 3)];
    no_image[0].images.clear();
    assert_eq!(drained(&no_image, &[("b", 3)]), None);
    let other_zone = [holding("a", "west", 5), holding("b", "east", 3)];
    assert_eq!(drained(&other_zone, &[("b", 3)]), None);
    let no_room = [holding("a", "east", 6), holding("b", "east", 3)];
    assert_eq!(drained(&no_room, &[("b", 3)]), None);
    let mut no_services = [holding("a", "east", 5), holding("b", "east", 3)];
    no_services[0].settled = Resources::default();
    assert_eq!(drained(&no_services, &[("b", 3)]), None);
}
