//! The machines of a leader, each with the cached snapshot that scheduling uses.
//!
//! A round is planned up to ten times a second, and the resources available on a machine are
//! computed from its tasks. A snapshot is therefore rebuilt only for a machine that has changed
//! since the last build. Code that changes a machine or its tasks obtains the machine from
//! [`Machines::get_mut`], which marks it as dirty. Most heartbeats change nothing that scheduling
//! depends on; they are recorded with [`Machines::update`], which marks the machine as dirty only
//! if scheduling is affected.

mod snapshot;

use super::jobs::Jobs;
use crate::model::{Machine, MachineId, MachineTypes, Resources, Timestamp};
use crate::placement::MachineSnapshot;
use snapshot::CachedSnapshot;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Deref;
use std::sync::Arc;

/// The fleet of a leader, with cached snapshots of its machines.
#[derive(Debug, Default)]
pub(super) struct Machines {
    by_id: BTreeMap<MachineId, Machine>,
    /// Machines that have changed since their snapshots were last built.
    dirty: BTreeSet<MachineId>,
    snapshots: BTreeMap<MachineId, CachedSnapshot>,
    /// The machine types that the snapshots were built with.
    machine_types: Option<Arc<MachineTypes>>,
}

/// The properties of a machine that scheduling depends on, apart from its tasks and images.
#[derive(Debug, PartialEq)]
struct Availability {
    machine_type: Arc<str>,
    zone: Arc<str>,
    spot: bool,
    accepts_tasks: bool,
}

impl Availability {
    /// Returns the machine's current properties.
    fn of(machine: &Machine) -> Self {
        Availability {
            machine_type: machine.machine_type.clone(),
            zone: machine.zone.clone(),
            spot: machine.spot,
            accepts_tasks: machine.accepts_tasks(),
        }
    }
}

/// Gives read access to the machines, which marks none as dirty.
impl Deref for Machines {
    type Target = BTreeMap<MachineId, Machine>;

    fn deref(&self) -> &Self::Target {
        &self.by_id
    }
}

impl Machines {
    /// Returns the machine for modification, and marks it as dirty.
    pub(super) fn get_mut(&mut self, id: &MachineId) -> Option<&mut Machine> {
        let machine = self.by_id.get_mut(id)?;
        self.dirty.insert(id.clone());
        Some(machine)
    }

    /// Marks a machine as dirty. Must be called when the stage of a task on the machine changes.
    pub(super) fn mark_dirty(&mut self, id: &MachineId) {
        self.dirty.insert(id.clone());
    }

    /// Applies a change to a machine. `change` must not touch the machine's tasks and images.
    /// Returns the result of `change`, or `None` if the machine is unknown. The machine is marked
    /// as dirty if the change affects scheduling, and also while the machine fetches images,
    /// because less remains to be fetched at each heartbeat.
    pub(super) fn update<R>(
        &mut self,
        id: &MachineId,
        change: impl FnOnce(&mut Machine) -> R,
    ) -> Option<R> {
        let machine = self.by_id.get_mut(id)?;
        let previous = Availability::of(machine);
        let result = change(machine);
        let cached = self.snapshots.get(id);
        let is_fetching = cached.is_some_and(CachedSnapshot::is_fetching);
        if is_fetching || previous != Availability::of(machine) {
            self.dirty.insert(id.clone());
        }
        Some(result)
    }

    /// Adds the machine that `create` returns, unless a machine with this id is present.
    pub(super) fn insert_if_absent(
        &mut self,
        id: &MachineId,
        create: impl FnOnce(MachineId) -> Machine,
    ) {
        if !self.by_id.contains_key(id) {
            self.by_id.insert(id.clone(), create(id.clone()));
            self.dirty.insert(id.clone());
        }
    }

    /// Removes the machine and its snapshot. Returns the machine, or `None` if it is unknown.
    pub(super) fn remove(&mut self, id: &MachineId) -> Option<Machine> {
        self.snapshots.remove(id);
        self.dirty.remove(id);
        self.by_id.remove(id)
    }

    /// Rebuilds the snapshots of dirty machines. If the machine types have changed, all machines
    /// count as dirty.
    pub(super) fn refresh_snapshots(
        &mut self,
        jobs: &Jobs,
        machine_types: Option<&Arc<MachineTypes>>,
        now: Timestamp,
    ) {
        // The machine types are reloaded periodically, and their prices and sizes may change.
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

    /// Builds the snapshot of a machine at the time `at`. Returns `None` if the machine or its type
    /// is unknown.
    fn build_snapshot(&self, id: &MachineId, jobs: &Jobs, at: Timestamp) -> Option<CachedSnapshot> {
        let machine = self.by_id.get(id)?;
        let machine_type = self.machine_types.as_ref()?.get(&machine.machine_type)?;
        Some(CachedSnapshot::build(machine, machine_type, jobs, at))
    }

    /// Returns snapshots of the machines to which starts may be sent and on which at least
    /// `min_available` is available. None of them has an unconfirmed start, so the available
    /// resources are certain.
    pub(super) fn schedulable(&self, min_available: Resources) -> Vec<MachineSnapshot> {
        self.snapshots
            .values()
            .filter(|cached| cached.schedulable)
            .filter(|cached| min_available.fits_in(cached.snapshot.available))
            .map(|cached| cached.snapshot.clone())
            .collect()
    }

    /// Returns snapshots of the machines for which the predicate holds and on which at least
    /// `min_available` is available.
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

    /// Reports whether each machine that is not dirty has the same snapshot that a rebuild at the
    /// snapshot's build time would give.
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
