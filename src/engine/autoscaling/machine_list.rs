//! The cloud's list of machines: finds machines that no answer of a rental told of, and those that
//! have failed.

use super::Autoscaling;
use crate::cloud::{CloudCall, CloudError, CloudReply};
use crate::constants;
use crate::engine::{Engine, Leader, PendingCall, Role};
use crate::model::{Machine, MachineId, MachinePhase, Ms};
use crate::wire::cloud::{ListedMachine, MachinePage, MachineState};

impl Engine {
    /// Asks the cloud for the next page of its list, if that is due.
    pub(super) fn list_machines_when_due(&mut self) {
        let now = self.now;
        let Some(autoscaling) = self.leader_mut().map(|l| &mut l.autoscaling) else {
            return;
        };
        if autoscaling.list.due(now) {
            autoscaling.list.busy = true;
            let after = autoscaling.list_cursor.clone();
            self.call_cloud(PendingCall::ListMachines, CloudCall::ListMachines { after });
        }
    }

    /// A page of the cloud's list.
    pub(in crate::engine) fn on_machines(&mut self, result: Result<CloudReply, CloudError>) {
        let now = self.now;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Ok(CloudReply::MachinePage(list)) = result else {
            if let Err(e) = result {
                tracing::debug!("machine list: {e}");
            }
            leader.autoscaling.list.failed(now, &mut self.rng);
            return;
        };
        let autoscaling = &mut leader.autoscaling;
        if !autoscaling.goes_on(&list) {
            tracing::error!(
                pages = autoscaling.list_pages,
                "the cloud's machine list does not end, or repeats a page: read again later"
            );
            autoscaling.list_cursor = None;
            autoscaling.list_pages = 0;
            autoscaling
                .list
                .worked(now + constants::MACHINE_LIST_INTERVAL_MS);
            return;
        }
        let more = list.machines.last().filter(|_| list.has_more);
        autoscaling.list_cursor = more.map(|last| last.id.clone());
        autoscaling.list_pages = more.map_or(0, |_| autoscaling.list_pages + 1);
        // A page alone does not tell what is rented.
        autoscaling.list_complete |= more.is_none();
        let pause = if more.is_some() {
            0
        } else {
            constants::MACHINE_LIST_INTERVAL_MS
        };
        autoscaling.list.worked(now + pause);
        for listed in list.machines {
            note_listed_machine(leader, &listed, now);
        }
    }
}

impl Autoscaling {
    /// Whether the page follows the one before, and the list may still end.
    fn goes_on(&self, list: &MachinePage) -> bool {
        let last = list.machines.last().map(|machine| &machine.id);
        let advances = match &self.list_cursor {
            Some(before) => last.is_none_or(|last| last > before),
            None => true,
        };
        let within_bound = self.list_pages < constants::MAX_MACHINE_LIST_PAGES;
        // A page that says that there are more but names none leads nowhere.
        let leads_on = !list.has_more || last.is_some();
        advances && within_bound && leads_on
    }
}

fn note_listed_machine(leader: &mut Leader, listed: &ListedMachine, now: Ms) {
    let id = MachineId::from(&*listed.id);
    if leader.returned_machines.get(&id).is_some() {
        return;
    }
    let age_ms = (listed.age_s.clamp(0.0, 1e9) * 1000.0) as u64;
    leader.machines.insert_if_absent(&id, |id| {
        tracing::info!(machine = %id, "machine found in the list");
        Machine::new(id, "".into(), "".into(), listed.spot, now)
    });
    leader.machines.update(&id, |machine| {
        machine.confirmed_by_cloud = true;
        // Whether or not it has reported: one that has is not new either.
        machine.rented_at = machine.rented_at.min(now.saturating_sub(age_ms));
        if machine.machine_type.is_empty() {
            machine.machine_type = listed.machine_type.as_str().into();
            machine.zone = listed.zone.as_str().into();
            machine.spot = listed.spot;
        }
        if listed.state == MachineState::Failed && machine.phase != MachinePhase::Returning {
            tracing::info!(machine = %machine.id, "machine has failed");
            machine.phase = MachinePhase::Returning;
        }
    });
}
