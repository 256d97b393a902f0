//! Autoscaling: decides which machines the cluster rents and which it returns.
//!
//! Only the leader scales. Each rental pass compares the demand of waiting tasks with the resources
//! that the fleet has available now or soon. [`scale_out`] rents machines, [`refusals`] tracks the
//! offers that the cloud had no capacity for, [`preemption`] stops tasks when the cloud has refused
//! the machines that waiting jobs need, [`consolidation`] empties half-empty machines by moving
//! replicas of services, [`machine_list`] reads the cloud's list of machines, [`housekeeping`]
//! inspects the fleet, [`return_reason`] decides which machines to return, and [`scale_in`] returns
//! them.

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
use preemption::PreemptedMachines;
use refusals::RefusedOffers;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// The autoscaling state of a leader.
#[derive(Debug)]
pub(super) struct Autoscaling {
    /// Tasks that the last scheduling pass left unplaced, by job in the order of service.
    demand: Vec<UnplacedTasks>,
    refusals: RefusedOffers,
    /// Number of rental requests made in this term. The term and this number together identify a
    /// request.
    rental_requests: u64,
    /// Number of rental requests whose outcome is not known yet.
    rentals_in_flight: usize,
    next_rental_pass_at: Timestamp,
    /// Time until which `awaits_first_heartbeats` returns true without checking the machines again.
    first_heartbeats_awaited_until: Timestamp,
    listing: MachineListing,
    /// Retry state of the return calls.
    returns: Retry,
    next_housekeeping_at: Timestamp,
    next_consolidation_at: Timestamp,
    /// Jobs for which tasks were preempted recently or no victims were found, each with the time
    /// until which no victims are searched for.
    preemption_pauses: BTreeMap<JobId, Timestamp>,
    /// Machines on which tasks were stopped for a gang, by the gang's job.
    preempted_machines: BTreeMap<JobId, PreemptedMachines>,
    /// Machines that are not returned when idle, because waiting or expected jobs are planned on
    /// them.
    reserved: BTreeSet<MachineId>,
    /// Time at which each zone was last found to be cut off from this node.
    cut_off_zones: BTreeMap<Arc<str>, Timestamp>,
}

impl Autoscaling {
    /// Creates the state of a leader whose term begins now.
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
            preempted_machines: BTreeMap::new(),
            reserved: BTreeSet::new(),
            cut_off_zones: BTreeMap::new(),
        }
    }

    /// Reports whether the last scheduling pass left tasks unplaced.
    pub(super) fn has_demand(&self) -> bool {
        !self.demand.is_empty()
    }

    /// Returns the candidates with unplaced tasks, in the order of service, each with these tasks
    /// in the form that rental planning takes.
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

    /// Sets the demand to the tasks that a scheduling pass has left unplaced.
    fn set_demand(&mut self, unplaced: Vec<UnplacedTasks>, now: Timestamp) {
        // When demand first appears, a rental pass is due immediately instead of at the next
        // regular time.
        if self.demand.is_empty() && !unplaced.is_empty() {
            self.next_rental_pass_at = now;
        }
        self.demand = unplaced;
    }
}

impl Engine {
    /// Sets the demand to the tasks that a scheduling pass has left unplaced. Does nothing on a
    /// follower.
    pub(super) fn set_demand(&mut self, unplaced: Vec<UnplacedTasks>) {
        let now = self.context.now();
        if let Some(leader) = self.leadership.leader_mut() {
            leader.autoscaling.set_demand(unplaced, now);
        }
    }

    /// Requests the next page of the cloud's machine list and runs a rental pass, each if it is
    /// due. Does nothing without a valid lease.
    pub(super) fn autoscale_when_due(&mut self) {
        if !self.holds_valid_lease() {
            return;
        }
        self.list_machines_when_due();
        if self.is_rental_pass_due() {
            self.run_rental_pass();
        }
    }

    /// Reports whether a rental pass is due and the state of the fleet is known well enough for it.
    fn is_rental_pass_due(&mut self) -> bool {
        let now = self.context.now();
        let Some(leader) = self.leadership.leader() else {
            return false;
        };
        let autoscaling = &leader.autoscaling;
        // Until the cloud's list has been read once, it is unknown which machines are rented
        // already, and renting for the demand could rent them a second time. This check runs at
        // every step; the condition that iterates over all machines is evaluated last.
        autoscaling.rentals_in_flight == 0
            && autoscaling.listing.is_complete()
            && now >= autoscaling.next_rental_pass_at
            && !self.awaits_first_heartbeats()
    }

    /// Compares the demand with the fleet: preempts tasks for at most one job that cannot get
    /// rented machines, and rents machines for waiting and expected jobs, except from offers that
    /// the cloud has recently refused.
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

    /// Reports whether a machine that the cloud has confirmed is expected to finish booting soon. A
    /// machine that was rented more than twice its type's boot time ago is overdue and does not
    /// count.
    fn is_booting_on_time(&self, machine: &Machine) -> bool {
        let machine_type = self.machine_types.get(&machine.machine_type);
        let boot_time = machine_type.map_or(Duration::ZERO, |machine_type| machine_type.boot_time);
        let rented_for = self.context.now().saturating_since(machine.rented_at);
        let overdue = rented_for > 2 * boot_time;
        machine.phase == MachinePhase::Booting && machine.confirmed_by_cloud && !overdue
    }

    /// Reports whether a machine accepts tasks now or is expected to soon.
    fn accepts_tasks_now_or_soon(&self, machine: &Machine) -> bool {
        machine.accepts_tasks() || self.is_booting_on_time(machine)
    }
}
