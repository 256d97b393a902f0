//! Autoscaling: which machines the cluster rents and which it gives back.
//!
//! Only the leader scales. Each pass compares the demand of waiting tasks with what the fleet has or
//! will soon have available. The submodules have one job each: [`scale_out`] rents machines,
//! [`refusals`] remembers what the cloud had no capacity for, [`preemption`] stops tasks where it has
//! refused machines, [`consolidation`] joins services that half-empty machines hold,
//! [`machine_list`] follows the cloud's list, [`housekeeping`] inspects the fleet, and [`scale_in`]
//! gives machines back.

mod consolidation;
mod housekeeping;
mod machine_list;
mod preemption;
mod refusals;
mod return_reason;
mod scale_in;
mod scale_out;

pub(super) use crate::autoscaler::MachineOffer;

use super::Engine;
use super::retry::Retry;
use crate::autoscaler::WaitingJob;
use crate::constants;
use crate::model::{JobId, Machine, MachineId, MachinePhase, Timestamp};
use crate::placement::{Candidate, UnplacedTasks};
use machine_list::MachineListing;
use refusals::RefusedOffers;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// The autoscaling state of a leader.
#[derive(Debug)]
pub(super) struct Autoscaling {
    /// Tasks for which the last scheduling pass found no resources, by job in the order of service.
    demand: Vec<UnplacedTasks>,
    refusals: RefusedOffers,
    /// Rental requests made in this term. Term and count together name a request.
    rental_requests: u64,
    /// Rental requests whose outcome is not known yet.
    rentals_in_flight: usize,
    next_rental_pass_at: Timestamp,
    /// Until then machines' first heartbeats are surely awaited.
    first_heartbeats_awaited_until: Timestamp,
    listing: MachineListing,
    /// Schedule of the return calls.
    returns: Retry,
    next_housekeeping_at: Timestamp,
    next_consolidation_at: Timestamp,
    /// Jobs for which tasks were preempted lately, or no victims were found, and the time until
    /// which no more victims are searched for.
    preemption_pauses: BTreeMap<JobId, Timestamp>,
    /// Idle machines that are kept because expected jobs would use them.
    reserved: BTreeSet<MachineId>,
    /// Time at which each zone was last found to be cut off.
    cut_off_zones: BTreeMap<Arc<str>, Timestamp>,
}

impl Autoscaling {
    /// State of a leader whose term begins now.
    pub(super) fn new(now: Timestamp) -> Self {
        Autoscaling {
            demand: Vec::new(),
            refusals: RefusedOffers::default(),
            rental_requests: 0,
            rentals_in_flight: 0,
            next_rental_pass_at: now,
            first_heartbeats_awaited_until: now,
            listing: MachineListing::default(),
            returns: Retry::default(),
            next_housekeeping_at: now,
            next_consolidation_at: now,
            preemption_pauses: BTreeMap::new(),
            reserved: BTreeSet::new(),
            cut_off_zones: BTreeMap::new(),
        }
    }

    /// Whether the last scheduling pass left tasks unplaced.
    pub(super) fn has_demand(&self) -> bool {
        !self.demand.is_empty()
    }

    /// The candidates with unplaced tasks, in the order of service, with these tasks as the planning
    /// of rentals takes them.
    fn unplaced_jobs<'a>(
        &'a self,
        candidates: &'a [Candidate<'a>],
    ) -> impl Iterator<Item = (&'a Candidate<'a>, WaitingJob<'a>)> {
        self.demand.iter().filter_map(|unplaced| {
            let mut candidates = candidates.iter();
            let candidate = candidates.find(|candidate| *candidate.id == unplaced.job)?;
            let waiting = WaitingJob {
                job: candidate.job,
                tasks: unplaced.tasks,
                placed_by_zone: candidate.placed_by_zone.clone(),
            };
            Some((candidate, waiting))
        })
    }

    /// Sets the tasks that a scheduling pass has left unplaced.
    fn set_demand(&mut self, unplaced: Vec<UnplacedTasks>, now: Timestamp) {
        // The first tasks that wait don't wait for the next pass as well.
        if self.demand.is_empty() && !unplaced.is_empty() {
            self.next_rental_pass_at = now;
        }
        self.demand = unplaced;
    }
}

impl Engine {
    /// Takes the unplaced tasks of a scheduling pass as the demand.
    pub(super) fn set_demand(&mut self, unplaced: Vec<UnplacedTasks>) {
        let now = self.context.now();
        if let Some(leader) = self.leadership.leader_mut() {
            leader.autoscaling.set_demand(unplaced, now);
        }
    }

    /// Lists the cloud's machines and runs a rental pass, each if it is due.
    pub(super) fn autoscale_when_due(&mut self) {
        if !self.holds_valid_lease() {
            return;
        }
        self.list_machines_when_due();
        if self.is_rental_pass_due() {
            self.run_rental_pass();
        }
    }

    fn is_rental_pass_due(&mut self) -> bool {
        let now = self.context.now();
        let Some(leader) = self.leadership.leader() else {
            return false;
        };
        let autoscaling = &leader.autoscaling;
        // Until the first list nobody knows what is rented already; demand must not double it.
        // What goes over all machines comes last: this is asked at every step.
        autoscaling.rentals_in_flight == 0
            && autoscaling.listing.is_complete()
            && now >= autoscaling.next_rental_pass_at
            && !self.awaits_first_heartbeats()
    }

    /// Compares the demand with the fleet: preempts tasks for jobs that renting can't help, and
    /// rents for the others.
    fn run_rental_pass(&mut self) {
        let now = self.context.now();
        if let Some(leader) = self.leadership.leader_mut() {
            leader.autoscaling.next_rental_pass_at = now + constants::HOUSEKEEPING_INTERVAL;
        }
        self.refresh_snapshots();
        let candidates = self.candidates();
        let preemption = self.plan_preemption(&candidates);
        let scaling = self.scaling_plan(&candidates);
        if let Some(leader) = self.leadership.leader_mut() {
            leader.autoscaling.reserved = scaling.machines_to_keep;
        }
        self.pause_preemption(preemption.without_victims);
        if let Some(preemption) = preemption.preemption {
            self.preempt(preemption);
        }
        self.scale_out(scaling.rentals);
    }

    /// Whether a machine is about to come up. One that is overdue is not counted on.
    fn is_booting(&self, machine: &Machine) -> bool {
        let machine_type = self.machine_types.get(&machine.machine_type);
        let boot_time = machine_type.map_or(Duration::ZERO, |machine_type| machine_type.boot_time);
        let held = self.context.now().saturating_since(machine.rented_at);
        let overdue = held > 2 * boot_time;
        machine.phase == MachinePhase::Booting && machine.confirmed_by_cloud && !overdue
    }

    /// Whether a machine accepts tasks now or is about to.
    fn is_expected(&self, machine: &Machine) -> bool {
        machine.accepts_tasks() || self.is_booting(machine)
    }
}
