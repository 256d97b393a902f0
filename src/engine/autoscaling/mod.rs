//! Provisioning: which machines the cluster rents and which it gives back.
//!
//! Only the leader provisions. Each pass compares the demand of waiting tasks with the room that
//! the fleet has or will soon have. The submodules have one job each: [`renting`] requests
//! machines, [`preemption`] stops tasks where the cloud has refused machines, [`consolidation`]
//! joins services that half-empty machines hold, [`machine_list`]
//! follows the cloud's list, [`housekeeping`] inspects the autoscaler, and [`returning`] gives machines
//! back.

mod consolidation;
mod housekeeping;
mod machine_list;
mod preemption;
mod renting;
mod returning;

use super::{Engine, Retry};
use crate::autoscaler::WaitingJob;
use crate::constants;
use crate::model::{JobId, Machine, MachineId, MachinePhase, Ms};
use crate::placement::{Candidate, Unplaced};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

pub(super) use crate::autoscaler::MachineOffer;

/// The leader's provisioning state.
#[derive(Debug)]
pub(super) struct Autoscaling {
    /// Tasks for which the last placing pass found no room, by job in the order of service.
    pub demand: Vec<Unplaced>,
    /// Offers for which the cloud had no capacity.
    refusals: BTreeMap<MachineOffer, Refusal>,
    /// Rental requests made in this term. Term and count together name a request.
    request_count: u64,
    /// Rental requests whose outcome is not known yet.
    rentals_in_flight: usize,
    /// Time of the next rental pass, ms.
    next_rental_at: Ms,
    /// Until then machines' first reports are surely awaited, ms.
    first_heartbeats_awaited_until: Ms,
    /// Schedule of the calls for the machine list.
    list: Retry,
    /// Whether the cloud's list was read to its end at least once in this term.
    list_complete: bool,
    /// Last machine of the page before; `None` if the next page is the first.
    list_cursor: Option<String>,
    /// Pages read of the list that is under way.
    list_pages: u32,
    /// Schedule of the return calls.
    returns: Retry,
    /// Time of the next housekeeping pass, ms.
    next_housekeeping_at: Ms,
    /// Time from which the next machine may be drained, ms.
    next_consolidation_at: Ms,
    /// Jobs for which tasks were stopped lately, or no victims were found, and the time until which
    /// no more victims are searched for, ms.
    preemption_pauses: BTreeMap<JobId, Ms>,
    /// Idle machines that are kept because expected jobs would use them.
    reserved: BTreeSet<MachineId>,
    /// Time at which each zone was last found to be cut off, ms.
    cut_off_zones: BTreeMap<Arc<str>, Ms>,
}

/// How long an offer is left alone after the cloud had no capacity for it.
#[derive(Debug, Clone, Copy)]
struct Refusal {
    /// Time until which the offer is not asked for, ms.
    until: Ms,
    /// Length of that pause, ms; the next one is twice as long.
    pause: Ms,
}

impl Autoscaling {
    /// State of a leader whose term begins now.
    pub fn new(now: Ms) -> Self {
        Autoscaling {
            demand: Vec::new(),
            refusals: BTreeMap::new(),
            request_count: 0,
            rentals_in_flight: 0,
            next_rental_at: now,
            first_heartbeats_awaited_until: now,
            list: Retry::default(),
            list_complete: false,
            list_cursor: None,
            list_pages: 0,
            returns: Retry::default(),
            next_housekeeping_at: now,
            next_consolidation_at: now,
            preemption_pauses: BTreeMap::new(),
            reserved: BTreeSet::new(),
            cut_off_zones: BTreeMap::new(),
        }
    }

    /// Offers that are left alone at the moment.
    fn refused_offers(&self, now: Ms) -> BTreeSet<MachineOffer> {
        self.refusals
            .iter()
            .filter(|(_, refusal)| now < refusal.until)
            .map(|(offer, _)| offer.clone())
            .collect()
    }
}

impl Engine {
    /// Takes the unplaced tasks of a placing pass as the demand.
    pub(super) fn set_demand(&mut self, unplaced: Vec<Unplaced>) {
        let now = self.now;
        let Some(autoscaling) = self.leader_mut().map(|l| &mut l.autoscaling) else {
            return;
        };
        // The first tasks that wait don't wait for the next pass as well.
        if autoscaling.demand.is_empty() && !unplaced.is_empty() {
            autoscaling.next_rental_at = now;
        }
        autoscaling.demand = unplaced;
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
        let Some(autoscaling) = self.leader().map(|l| &l.autoscaling) else {
            return false;
        };
        // Until the first list nobody knows what is rented already; demand must not double it.
        // What goes over all machines comes last: this is asked at every step.
        autoscaling.rentals_in_flight == 0
            && autoscaling.list_complete
            && self.now >= autoscaling.next_rental_at
            && !self.awaits_first_heartbeats()
    }

    /// Compares the demand with the fleet: stops tasks for jobs that renting can't help, and rents
    /// for the others.
    fn run_rental_pass(&mut self) {
        let now = self.now;
        if let Some(leader) = self.leader_mut() {
            leader.autoscaling.next_rental_at = now + constants::HOUSEKEEPING_INTERVAL_MS;
        }
        self.refresh_snapshots();
        let candidates = self.candidates();
        let plan = self.plan_preemption(&candidates);
        let wanted = self.scaling_plan(&candidates);
        if let Some(leader) = self.leader_mut() {
            leader.autoscaling.reserved = wanted.keep;
        }
        self.pause_preemption(plan.without_victims);
        if let Some(preemption) = plan.preemption {
            self.preempt(preemption);
        }
        self.scale_out(wanted.rent);
    }

    /// Whether a machine is about to come up. One that is overdue is not counted on.
    fn is_booting(&self, machine: &Machine) -> bool {
        let boot_ms = self
            .machine_type(&machine.machine_type)
            .map_or(0, |t| t.boot_ms);
        let overdue = self.now.saturating_sub(machine.rented_at) > 2 * boot_ms;
        machine.phase == MachinePhase::Booting && machine.confirmed_by_cloud && !overdue
    }

    /// Whether a machine takes tasks now or is about to.
    fn is_expected(&self, machine: &Machine) -> bool {
        machine.accepts_tasks() || self.is_booting(machine)
    }
}

/// A candidate's tasks for which there is no room, as the fleet's planning takes them.
fn waiting_tasks<'a>(candidate: &Candidate<'a>, tasks: u32) -> WaitingJob<'a> {
    WaitingJob {
        job: candidate.job,
        tasks,
        placed_by_zone: candidate.placed_by_zone.clone(),
    }
}
