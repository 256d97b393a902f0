//! Scaling out: decides how many machines of which offers to rent, and requests them.

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

/// One rental call for a number of machines of one offer.
struct RentalCall {
    offer: MachineOffer,
    count: u64,
}

impl Engine {
    /// Reports whether the leader was elected recently and still waits for the first heartbeats of
    /// many machines that should be up. What is available on these machines is not known, so a
    /// leader that rented immediately could rent a second fleet. The leader does not wait for the
    /// last few machines, because they may have failed.
    ///
    /// This check runs at every step and iterates over all machines. While its result is true, the
    /// result is reused for [`constants::SCHEDULING_INTERVAL`], the shortest time between
    /// scheduling passes.
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
        let is_waiting = self.is_missing_first_heartbeats();
        if is_waiting && let Some(leader) = self.leadership.leader_mut() {
            leader.autoscaling.first_heartbeats_awaited_until =
                now + constants::SCHEDULING_INTERVAL;
        }
        is_waiting
    }

    /// Reports whether more than one in [`constants::UNHEARD_MACHINES_DIVISOR`] of the machines
    /// that should be up have not sent a heartbeat yet.
    fn is_missing_first_heartbeats(&self) -> bool {
        let Some(leader) = self.leadership.leader() else {
            return false;
        };
        let (mut up, mut without_heartbeat) = (0, 0);
        for machine in leader.machines.values() {
            match machine.phase {
                MachinePhase::Up => up += 1,
                MachinePhase::Booting if !self.is_booting_on_time(machine) => {
                    without_heartbeat += 1
                }
                _ => {}
            }
        }
        without_heartbeat * constants::UNHEARD_MACHINES_DIVISOR > up + without_heartbeat
    }

    /// Returns the machines to rent and the idle machines to keep, for waiting and for expected
    /// jobs.
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
            // No job waits and none is expected, so no machine is rented or kept.
            return ScalingPlan::default();
        };
        let snapshots = leader.machines.with_available(smallest_request, |machine| {
            self.accepts_tasks_now_or_soon(machine)
        });
        let refused = leader.autoscaling.refusals.active_at(self.context.now());
        let rents_spot = self.context.settings().operator.spot;
        let offers = autoscaler::available_offers(types, &refused, rents_spot);
        let max_machines = self.max_machines_to_rent();
        autoscaler::scaling_plan(&waiting, snapshots, types, &offers, max_machines)
    }

    /// Returns the jobs that are expected to arrive while a machine boots, estimated from recent
    /// arrivals.
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

    /// Returns how many more machines may be rented under the operators' limit, where 0 means no
    /// limit.
    fn max_machines_to_rent(&self) -> u64 {
        let leader = self.leadership.leader();
        let rented = leader.map_or(0, |leader| leader.machines.len() as u64);
        match self.context.settings().operator.most_machines {
            0 => u64::MAX,
            max => max.saturating_sub(rented),
        }
    }

    /// Requests machines with at most as many calls as the cloud accepts per second, but at least
    /// one. The remaining machines are requested in a later pass, which is then due after
    /// [`constants::RENTAL_PASS_INTERVAL`].
    pub(super) fn scale_out(&mut self, rent: BTreeMap<MachineOffer, u64>) {
        let rate = self.context.settings().cluster.cloud.rps;
        let calls_at_once = (rate as usize).max(1);
        let calls = rental_calls(rent);
        let more_calls = calls.len() > calls_at_once;
        for call in calls.into_iter().take(calls_at_once) {
            self.request_machines(call, more_calls);
        }
    }

    /// Makes one rental call. `more_calls` schedules the next rental pass earlier.
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
            // The term and the number make the id unique across all nodes and terms.
            request_id: format!("t{term}-{}", autoscaling.rental_requests),
            machine_type: offer.machine_type.to_string(),
            zone: offer.zone.to_string(),
            spot: offer.spot,
            count,
        };
        let pending = PendingCall::RentMachines(offer);
        self.outbox.call_cloud(pending, CloudCall::Rent(request));
    }

    /// Handles the outcome of a rental request.
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
                // If the cloud executed the request nevertheless, the machines appear in its list.
                tracing::info!(%error, "rental failed");
                autoscaling.next_rental_pass_at = now + constants::RETRY_MAX_PAUSE;
            }
        }
    }
}

/// Adds the rented machines to the fleet and clears the offer's refusals.
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

/// Records that the cloud had no capacity for the offer, and requests a scheduling pass.
fn record_refusal(leader: &mut Leader, offer: MachineOffer, now: Timestamp) {
    let pause = leader.autoscaling.refusals.record(offer.clone(), now);
    tracing::info!(
        machine_type = %offer.machine_type, zone = %offer.zone, spot = offer.spot, ?pause,
        "no capacity for offer"
    );
    leader.scheduling.request();
}

/// Splits the machines to rent into calls of at most [`constants::MAX_MACHINES_PER_RENTAL`]: one
/// call for each offer, then a second call for each offer with machines left, and so on.
fn rental_calls(rent: BTreeMap<MachineOffer, u64>) -> Vec<RentalCall> {
    let mut calls = Vec::new();
    let mut remaining: Vec<(MachineOffer, u64)> = rent.into_iter().collect();
    while !remaining.is_empty() {
        for (offer, remaining_count) in &mut remaining {
            let count = constants::MAX_MACHINES_PER_RENTAL.min(*remaining_count);
            *remaining_count -= count;
            calls.push(RentalCall {
                offer: offer.clone(),
                count,
            });
        }
        remaining.retain(|(_, remaining_count)| *remaining_count > 0);
    }
    calls
}
