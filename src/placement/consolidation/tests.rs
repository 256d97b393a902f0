use super::*;
use crate::placement::tests::slot;
use crate::wire::user::{Kind, tests::job as wire_job};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

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

/// The choice as it was made before: every slot gone over, and copied, for each candidate.
fn choose_plainly(candidates: &[Drainable<'_>], slots: &[Slot]) -> Option<MachineId> {
    let slot_of = |one: &Drainable<'_>| slots.iter().find(|slot| slot.id == one.machine);
    let find_room = |one: &Drainable<'_>, from: &Slot| {
        let mut others: Vec<Slot> = slots
            .iter()
            .filter(|slot| slot.id != from.id && slot.zone == from.zone)
            .filter(|slot| slot.settled != Resources::default() && share(slot) >= share(from))
            .cloned()
            .collect();
        one.replicas.iter().all(|spec| {
            let place = others.iter_mut().find(|slot| {
                spec.need.fits_in(slot.room)
                    && allowed(spec, &slot.machine_type, &slot.zone, slot.spot)
                    && (spec.image_gb <= 0.0 || slot.images.contains(&spec.image))
            });
            place.map(|slot| slot.take(spec, 1)).is_some()
        })
    };
    let drainable = candidates
        .iter()
        .filter_map(|one| Some((one, slot_of(one)?)));
    drainable
        .filter(|(_, from)| share(from) <= DRAINED_SHARE_MAX)
        .filter(|(one, from)| find_room(one, from))
        .min_by_key(|(one, from)| (share(from), one.machine.clone()))
        .map(|(one, _)| one.machine.clone())
}

/// The choice is the same as the plain one, on random fleets. (At 3,500 machines the plain one took 140
/// million instructions each time.)
#[test]
fn the_choice_is_the_plain_one() {
    let seed = 5;
    let mut random = SmallRng::seed_from_u64(seed);
    let spec = replica();
    let mut chosen = 0;
    for round in 0..500 {
        let machines = random.random_range(2..12);
        let counts: Vec<u32> = (0..machines).map(|_| random.random_range(1..=8)).collect();
        let mut slots: Vec<Slot> = (0..)
            .zip(&counts)
            .map(|(n, count)| holding(&format!("m{n:02}"), ["east", "west"][n % 2], *count))
            .collect();
        for slot in &mut slots {
            if random.random_bool(0.2) {
                slot.images.clear();
            }
        }
        let candidates: Vec<Drainable<'_>> = slots
            .iter()
            .zip(&counts)
            .map(|(slot, count)| Drainable {
                machine: slot.id.clone(),
                replicas: vec![&spec; *count as usize],
            })
            .collect();
        let choice = choose(&candidates, &slots);
        assert_eq!(
            choice,
            choose_plainly(&candidates, &slots),
            "seed {seed}, round {round}"
        );
        chosen += usize::from(choice.is_some());
    }
    assert!((50..450).contains(&chosen), "{chosen} chosen");
}
