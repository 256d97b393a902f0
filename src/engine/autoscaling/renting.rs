//! Renting: how many machines of which offers are requested from the cloud.

use super::{MachineOffer, Refusal, waiting_tasks};
use crate::autoscaler::{self, ScalingPlan};
use crate::cloud::{CloudCall, CloudError, CloudReply};
use crate::constants;
use crate::engine::{Engine, Leader, PendingCall, Role};
use crate::model::{Job, JobPhase, Machine, MachineId, MachinePhase, Ms, Resources};
use crate::placement::Candidate;
use crate::wire::cloud::RentRequest;
use std::collections::BTreeMap;

impl Engine {
    /// Shortly after a take-over, while many machines that surely are up have yet to report here:
    /// their room is not known. (Renting at once, a new leader doubled the fleet. Waiting for the
    /// last of them, which may be dead, leaders that ended every twelve seconds never rented, and
    /// a gang waited for four minutes.)
    /// It is asked at every step, and goes over all machines: while the answer is yes, not more often
    /// than placing passes may come. (At 3,500 machines it took as much as five reports each time, just
    /// when all of them report.)
    pub(super) fn awaits_first_heartbeats(&mut self) -> bool {
        let now = self.now;
        let settled_after = constants::ELECTION_SETTLE_MS + 2 * self.timing.heartbeat_interval;
        let Some(leader) = self.leader() else {
            return false;
        };
        if now >= leader.elected_at + settled_after {
            return false;
        }
        if now < leader.autoscaling.first_heartbeats_awaited_until {
            return true;
        }
        let awaits = self.lacks_first_heartbeats();
        if let Some(leader) = self.leader_mut().filter(|_| awaits) {
            leader.autoscaling.first_heartbeats_awaited_until =
                now + constants::SCHEDULING_INTERVAL_MS;
        }
        awaits
    }

    /// Whether more of the machines that surely are up than a few have yet to report.
    fn lacks_first_heartbeats(&self) -> bool {
        let Some(leader) = self.leader() else {
            return false;
        };
        let (mut up, mut unheard) = (0, 0);
        for machine in leader.machines.values() {
            match machine.phase {
                MachinePhase::Up => up += 1,
                MachinePhase::Booting if !self.is_booting(machine) => unheard += 1,
                _ => {}
            }
        }
        unheard * constants::UNHEARD_MACHINES_DIVISOR > up + unheard
    }

    /// The machines to rent, and the idle ones to keep, for waiting and for expected jobs.
    pub(super) fn scaling_plan(&self, candidates: &[Candidate<'_>]) -> ScalingPlan {
        let (Some(leader), Some(types)) = (self.leader(), &self.machine_types) else {
            return ScalingPlan::default();
        };
        let expected = self.expected_jobs();
        let demand = leader.autoscaling.demand.iter();
        let waiting = demand.filter_map(|unplaced| {
            let candidate = candidates.iter().find(|c| *c.id == unplaced.job)?;
            Some(waiting_tasks(candidate, unplaced.tasks))
        });
        let copies = expected.iter().map(|job| autoscaler::WaitingJob {
            job,
            tasks: job.spec.tasks,
            placed_by_zone: BTreeMap::new(),
        });
        let waiting: Vec<autoscaler::WaitingJob<'_>> = waiting.chain(copies).collect();
        let requests = waiting.iter().map(|one| one.job.spec.request);
        let Some(smallest_request) = requests.reduce(Resources::component_min) else {
            // Nobody needs a machine, and none is kept for anybody.
            return ScalingPlan::default();
        };
        let snapshots = leader
            .machines
            .with_room(smallest_request, |m| self.is_expected(m));
        let refused = leader.autoscaling.refused_offers(self.now);
        let offers = autoscaler::available_offers(types, &refused, self.settings.operator.spot);
        autoscaler::scaling_plan(
            &waiting,
            snapshots,
            types,
            &offers,
            self.rentable_machines(),
        )
    }

    /// Jobs to be expected while a machine boots, by what arrived lately.
    fn expected_jobs(&self) -> Vec<Job> {
        let Some(types) = &self.machine_types else {
            return Vec::new();
        };
        let objectives = &self.settings.cluster.objectives;
        self.arrival_history
            .expected(self.unix_ms, types, objectives)
            .into_iter()
            .map(|spec| Job::new(spec, 0, 0, JobPhase::Open, self.now))
            .collect()
    }

    /// How many more machines the operators' bound allows.
    fn rentable_machines(&self) -> u64 {
        let rented = self.leader().map_or(0, |l| l.machines.len() as u64);
        match self.settings.operator.most_machines {
            0 => u64::MAX,
            most => most.saturating_sub(rented),
        }
    }

    /// Requests machines, as many calls as the cloud takes in a second; what is left is asked for
    /// in a pass soon after.
    pub(super) fn scale_out(&mut self, rent: BTreeMap<MachineOffer, u64>) {
        let calls_at_once = (self.settings.cluster.cloud.rps as usize).max(1);
        let calls = rental_calls(rent);
        let more = calls.len() > calls_at_once;
        for (offer, count) in calls.into_iter().take(calls_at_once) {
            self.request_machines(offer, count, more);
        }
    }

    fn request_machines(&mut self, offer: MachineOffer, count: u64, more: bool) {
        let now = self.now;
        let Some(leader) = self.leader_mut() else {
            return;
        };
        let term = leader.term;
        let autoscaling = &mut leader.autoscaling;
        autoscaling.request_count += 1;
        autoscaling.rentals_in_flight += 1;
        if more {
            autoscaling.next_rental_at = now + constants::RENTAL_PASS_INTERVAL_MS;
        }
        tracing::info!(
            machine_type = %offer.machine_type, zone = %offer.zone, spot = offer.spot, count, "renting"
        );
        // Unique by the term and a count: never used before, by whatever node.
        let rent = RentRequest {
            request_id: format!("t{term}-{}", autoscaling.request_count),
            machine_type: offer.machine_type.to_string(),
            zone: offer.zone.to_string(),
            spot: offer.spot,
            count,
        };
        self.call_cloud(PendingCall::RentMachines(offer), CloudCall::Rent(rent));
    }

    /// The outcome of a rental request.
    pub(in crate::engine) fn on_rented(
        &mut self,
        offer: MachineOffer,
        result: Result<CloudReply, CloudError>,
    ) {
        let now = self.now;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let autoscaling = &mut leader.autoscaling;
        autoscaling.rentals_in_flight = autoscaling.rentals_in_flight.saturating_sub(1);
        match result {
            Ok(CloudReply::Rented(names)) => add_rented_machines(leader, &offer, &names, now),
            Ok(_) => {}
            Err(CloudError::NoCapacity) => note_refusal(leader, offer, now),
            Err(CloudError::Failed(why)) => {
                // If it was executed all the same, its machines show up in the list.
                tracing::info!("renting failed: {why}");
                autoscaling.next_rental_at = now + constants::RETRY_MAX_MS;
            }
        }
    }
}

fn add_rented_machines(leader: &mut Leader, offer: &MachineOffer, names: &[String], now: Ms) {
    leader.autoscaling.refusals.remove(offer);
    for name in names {
        let id = MachineId::from(&**name);
        leader.machines.insert_if_absent(&id, |id| {
            Machine::new(
                id,
                offer.machine_type.clone(),
                offer.zone.clone(),
                offer.spot,
                now,
            )
        });
        leader
            .machines
            .update(&id, |machine| machine.confirmed_by_cloud = true);
    }
}

/// Leaves an offer alone for a time that doubles with each refusal in a row.
fn note_refusal(leader: &mut Leader, offer: MachineOffer, now: Ms) {
    let refusals = &mut leader.autoscaling.refusals;
    let last_pause = refusals.get(&offer).map_or(0, |refusal| refusal.pause);
    let pause = (last_pause * 2).clamp(
        constants::REFUSED_OFFER_INITIAL_PAUSE_MS,
        constants::REFUSED_OFFER_MAX_PAUSE_MS,
    );
    tracing::info!(
        machine_type = %offer.machine_type, zone = %offer.zone, spot = offer.spot, pause, "no capacity"
    );
    let until = now + pause;
    refusals.insert(offer, Refusal { until, pause });
    leader.needs_scheduling = true;
}

/// One call for each offer, then the second for each that wants more than one call may rent.
fn rental_calls(rent: BTreeMap<MachineOffer, u64>) -> Vec<(MachineOffer, u64)> {
    let mut calls = Vec::new();
    let mut left: Vec<(MachineOffer, u64)> = rent.into_iter().collect();
    while !left.is_empty() {
        for (offer, count) in &mut left {
            let in_this_call = constants::MAX_MACHINES_PER_RENTAL.min(*count);
            *count -= in_this_call;
            calls.push((offer.clone(), in_this_call));
        }
        left.retain(|(_, count)| *count > 0);
    }
    calls
}
