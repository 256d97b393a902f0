//! The machines of a leader, with what placing sees of each.
//!
//! A round is planned ten times a second, and a machine's room follows from its tasks; so the
//! room is worked out again only for machines that were dirty since. Whoever changes a machine,
//! or what is on it, gets it from here by [`Machines::get_mut`], which marks it. (Worked out for
//! every machine at each pass, it took most of a leader's processor at 1,300 machines.) Most reports
//! change nothing that placing sees; they go through [`Machines::update`], which marks the machine
//! only if they do.

use super::Engine;
use crate::constants;
use crate::model::{Machine, MachineId, MachineTypes, Ms, PlacementStage, Resources, TaskId};
use crate::placement::{MachineSnapshot, PendingFetch};
use crate::wire::user::JobKind;
use crate::wire::worker::TaskState;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Deref;
use std::sync::Arc;

#[derive(Debug, Default)]
pub(super) struct Machines {
    all: BTreeMap<MachineId, Machine>,
    /// Changed since their slots were made.
    dirty: BTreeSet<MachineId>,
    snapshots: BTreeMap<MachineId, CachedSnapshot>,
    /// The machine types that the slots were made with.
    machine_types: Option<Arc<MachineTypes>>,
}

/// A machine as placing sees it.
#[derive(Debug, PartialEq)]
struct CachedSnapshot {
    at: Ms,
    snapshot: MachineSnapshot,
    /// Takes tasks, and no start on it is unreported: such a machine is locked by its round.
    ready: bool,
}

/// What placing sees of a machine itself, apart from what is on it.
#[derive(Debug, PartialEq)]
struct Availability {
    machine_type: Arc<str>,
    zone: Arc<str>,
    spot: bool,
    accepts_tasks: bool,
}

impl Availability {
    fn of(machine: &Machine) -> Self {
        Availability {
            machine_type: machine.machine_type.clone(),
            zone: machine.zone.clone(),
            spot: machine.spot,
            accepts_tasks: machine.accepts_tasks(),
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
        self.dirty.insert(id.clone());
        Some(machine)
    }

    /// Marks the machine: the stage of a task on it has changed.
    pub fn mark_dirty(&mut self, id: &MachineId) {
        self.dirty.insert(id.clone());
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
        let snapshot = self.snapshots.get(id).map(|cached| &cached.snapshot);
        let fetches = snapshot.is_some_and(|snapshot| !snapshot.fetching.is_empty());
        if fetches || before != Availability::of(machine) {
            self.dirty.insert(id.clone());
        }
        Some(result)
    }

    /// Adds the machine if it is not known yet.
    pub fn insert_if_absent(&mut self, id: &MachineId, new: impl FnOnce(MachineId) -> Machine) {
        if !self.all.contains_key(id) {
            self.all.insert(id.clone(), new(id.clone()));
            self.dirty.insert(id.clone());
        }
    }

    pub fn remove(&mut self, id: &MachineId) -> Option<Machine> {
        self.snapshots.remove(id);
        self.dirty.remove(id);
        self.all.remove(id)
    }

    /// Machines that starts may be sent to, with the room that is surely free: at least so much.
    pub fn ready(&self, least: Resources) -> Vec<MachineSnapshot> {
        let ready = self.snapshots.values().filter(|cached| cached.ready);
        let roomy = ready.filter(|cached| least.fits_in(cached.snapshot.available));
        roomy.map(|cached| cached.snapshot.clone()).collect()
    }

    /// Machines of which `which` holds and in which `least` has room.
    pub fn with_room(
        &self,
        least: Resources,
        which: impl Fn(&Machine) -> bool,
    ) -> Vec<MachineSnapshot> {
        self.snapshots
            .values()
            .map(|cached| &cached.snapshot)
            .filter(|snapshot| least.fits_in(snapshot.available))
            .filter(|snapshot| self.all.get(&snapshot.id).is_some_and(&which))
            .cloned()
            .collect()
    }
}

impl Engine {
    /// Makes the slots of dirty machines anew.
    pub(super) fn refresh_snapshots(&mut self) {
        let types = self.machine_types.clone();
        let Some(machines) = self.leader_mut().map(|l| &mut l.machines) else {
            return;
        };
        // Sizes are read again from time to time.
        if machines.machine_types != types {
            machines.dirty.extend(machines.all.keys().cloned());
            machines.machine_types = types;
        }
        let dirty = std::mem::take(&mut machines.dirty);
        let cached: Vec<(MachineId, Option<CachedSnapshot>)> = dirty
            .into_iter()
            .map(|id| {
                let cached = self.build_snapshot(&id, self.now);
                (id, cached)
            })
            .collect();
        let Some(machines) = self.leader_mut().map(|l| &mut l.machines) else {
            return;
        };
        for (id, cached) in cached {
            match cached {
                Some(cached) => machines.snapshots.insert(id, cached),
                None => machines.snapshots.remove(&id),
            };
        }
    }

    /// The machine as placing sees it at that time; `None` while its type is not known.
    fn build_snapshot(&self, id: &MachineId, at: Ms) -> Option<CachedSnapshot> {
        let machine = self.leader()?.machines.get(id)?;
        let kind = self.machine_type(&machine.machine_type)?;
        let load = self.load_of(machine, at);
        let images = machine.images.iter();
        Some(CachedSnapshot {
            at,
            ready: machine.accepts_tasks() && !load.locked,
            snapshot: MachineSnapshot {
                id: machine.id.clone(),
                machine_type: machine.machine_type.clone(),
                zone: machine.zone.clone(),
                spot: machine.spot,
                capacity: kind.capacity,
                available: kind.capacity - load.used,
                free_task_slots: constants::MAX_TASKS_PER_MACHINE
                    .saturating_sub(machine.tasks.len() as u32),
                long_running: load.long_running,
                images: images.map(|(name, _)| name.clone()).collect(),
                fetching: left_to_fetch(load.fetches, kind.fetch_gb_per_s, at),
                boot_gb: kind.boot_gb(),
            },
        })
    }

    /// What the tasks on a machine come to.
    fn load_of(&self, machine: &Machine, at: Ms) -> MachineLoad {
        let mut load = MachineLoad::default();
        for TaskId { job, index } in &machine.tasks {
            let Some(job) = self.jobs.get(job) else {
                continue;
            };
            load.used += job.spec.request;
            if job.spec.kind == JobKind::Service {
                load.long_running += job.spec.request;
            }
            let placement = job.placements.get(index);
            let stage = placement.map(|p| p.stage);
            load.locked |= stage.is_some_and(|stage| !matches!(stage, PlacementStage::Reported(_)));
            let image = &job.spec.image;
            let ready = machine.has_image(image)
                || matches!(stage, Some(PlacementStage::Reported(s)) if s != TaskState::Fetching);
            if ready {
                continue;
            }
            let begun = placement
                .filter(|p| matches!(p.stage, PlacementStage::Reported(_)))
                .map_or(at, |p| p.stage_since);
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
    pub fn snapshots_agree(&self) -> bool {
        self.leader().is_none_or(|leader| {
            let untouched = |id: &&MachineId| !leader.machines.dirty.contains(id);
            let mut ids = leader.machines.all.keys().filter(untouched);
            ids.all(|id| match leader.machines.snapshots.get(id) {
                Some(cached) => self.build_snapshot(id, cached.at).as_ref() == Some(cached),
                None => self.build_snapshot(id, self.now).is_none(),
            })
        })
    }
}

/// What the tasks on a machine take of it.
#[derive(Debug, Default)]
struct MachineLoad {
    used: Resources,
    /// What services take, which don't end by themselves.
    long_running: Resources,
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
fn left_to_fetch(fetches: Vec<Fetch>, gb_per_s: f64, at: Ms) -> Vec<PendingFetch> {
    let share = gb_per_s / fetches.len().max(1) as f64;
    let left = |fetch: Fetch| {
        let done = at.saturating_sub(fetch.begun) as f64 / 1000.0 * share;
        PendingFetch {
            image: fetch.image,
            remaining_gb: (fetch.gb - done).max(0.0),
        }
    };
    fetches.into_iter().map(left).collect()
}
