//! The machines of a leader, with what placing sees of each.
//!
//! A round is planned ten times a second, and a machine's room follows from its tasks; so the
//! room is worked out again only for machines that were touched since. Whoever changes a machine,
//! or what is on it, gets it from here by [`Machines::get_mut`], which marks it. (Worked out for
//! every machine at each pass, it took most of a leader's processor at 1,300 machines.) Most reports
//! change nothing that placing sees; they go through [`Machines::update`], which marks the machine
//! only if they do.

use super::Engine;
use crate::constants as k;
use crate::model::{Machine, MachineId, Ms, Resources, Stage, TaskId, Types};
use crate::placement::Slot;
use crate::wire::user::Kind;
use crate::wire::worker::TaskState;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Deref;
use std::sync::Arc;

#[derive(Debug, Default)]
pub(super) struct Machines {
    all: BTreeMap<MachineId, Machine>,
    /// Changed since their slots were made.
    touched: BTreeSet<MachineId>,
    slots: BTreeMap<MachineId, Seen>,
    /// The machine types that the slots were made with.
    types: Option<Arc<Types>>,
}

/// A machine as placing sees it.
#[derive(Debug, PartialEq)]
struct Seen {
    at: Ms,
    slot: Slot,
    /// Takes tasks, and no start on it is unreported: such a machine is locked by its round.
    ready: bool,
}

/// What placing sees of a machine itself, apart from what is on it.
#[derive(Debug, PartialEq)]
struct Availability {
    machine_type: Arc<str>,
    zone: Arc<str>,
    spot: bool,
    takes_tasks: bool,
}

impl Availability {
    fn of(machine: &Machine) -> Self {
        Availability {
            machine_type: machine.machine_type.clone(),
            zone: machine.zone.clone(),
            spot: machine.spot,
            takes_tasks: machine.takes_tasks(),
        }
    }
}

/// Reading changes nothing.
impl Deref for Machines {
    type Target = BTreeMap<MachineId, Machine>;

    fn deref(&self) -> &Self::Target {
        &self.all
    }
}

impl Machines {
    pub fn get_mut(&mut self, id: &MachineId) -> Option<&mut Machine> {
        let machine = self.all.get_mut(id)?;
        self.touched.insert(id.clone());
        Some(machine)
    }

    /// Marks the machine: the stage of a task on it has changed.
    pub fn touch(&mut self, id: &MachineId) {
        self.touched.insert(id.clone());
    }

    /// Changes anything of a machine but its tasks and images. It is marked if placing sees the
    /// difference, or while it fetches images, of which less is left with each report.
    pub fn update<R>(
        &mut self,
        id: &MachineId,
        change: impl FnOnce(&mut Machine) -> R,
    ) -> Option<R> {
        let machine = self.all.get_mut(id)?;
        let before = Availability::of(machine);
        let result = change(machine);
        let slot = self.slots.get(id).map(|seen| &seen.slot);
        let fetches = slot.is_some_and(|slot| !slot.fetching.is_empty());
        if fetches || before != Availability::of(machine) {
            self.touched.insert(id.clone());
        }
        Some(result)
    }

    /// Adds the machine if it is not known yet.
    pub fn insert_if_absent(&mut self, id: &MachineId, new: impl FnOnce(MachineId) -> Machine) {
        if !self.all.contains_key(id) {
            self.all.insert(id.clone(), new(id.clone()));
            self.touched.insert(id.clone());
        }
    }

    pub fn remove(&mut self, id: &MachineId) -> Option<Machine> {
        self.slots.remove(id);
        self.touched.remove(id);
        self.all.remove(id)
    }

    /// Machines that starts may be sent to, with the room that is surely free: at least so much.
    pub fn ready(&self, least: Resources) -> Vec<Slot> {
        let ready = self.slots.values().filter(|seen| seen.ready);
        let roomy = ready.filter(|seen| least.fits_in(seen.slot.room));
        roomy.map(|seen| seen.slot.clone()).collect()
    }

    /// Machines of which `which` holds and in which `least` has room.
    pub fn with_room(&self, least: Resources, which: impl Fn(&Machine) -> bool) -> Vec<Slot> {
        self.slots
            .values()
            .map(|seen| &seen.slot)
            .filter(|slot| least.fits_in(slot.room))
            .filter(|slot| self.all.get(&slot.id).is_some_and(&which))
            .cloned()
            .collect()
    }
}

impl Engine {
    /// Makes the slots of touched machines anew.
    pub(super) fn refresh_slots(&mut self) {
        let types = self.types.clone();
        let Some(machines) = self.leader_mut().map(|l| &mut l.machines) else {
            return;
        };
        // Sizes are read again from time to time.
        if machines.types != types {
            machines.touched.extend(machines.all.keys().cloned());
            machines.types = types;
        }
        let touched = std::mem::take(&mut machines.touched);
        let seen: Vec<(MachineId, Option<Seen>)> = touched
            .into_iter()
            .map(|id| {
                let seen = self.see(&id, self.now);
                (id, seen)
            })
            .collect();
        let Some(machines) = self.leader_mut().map(|l| &mut l.machines) else {
            return;
        };
        for (id, seen) in seen {
            match seen {
                Some(seen) => machines.slots.insert(id, seen),
                None => machines.slots.remove(&id),
            };
        }
    }

    /// The machine as placing sees it at that time; `None` while its type is not known.
    fn see(&self, id: &MachineId, at: Ms) -> Option<Seen> {
        let machine = self.leader()?.machines.get(id)?;
        let kind = self.machine_type(&machine.machine_type)?;
        let load = self.load_of(machine, at);
        let images = machine.images.iter();
        Some(Seen {
            at,
            ready: machine.takes_tasks() && !load.locked,
            slot: Slot {
                id: machine.id.clone(),
                machine_type: machine.machine_type.clone(),
                zone: machine.zone.clone(),
                spot: machine.spot,
                size: kind.size,
                room: kind.size - load.used,
                free_tasks: k::MACHINE_TASKS.saturating_sub(machine.tasks.len() as u32),
                settled: load.settled,
                images: images.map(|(name, _)| name.clone()).collect(),
                fetching: left_to_fetch(load.fetches, kind.fetch_gb_per_s, at),
                boot_gb: kind.boot_gb(),
            },
        })
    }

    /// What the tasks on a machine come to.
    fn load_of(&self, machine: &Machine, at: Ms) -> Load {
        let mut load = Load::default();
        for TaskId { job, index } in &machine.tasks {
            let Some(job) = self.jobs.get(job) else {
                continue;
            };
            load.used += job.spec.need;
            if job.spec.kind == Kind::Service {
                load.settled += job.spec.need;
            }
            let placement = job.live.get(index);
            let stage = placement.map(|p| p.stage);
            load.locked |= stage.is_some_and(|stage| !matches!(stage, Stage::Up(_)));
            let image = &job.spec.image;
            let ready = machine.has_image(image)
                || matches!(stage, Some(Stage::Up(s)) if s != TaskState::Fetching);
            if ready {
                continue;
            }
            let begun = placement
                .filter(|p| matches!(p.stage, Stage::Up(_)))
                .map_or(at, |p| p.since);
            match load.fetches.iter_mut().find(|fetch| fetch.image == *image) {
                Some(fetch) => fetch.begun = begun.min(fetch.begun),
                None => load.fetches.push(Fetch {
                    image: image.clone(),
                    gb: job.spec.image_gb,
                    begun,
                }),
            }
        }
        load
    }

    /// Whether what is kept is what would be worked out now.
    #[cfg(test)]
    pub fn slots_agree(&self) -> bool {
        self.leader().is_none_or(|leader| {
            let untouched = |id: &&MachineId| !leader.machines.touched.contains(id);
            let mut ids = leader.machines.all.keys().filter(untouched);
            ids.all(|id| match leader.machines.slots.get(id) {
                Some(seen) => self.see(id, seen.at).as_ref() == Some(seen),
                None => self.see(id, self.now).is_none(),
            })
        })
    }
}

/// What the tasks on a machine take of it.
#[derive(Debug, Default)]
struct Load {
    used: Resources,
    /// What services take, which don't end by themselves.
    settled: Resources,
    /// A start is unreported.
    locked: bool,
    fetches: Vec<Fetch>,
}

/// An image that tasks wait for.
#[derive(Debug)]
struct Fetch {
    image: Arc<str>,
    gb: f64,
    /// When the first of the tasks came up, ms.
    begun: Ms,
}

/// GB of each image that are left to fetch, if all share the machine's rate.
fn left_to_fetch(fetches: Vec<Fetch>, gb_per_s: f64, at: Ms) -> Vec<(Arc<str>, f64)> {
    let share = gb_per_s / fetches.len().max(1) as f64;
    let left = |fetch: Fetch| {
        let done = at.saturating_sub(fetch.begun) as f64 / 1000.0 * share;
        (fetch.image, (fetch.gb - done).max(0.0))
    };
    fetches.into_iter().map(left).collect()
}
