//! Renting and returning machines.

use super::{Engine, Op, Retry, Role};
use crate::cloud::{CloudCall, CloudError, CloudReply};
use crate::constants as k;
use crate::fleet::{self, Waiting, Wanted};
use crate::model::{Job, JobId, Machine, MachineId, MachinePhase, Ms, Phase, Resources, TaskId};
use crate::placement::{Candidate, Unplaced, preempt};
use crate::wire::cloud::{MachineState, Rent};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

pub(super) use crate::fleet::Offer;

#[derive(Debug)]
pub(super) struct Provisioning {
    pub demand: Vec<Unplaced>,
    /// Offers refused, until when, and for how long the next time.
    refused: BTreeMap<Offer, (Ms, u64)>,
    /// Names requests, together with the term.
    requests: u64,
    renting: usize,
    rent_at: Ms,
    list: Retry,
    listed: bool,
    list_after: Option<String>,
    returns: Retry,
    upkeep_at: Ms,
    /// When a machine may be vacated next.
    pub vacate_at: Ms,
    /// Jobs for which tasks were stopped a moment ago, or found not to be, and until when they
    /// are not looked at again.
    preempted: BTreeMap<JobId, Ms>,
    /// Idle machines that are kept for what is expected.
    keep: BTreeSet<MachineId>,
    /// When each zone was last found cut off.
    cut: BTreeMap<Arc<str>, Ms>,
}

impl Provisioning {
    pub fn new(now: Ms) -> Self {
        Provisioning {
            demand: Vec::new(),
            refused: BTreeMap::new(),
            requests: 0,
            renting: 0,
            rent_at: now,
            list: Retry::default(),
            listed: false,
            list_after: None,
            returns: Retry::default(),
            upkeep_at: now,
            vacate_at: now,
            preempted: BTreeMap::new(),
            keep: BTreeSet::new(),
            cut: BTreeMap::new(),
        }
    }
}

impl Provisioning {
    /// Whether an idle machine is kept for what is expected.
    pub fn keeps(&self, id: &MachineId) -> bool {
        self.keep.contains(id)
    }

    /// Offers refused a moment ago.
    fn refused_now(&self, now: Ms) -> BTreeSet<Offer> {
        let refused = self.refused.iter().filter(|(_, (until, _))| now < *until);
        refused.map(|(offer, _)| offer.clone()).collect()
    }
}

impl Engine {
    pub(super) fn set_demand(&mut self, unplaced: Vec<Unplaced>) {
        let now = self.now;
        if let Some(provisioning) = self.leader_mut().map(|l| &mut l.provisioning) {
            // The first that wait don't wait for the next pass as well.
            if provisioning.demand.is_empty() && !unplaced.is_empty() {
                provisioning.rent_at = now;
            }
            provisioning.demand = unplaced;
        }
    }

    pub(super) fn provision_when_due(&mut self) {
        let now = self.now;
        if !self.confident() {
            return;
        }
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        if leader.provisioning.list.due(now) {
            leader.provisioning.list.busy = true;
            let after = leader.provisioning.list_after.clone();
            self.cloud(Op::Machines, CloudCall::List { after });
        }
        let Some(provisioning) = self.leader().map(|l| &l.provisioning) else {
            return;
        };
        // Until the first list nobody knows what is rented already; demand must not double it.
        // What goes over all machines comes last: this is asked at every step.
        let busy = provisioning.renting > 0;
        if busy || !provisioning.listed || now < provisioning.rent_at || self.settling() {
            return;
        }
        if let Some(leader) = self.leader_mut() {
            leader.provisioning.rent_at = now + k::UPKEEP_EVERY_MS;
        }
        self.refresh_slots();
        let candidates = self.candidates();
        let (victims, in_vain) = self.preemption(&candidates);
        let wanted = self.wanted(&candidates);
        if let Some(leader) = self.leader_mut() {
            leader.provisioning.keep = wanted.keep;
            let preempted = &mut leader.provisioning.preempted;
            preempted.retain(|_, until| now < *until);
            preempted.extend(
                in_vain
                    .into_iter()
                    .map(|id| (id, now + k::PREEMPT_AFTER_MS)),
            );
        }
        if let Some((job, victims)) = victims {
            self.preempt(job, victims);
        }
        // As many calls as the cloud takes in a second; what is left is asked for after them.
        let most = (self.settings.cluster.cloud.rps as usize).max(1);
        let calls = calls(wanted.rent);
        let more = calls.len() > most;
        for (offer, count) in calls.into_iter().take(most) {
            let term = self.leader().map_or(0, |l| l.term);
            let Some(provisioning) = self.leader_mut().map(|l| &mut l.provisioning) else {
                return;
            };
            provisioning.requests += 1;
            provisioning.renting += 1;
            if more {
                provisioning.rent_at = now + k::RENT_EVERY_MS;
            }
            tracing::info!(
                machine_type = %offer.machine_type, zone = %offer.zone, spot = offer.spot, count, "renting"
            );
            // Unique by the term and a count: never used before, by whatever node.
            let rent = Rent {
                request: format!("t{term}-{}", provisioning.requests),
                machine_type: offer.machine_type.to_string(),
                zone: offer.zone.to_string(),
                spot: offer.spot,
                count,
            };
            self.cloud(Op::Rent(offer), CloudCall::Rent(rent));
        }
    }

    /// Shortly after a take-over, while many machines that surely are up have yet to report here:
    /// their room is not known. (Renting at once, a new leader doubled the fleet. Waiting for the
    /// last of them, which may be dead, leaders that ended every twelve seconds never rented, and
    /// a gang waited for four minutes.)
    pub(super) fn settling(&self) -> bool {
        let Some(leader) = self.leader() else {
            return false;
        };
        if self.now >= leader.since + k::SETTLE_MS + 2 * self.timing.report {
            return false;
        }
        let (mut up, mut unheard) = (0, 0);
        for machine in leader.machines.values() {
            match machine.phase {
                MachinePhase::Up => up += 1,
                MachinePhase::Booting if !self.is_booting(machine) => unheard += 1,
                _ => {}
            }
        }
        unheard * k::UNHEARD_PART > up + unheard
    }

    fn wanted(&self, candidates: &[Candidate<'_>]) -> Wanted {
        let (Some(leader), Some(types)) = (self.leader(), &self.types) else {
            return Wanted::default();
        };
        let now = self.now;
        let refused = leader.provisioning.refused_now(now);
        let mut waiting: Vec<Waiting<'_>> = leader
            .provisioning
            .demand
            .iter()
            .filter_map(|unplaced| {
                let candidate = candidates.iter().find(|c| *c.id == unplaced.job)?;
                Some(Waiting {
                    job: candidate.job,
                    tasks: unplaced.tasks,
                    zones: candidate.zones.clone(),
                })
            })
            .collect();
        let objectives = &self.settings.cluster.objectives;
        let expected: Vec<Job> = self
            .arrivals
            .expected(self.wall, types, objectives)
            .into_iter()
            .map(|spec| Job::new(spec, 0, 0, Phase::Open, now))
            .collect();
        waiting.extend(expected.iter().map(|job| Waiting {
            job,
            tasks: job.spec.tasks,
            zones: BTreeMap::new(),
        }));
        let least = waiting.iter().map(|one| one.job.spec.need);
        let least = least.reduce(Resources::least_of).unwrap_or_default();
        let slots = leader.machines.with_room(least, |m| self.is_expected(m));
        let offers = fleet::offers(types, &refused, self.settings.operator.spot);
        let most = match self.settings.operator.most_machines {
            0 => u64::MAX,
            most => most.saturating_sub(leader.machines.len() as u64),
        };
        fleet::wanted(&waiting, slots, types, &offers, most)
    }

    /// Whom to stop for the first waiting job that renting can't help: the cloud has refused what
    /// it could use, and nothing expected has room for it. And for which jobs nobody was found:
    /// a few in each pass, as each goes over all that runs.
    fn preemption(
        &self,
        candidates: &[Candidate<'_>],
    ) -> (Option<(JobId, Vec<TaskId>)>, Vec<JobId>) {
        let now = self.now;
        let mut in_vain = Vec::new();
        let Some(leader) = self.leader() else {
            return (None, in_vain);
        };
        if leader.provisioning.refused_now(now).is_empty() {
            return (None, in_vain);
        }
        let guaranteed = self.guaranteed();
        let all = Resources::default();
        let mut slots = leader.machines.with_room(all, |m| self.is_expected(m));
        let mut real = None;
        let running = preempt::running(self.jobs.iter(), |id| guaranteed.contains(id), now);
        for unplaced in &leader.provisioning.demand {
            let Some(c) = candidates.iter().find(|c| *c.id == unplaced.job) else {
                continue;
            };
            let tried = leader
                .provisioning
                .preempted
                .get(c.id)
                .is_some_and(|until| now < *until);
            let fresh = now.saturating_sub(c.job.seen) < k::PREEMPT_AFTER_MS;
            let waiting = Waiting {
                job: c.job,
                tasks: unplaced.tasks,
                zones: c.zones.clone(),
            };
            let most = if c.job.is_gang() { unplaced.tasks } else { 1 };
            // Room that will soon be there is first come, first served: it is taken off for
            // the jobs after this one.
            let short = !fleet::has_room(&waiting, &mut slots);
            if tried || fresh || !short {
                continue;
            }
            let real =
                real.get_or_insert_with(|| leader.machines.with_room(all, Machine::takes_tasks));
            let victims = preempt::victims(c, most, real, &running);
            if !victims.is_empty() {
                return (Some((c.id.clone(), victims)), in_vain);
            }
            in_vain.push(c.id.clone());
            if in_vain.len() >= k::PREEMPT_TRIES {
                break;
            }
        }
        (None, in_vain)
    }

    fn preempt(&mut self, id: JobId, victims: Vec<TaskId>) {
        let now = self.now;
        tracing::info!(job = %id, victims = victims.len(), "stopping tasks to make room");
        if let Some(leader) = self.leader_mut() {
            leader
                .provisioning
                .preempted
                .insert(id, now + k::PREEMPT_MS);
        }
        for task in victims {
            self.stop_task(&task);
        }
    }

    /// Tells a task to save and stop; of a gang, all of them.
    pub(super) fn stop_task(&mut self, task: &TaskId) {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let grace_s = job.spec.grace_s();
        if job.is_gang() {
            job.stop_all(grace_s, now);
        } else if let Some(placement) = job.live.get_mut(&task.index) {
            placement.order_stop(grace_s, now);
        }
        self.send_stops(&task.job);
    }

    /// Whether a machine is about to come up. One that is overdue is not counted on.
    fn is_booting(&self, machine: &Machine) -> bool {
        let boot = self
            .machine_type(&machine.machine_type)
            .map_or(0, |t| t.boot_ms);
        let overdue = self.now.saturating_sub(machine.rented) > 2 * boot;
        machine.phase == MachinePhase::Booting && machine.vouched && !overdue
    }

    fn is_expected(&self, machine: &Machine) -> bool {
        machine.takes_tasks() || self.is_booting(machine)
    }

    pub(super) fn on_rented(&mut self, offer: Offer, result: Result<CloudReply, CloudError>) {
        let now = self.now;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        leader.provisioning.renting = leader.provisioning.renting.saturating_sub(1);
        match result {
            Ok(CloudReply::Rented(names)) => {
                leader.provisioning.refused.remove(&offer);
                for name in names {
                    let id = MachineId::from(&*name);
                    let machine = leader.machines.get_or_insert_with(id, |id| {
                        Machine::new(
                            id,
                            offer.machine_type.clone(),
                            offer.zone.clone(),
                            offer.spot,
                            now,
                        )
                    });
                    machine.vouched = true;
                }
            }
            Ok(_) => {}
            Err(CloudError::NoCapacity) => {
                let pause = leader
                    .provisioning
                    .refused
                    .get(&offer)
                    .map_or(0, |(_, p)| *p);
                let pause = (pause * 2).clamp(k::REFUSED_FIRST_MS, k::REFUSED_MOST_MS);
                tracing::info!(
                    machine_type = %offer.machine_type, zone = %offer.zone, spot = offer.spot, pause, "no capacity"
                );
                leader
                    .provisioning
                    .refused
                    .insert(offer, (now + pause, pause));
                leader.dirty = true;
            }
            Err(CloudError::Failed(why)) => {
                // If it was executed all the same, its machines show up in the list.
                tracing::info!("renting failed: {why}");
                leader.provisioning.rent_at = now + k::RETRY_MOST_MS;
            }
        }
    }

    pub(super) fn on_machines(&mut self, result: Result<CloudReply, CloudError>) {
        let now = self.now;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Ok(CloudReply::Listed(list)) = result else {
            if let Err(e) = result {
                tracing::debug!("machine list: {e}");
            }
            leader.provisioning.list.failed(now, &mut self.rng);
            return;
        };
        let more = list.machines.last().filter(|_| list.more);
        leader.provisioning.list_after = more.map(|last| last.id.clone());
        // A page alone does not tell what is rented.
        leader.provisioning.listed |= more.is_none();
        let pause = if more.is_some() { 0 } else { k::LIST_EVERY_MS };
        leader.provisioning.list.worked(now + pause);
        for listed in list.machines {
            let id = MachineId::from(&*listed.id);
            if leader.gone.get(&id).is_some() {
                continue;
            }
            let age = (listed.age_s.clamp(0.0, 1e9) * 1000.0) as u64;
            let machine = leader.machines.get_or_insert_with(id, |id| {
                tracing::info!(machine = %id, "machine found in the list");
                Machine::new(id, "".into(), "".into(), listed.spot, now)
            });
            machine.vouched = true;
            // Whether or not it has reported: one that has is not new either.
            machine.rented = machine.rented.min(now.saturating_sub(age));
            if machine.machine_type.is_empty() {
                machine.machine_type = listed.machine_type.as_str().into();
                machine.zone = listed.zone.as_str().into();
                machine.spot = listed.spot;
            }
            if listed.state == MachineState::Failed && machine.phase != MachinePhase::Returning {
                tracing::info!(machine = %machine.id, "machine has failed");
                machine.phase = MachinePhase::Returning;
            }
        }
    }

    /// Looks over the machines: silent, never up, failing, about to be taken, idle.
    pub(super) fn keep_machines(&mut self) {
        let now = self.now;
        let idle_ms = (self.settings.operator.idle_s * 1000.0) as u64;
        let silent_ms = self.timing.silent;
        let report_ms = self.timing.report;
        let types = self.types.clone();
        let cut_off: Vec<Arc<str>> = self
            .settings
            .cluster
            .zones
            .iter()
            .filter(|zone| self.cut_off_from(zone))
            .map(|zone| zone.as_str().into())
            .collect();
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        if now < leader.provisioning.upkeep_at {
            return;
        }
        leader.provisioning.upkeep_at = now + k::UPKEEP_EVERY_MS;
        for zone in cut_off {
            leader.provisioning.cut.insert(zone, now);
        }
        if lost_touch(leader, now, 2 * report_ms + k::SAFETY_MARGIN_MS) {
            self.step_down("most workers can't be heard");
            self.campaign.at = now + k::HAND_OVER_MS;
            return;
        }
        let provisioning = &leader.provisioning;
        let mut taken = Vec::new();
        let mut back = Vec::new();
        for machine in leader.machines.values() {
            // A zone that can't be reached keeps working while a node there answers in our
            // stead: its machines' silence counts from the end of the cut, or from the end of
            // the longest time for which a node may do so. (Counted from their last report,
            // the whole zone was returned the moment the cut ended.)
            let cut = provisioning.cut.get(&machine.zone).copied().unwrap_or(0);
            let excused = cut.min(machine.seen + self.timing.grace);
            let unheard = now.saturating_sub(machine.seen.max(excused));
            // One that reports although nothing proves that it hears us is given its next report.
            let patience = match now.saturating_sub(machine.received) > self.timing.on_time {
                true => silent_ms,
                false => silent_ms + self.timing.on_time,
            };
            let boot_ms = types
                .as_ref()
                .and_then(|t| t.get(&machine.machine_type))
                .map_or(0, |t| (t.boot_ms as f64 * k::BOOT_PATIENCE) as u64);
            let look = Look {
                now,
                report_ms,
                boot_ms: boot_ms.max(k::BOOT_PATIENCE_MIN_MS),
                idle_ms,
                silent: unheard > patience,
                kept: provisioning.keep.contains(&machine.id),
            };
            if let Some(why) = look.return_why(machine) {
                tracing::info!(machine = %machine.id, why, "returning machine");
                back.push(machine.id.clone());
            }
            if let Some(at) = machine.taken_at {
                let left = at.saturating_sub(now);
                taken.extend(machine.tasks.iter().map(|t| (t.clone(), left)));
            }
        }
        for id in back {
            if let Some(machine) = leader.machines.get_mut(&id) {
                machine.phase = MachinePhase::Returning;
            }
        }
        self.return_machines();
        self.leave_taken(taken);
    }

    /// Asks the cloud to take machines back. They and everything on them are gone only when it
    /// says so; until then their tasks count as running.
    fn return_machines(&mut self) {
        let confident = self.confident();
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        if !confident || !leader.provisioning.returns.due(self.now) {
            return;
        }
        let returning = |m: &&Machine| m.phase == MachinePhase::Returning;
        let back: Vec<MachineId> = leader
            .machines
            .values()
            .filter(returning)
            .take(k::RETURN_MOST)
            .map(|m| m.id.clone())
            .collect();
        if !back.is_empty() {
            leader.provisioning.returns.busy = true;
            let names = back.iter().map(ToString::to_string).collect();
            self.cloud(Op::Return(back), CloudCall::Return(names));
        }
    }

    /// Tasks on machines that will be taken save while there is time.
    fn leave_taken(&mut self, tasks: Vec<(TaskId, Ms)>) {
        for (task, left) in tasks {
            let Some(job) = self.jobs.get(&task.job) else {
                continue;
            };
            let grace_s = job.spec.grace_s();
            if left > (grace_s + 1) * 1000 + k::SAFETY_MARGIN_MS || !job.is_open() {
                continue;
            }
            let stopping = job.live.get(&task.index).is_none_or(|p| p.stop.is_some());
            if !stopping {
                self.stop_task(&task);
            }
        }
    }

    pub(super) fn on_returned(
        &mut self,
        names: Vec<MachineId>,
        result: Result<CloudReply, CloudError>,
    ) {
        let now = self.now;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        if let Err(why) = result {
            tracing::info!("returning failed: {why}");
            leader.provisioning.returns.failed(now, &mut self.rng);
            return;
        }
        leader.provisioning.returns.worked(now);
        leader.dirty = true;
        let mut lost = Vec::new();
        for id in names {
            if let Some(machine) = leader.machines.remove(&id) {
                // What was given back can be had again.
                leader.provisioning.refused.remove(&Offer {
                    machine_type: machine.machine_type,
                    zone: machine.zone,
                    spot: machine.spot,
                });
                lost.extend(machine.tasks);
            }
            leader.gone.insert(id, ());
        }
        for task in lost {
            tracing::info!(%task, "task lost with its machine");
            self.lose(&task);
        }
    }
}

/// One call for each offer, then the second for each that wants more than one call may rent.
fn calls(rent: BTreeMap<Offer, u64>) -> Vec<(Offer, u64)> {
    let mut calls = Vec::new();
    let mut left: Vec<(Offer, u64)> = rent.into_iter().collect();
    while !left.is_empty() {
        for (offer, count) in &mut left {
            let now = k::RENT_MOST.min(*count);
            *count -= now;
            calls.push((offer.clone(), now));
        }
        left.retain(|(_, count)| *count > 0);
    }
    calls
}

/// What decides whether a machine is returned.
struct Look {
    now: Ms,
    report_ms: Ms,
    /// How long it may take to come up.
    boot_ms: Ms,
    idle_ms: Ms,
    silent: bool,
    /// Expected jobs would use it.
    kept: bool,
}

impl Look {
    fn return_why(&self, machine: &Machine) -> Option<&'static str> {
        let held = self.now.saturating_sub(machine.rented);
        let since = |at: Ms| self.now.saturating_sub(at);
        let past_notice = machine.taken_at.is_some_and(|at| self.now > at);
        let idle = machine.is_empty() && !self.kept && since(machine.idle_since) > self.idle_ms;
        match machine.phase {
            MachinePhase::Booting if self.silent && !machine.tasks.is_empty() => Some("silent"),
            // Known by a report alone, perhaps a late copy from a machine that is long gone.
            MachinePhase::Booting if self.silent && !machine.vouched => Some("never answered"),
            // After a take-over every machine is new to this leader, however long it has been
            // rented: it must have had time to report.
            MachinePhase::Booting if held > self.boot_ms && self.silent => Some("never came up"),
            // Its time has come and it no longer reports: asking for its return gives the proof
            // that its tasks are gone without waiting for a lease.
            MachinePhase::Up if past_notice && since(machine.seen) > self.report_ms => {
                Some("taken")
            }
            MachinePhase::Up if self.silent => Some("silent"),
            MachinePhase::Up if machine.aside && machine.is_empty() => Some("put aside"),
            MachinePhase::Up if idle && held > k::MIN_CHARGE_MS => Some("idle"),
            _ => None,
        }
    }
}

/// Whether most machines that were up have fallen silent together: more likely this node's
/// trouble than theirs, and another node may be on the side of a cut where they are. (A leader
/// that had lost only the workers once returned every machine.)
fn lost_touch(leader: &super::Leader, now: Ms, quiet_ms: Ms) -> bool {
    let up = || {
        leader
            .machines
            .values()
            .filter(|m| m.phase == MachinePhase::Up)
    };
    let heard = up()
        .filter(|m| now.saturating_sub(m.seen) <= quiet_ms)
        .count();
    up().count() >= 2 && heard * 2 < up().count()
}
