//! The machines of a leader, each with the snapshot of it that scheduling works on.
//!
//! A round is planned ten times a second, and what is available on a machine follows from its
//! tasks; so a snapshot is built again only for machines that have changed since. Whoever changes a
//! machine, or what is on it, gets it from here by [`Machines::get_mut`], which marks it as dirty.
//! Most heartbeats change nothing that scheduling sees; they go through [`Machines::update`], which
//! marks the machine only if they do.

mod snapshot;

use super::jobs::Jobs;
use crate::model::{Machine, MachineId, MachineTypes, Resources, Timestamp};
use crate::placement::MachineSnapshot;
use snapshot::CachedSnapshot;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Deref;
use std::sync::Arc;

/// The fleet of a leader.
#[derive(Debug, Default)]
pub(super) struct Machines {
    by_id: BTreeMap<MachineId, Machine>,
    /// Machines that have changed since their snapshots were built.
    dirty: BTreeSet<MachineId>,
    snapshots: BTreeMap<MachineId, CachedSnapshot>,
    /// The machine types that the snapshots were built with.
    machine_types: Option<Arc<MachineTypes>>,
}

/// What scheduling sees of a machine itself, apart from what is on it.
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

/// For reading, which marks nothing as dirty.
impl Deref for Machines {
    type Target = BTreeMap<MachineId, Machine>;

    fn deref(&self) -> &Self::Target {
        &self.by_id
    }
}

impl Machines {
    /// The machine, to be changed; marks it as dirty.
    pub(super) fn get_mut(&mut self, id: &MachineId) -> Option<&mut Machine> {
        let machine = self.by_id.get_mut(id)?;
        self.dirty.insert(id.clone());
        Some(machine)
    }

    /// Marks a machine as dirty: the stage of a task on it has changed.
    pub(super) fn mark_dirty(&mut self, id: &MachineId) {
        self.dirty.insert(id.clone());
    }

    /// Changes anything of a machine but its tasks and images. It is marked as dirty if scheduling
    /// sees the difference, or while it fetches images, of which less is left with each heartbeat.
    pub(super) fn update<R>(
        &mut self,
        id: &MachineId,
        change: impl FnOnce(&mut Machine) -> R,
    ) -> Option<R> {
        let machine = self.by_id.get_mut(id)?;
        let before = Availability::of(machine);
        let result = change(machine);
        let cached = self.snapshots.get(id);
        let fetches = cached.is_some_and(CachedSnapshot::is_fetching);
        if fetches || before != Availability::of(machine) {
            self.dirty.insert(id.clone());
        }
        Some(result)
    }

    /// Adds the machine if it is not known yet.
    pub(super) fn insert_if_absent(
        &mut self,
        id: &MachineId,
        new: impl FnOnce(MachineId) -> Machine,
    ) {
        if !self.by_id.contains_key(id) {
            self.by_id.insert(id.clone(), new(id.clone()));
            self.dirty.insert(id.clone());
        }
    }

    /// Removes the machine.
    pub(super) fn remove(&mut self, id: &MachineId) -> Option<Machine> {
        self.snapshots.remove(id);
        self.dirty.remove(id);
        self.by_id.remove(id)
    }

    /// Builds the snapshots of dirty machines again.
    pub(super) fn refresh_snapshots(
        &mut self,
        jobs: &Jobs,
        machine_types: Option<&Arc<MachineTypes>>,
        now: Timestamp,
    ) {
        // Prices and sizes are read again from time to time.
        if self.machine_types.as_ref() != machine_types {
            self.dirty.extend(self.by_id.keys().cloned());
            self.machine_types = machine_types.cloned();
        }
        for id in std::mem::take(&mut self.dirty) {
            match self.build_snapshot(&id, jobs, now) {
                Some(snapshot) => self.snapshots.insert(id, snapshot),
                None => self.snapshots.remove(&id),
            };
        }
    }

    /// The snapshot of a machine at that time; `None` while its type is not known.
    fn build_snapshot(&self, id: &MachineId, jobs: &Jobs, at: Timestamp) -> Option<CachedSnapshot> {
        let machine = self.by_id.get(id)?;
        let machine_type = self.machine_types.as_ref()?.get(&machine.machine_type)?;
        Some(CachedSnapshot::build(machine, machine_type, jobs, at))
    }

    /// Machines that starts may be sent to, with what is surely available: at least so much.
    pub(super) fn schedulable(&self, min_available: Resources) -> Vec<MachineSnapshot> {
        self.snapshots
            .values()
            .filter(|cached| cached.schedulable)
            .filter(|cached| min_available.fits_in(cached.snapshot.available))
            .map(|cached| cached.snapshot.clone())
            .collect()
    }

    /// Machines for which the predicate holds and on which at least so much is available.
    pub(super) fn with_available(
        &self,
        min_available: Resources,
        predicate: impl Fn(&Machine) -> bool,
    ) -> Vec<MachineSnapshot> {
        self.snapshots
            .values()
            .map(|cached| &cached.snapshot)
            .filter(|snapshot| min_available.fits_in(snapshot.available))
            .filter(|snapshot| self.by_id.get(&snapshot.id).is_some_and(&predicate))
            .cloned()
            .collect()
    }

    /// Whether each snapshot that is not dirty is what would be built at its time.
    #[cfg(test)]
    pub(super) fn snapshots_agree(&self, jobs: &Jobs, now: Timestamp) -> bool {
        let is_clean = |id: &&MachineId| !self.dirty.contains(id);
        let mut clean = self.by_id.keys().filter(is_clean);
        clean.all(|id| match self.snapshots.get(id) {
            Some(cached) => self.build_snapshot(id, jobs, cached.built_at).as_ref() == Some(cached),
            None => self.build_snapshot(id, jobs, now).is_none(),
        })
    }
}

#[cfg(test)]
mod tests;
