//! Scaling out: how many machines of which offers are rented.

use super::MachineOffer;
use crate::autoscaler::{self, ScalingPlan, WaitingJob};
use crate::cloud::{CloudCall, CloudError, CloudReply};
use crate::constants;
use crate::engine::Engine;
use crate::engine::leader::Leader;
use crate::engine::messages::PendingCall;
use crate::model::{Job, JobPhase, Machine, MachineId, MachinePhase, Resources, Timestamp};
use crate::placement::Candidate;
use crate::wire::cloud::RentRequest;
use std::collections::BTreeMap;

/// A rental request: machines of one offer.
struct RentalCall {
    offer: MachineOffer,
    count: u64,
}

impl Engine {
    /// Shortly after an election, while many machines that surely are up have yet to send a
    /// heartbeat here: what is available on them is not known, and a leader that rented at once
    /// would rent the fleet again. The last of them are not waited for, since they may be dead.
    ///
    /// This is asked at every step and goes over all machines: while the answer is yes, not more
    /// often than scheduling passes may come.
    pub(super) fn awaits_first_heartbeats(&mut self) -> bool {
        let now = self.context.now();
        let two_heartbeats = 2 * self.context.timing().heartbeat_interval;
        let Some(leader) = self.leadership.leader() else {
            return false;
        };
        if now >= leader.elected_at() + constants::ELECTION_SETTLE_TIME + two_heartbeats {
            return false;
        }
        if now < leader.autoscaling.first_heartbeats_awaited_until {
            return true;
        }
        let awaits = self.lacks_first_heartbeats();
        if awaits && let Some(leader) = self.leadership.leader_mut() {
            leader.autoscaling.first_heartbeats_awaited_until =
                now + constants::SCHEDULING_INTERVAL;
        }
        awaits
    }

    /// Whether more than a few of the machines that surely are up have yet to send a heartbeat.
    fn lacks_first_heartbeats(&self) -> bool {
        let Some(leader) = self.leadership.leader() else {
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
        let leader = self.leadership.leader();
        let (Some(leader), Some(types)) = (leader, self.machine_types.types()) else {
            return ScalingPlan::default();
        };
        let expected = self.expected_jobs();
        let unplaced = leader.autoscaling.unplaced_jobs(candidates);
        let waiting = unplaced.map(|(_, waiting)| waiting);
        let expected = expected.iter().map(|job| WaitingJob {
            job,
            tasks: job.spec.tasks,
            placed_by_zone: BTreeMap::new(),
        });
        let waiting: Vec<WaitingJob<'_>> = waiting.chain(expected).collect();
        let requests = waiting.iter().map(|waiting| waiting.job.spec.request);
        let Some(smallest_request) = requests.reduce(Resources::component_min) else {
            // Nobody needs a machine, and none is kept for anybody.
            return ScalingPlan::default();
        };
        let snapshots = leader
            .machines
            .with_available(smallest_request, |machine| self.is_expected(machine));
        let refused = leader.autoscaling.refusals.at(self.context.now());
        let rents_spot = self.context.settings().operator.spot;
        let offers = autoscaler::available_offers(types, &refused, rents_spot);
        let max_machines = self.max_machines_to_rent();
        autoscaler::scaling_plan(&waiting, snapshots, types, &offers, max_machines)
    }

    /// Jobs to be expected while a machine boots, by what arrived lately.
    fn expected_jobs(&self) -> Vec<Job> {
        let Some(types) = self.machine_types.types() else {
            return Vec::new();
        };
        let objectives = &self.context.settings().cluster.objectives;
        let unix_time = self.context.unix_time();
        let now = self.context.now();
        self.arrival_history
            .expected_jobs(unix_time, types, objectives)
            .into_iter()
            .map(|spec| Job::new(spec, 0, Default::default(), JobPhase::Open, now))
            .collect()
    }

    /// How many more machines the operators' bound allows.
    fn max_machines_to_rent(&self) -> u64 {
        let leader = self.leadership.leader();
        let rented = leader.map_or(0, |leader| leader.machines.len() as u64);
        match self.context.settings().operator.most_machines {
            0 => u64::MAX,
            max => max.saturating_sub(rented),
        }
    }

    /// Requests machines, as many calls as the cloud takes in a second; what is left is asked for
    /// in a pass soon after.
    pub(super) fn scale_out(&mut self, rent: BTreeMap<MachineOffer, u64>) {
        let rate = self.context.settings().cluster.cloud.rps;
        let calls_at_once = (rate as usize).max(1);
        let calls = rental_calls(rent);
        let more_calls = calls.len() > calls_at_once;
        for call in calls.into_iter().take(calls_at_once) {
            self.request_machines(call, more_calls);
        }
    }

    fn request_machines(&mut self, call: RentalCall, more_calls: bool) {
        let now = self.context.now();
        let Some(leader) = self.leadership.leader_mut() else {
            return;
        };
        let term = leader.term();
        let autoscaling = &mut leader.autoscaling;
        autoscaling.rental_requests += 1;
        autoscaling.rentals_in_flight += 1;
        if more_calls {
            autoscaling.next_rental_pass_at = now + constants::RENTAL_PASS_INTERVAL;
        }
        let RentalCall { offer, count } = call;
        tracing::info!(
            machine_type = %offer.machine_type, zone = %offer.zone, spot = offer.spot, count,
            "renting machines"
        );
        let request = RentRequest {
            // Unique by the term and a count: never used before, by whatever node.
            request_id: format!("t{term}-{}", autoscaling.rental_requests),
            machine_type: offer.machine_type.to_string(),
            zone: offer.zone.to_string(),
            spot: offer.spot,
            count,
        };
        let pending = PendingCall::RentMachines(offer);
        self.outbox.call_cloud(pending, CloudCall::Rent(request));
    }

    /// The outcome of a rental request.
    pub(in crate::engine) fn on_machines_rented(
        &mut self,
        offer: MachineOffer,
        result: Result<CloudReply, CloudError>,
    ) {
        let now = self.context.now();
        let Some(leader) = self.leadership.leader_mut() else {
            return;
        };
        let autoscaling = &mut leader.autoscaling;
        autoscaling.rentals_in_flight = autoscaling.rentals_in_flight.saturating_sub(1);
        match result {
            Ok(CloudReply::Rented(names)) => add_rented_machines(leader, &offer, &names, now),
            Ok(_) => {}
            Err(CloudError::NoCapacity) => record_refusal(leader, offer, now),
            Err(CloudError::Failed(error)) => {
                // If it was executed all the same, its machines show up in the list.
                tracing::info!(%error, "rental failed");
                autoscaling.next_rental_pass_at = now + constants::RETRY_MAX_PAUSE;
            }
        }
    }
}

fn add_rented_machines(
    leader: &mut Leader,
    offer: &MachineOffer,
    names: &[String],
    now: Timestamp,
) {
    leader.autoscaling.refusals.clear(offer);
    for name in names {
        let id = MachineId::from(&**name);
        leader.machines.insert_if_absent(&id, |id| {
            let (machine_type, zone) = (offer.machine_type.clone(), offer.zone.clone());
            Machine::new(id, machine_type, zone, offer.spot, now)
        });
        leader
            .machines
            .update(&id, |machine| machine.confirmed_by_cloud = true);
    }
}

fn record_refusal(leader: &mut Leader, offer: MachineOffer, now: Timestamp) {
    let pause = leader.autoscaling.refusals.record(offer.clone(), now);
    tracing::info!(
        machine_type = %offer.machine_type, zone = %offer.zone, spot = offer.spot, ?pause,
        "no capacity for offer"
    );
    leader.scheduling.request();
}

/// One call for each offer, then the second for each that wants more than one call may rent.
fn rental_calls(rent: BTreeMap<MachineOffer, u64>) -> Vec<RentalCall> {
    let mut calls = Vec::new();
    let mut left: Vec<(MachineOffer, u64)> = rent.into_iter().collect();
    while !left.is_empty() {
        for (offer, left_count) in &mut left {
            let count = constants::MAX_MACHINES_PER_RENTAL.min(*left_count);
            *left_count -= count;
            calls.push(RentalCall {
                offer: offer.clone(),
                count,
            });
        }
        left.retain(|(_, left_count)| *left_count > 0);
    }
    calls
}
