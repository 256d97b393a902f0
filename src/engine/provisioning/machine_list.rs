//! The cloud's list of machines: finds machines that no answer of a rental told of, and those that
//! have failed.

use super::Provisioning;
use crate::cloud::{CloudCall, CloudError, CloudReply};
use crate::constants as k;
use crate::engine::{Engine, Leader, Op, Role};
use crate::model::{Machine, MachineId, MachinePhase, Ms};
use crate::wire::cloud::{ListedMachine, MachineList, MachineState};

impl Engine {
    /// Asks the cloud for the next page of its list, if that is due.
    pub(super) fn list_machines_when_due(&mut self) {
        let now = self.now;
        let Some(provisioning) = self.leader_mut().map(|l| &mut l.provisioning) else {
            return;
        };
        if provisioning.list.due(now) {
            provisioning.list.busy = true;
            let after = provisioning.list_cursor.clone();
            self.cloud(Op::Machines, CloudCall::List { after });
        }
    }

    /// A page of the cloud's list.
    pub(in crate::engine) fn on_machines(&mut self, result: Result<CloudReply, CloudError>) {
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
        let provisioning = &mut leader.provisioning;
        if !provisioning.goes_on(&list) {
            tracing::error!(
                pages = provisioning.list_pages,
                "the cloud's machine list does not end, or repeats a page: read again later"
            );
            provisioning.list_cursor = None;
            provisioning.list_pages = 0;
            provisioning.list.worked(now + k::LIST_EVERY_MS);
            return;
        }
        let more = list.machines.last().filter(|_| list.more);
        provisioning.list_cursor = more.map(|last| last.id.clone());
        provisioning.list_pages = more.map_or(0, |_| provisioning.list_pages + 1);
        // A page alone does not tell what is rented.
        provisioning.list_complete |= more.is_none();
        let pause = if more.is_some() { 0 } else { k::LIST_EVERY_MS };
        provisioning.list.worked(now + pause);
        for listed in list.machines {
            note_listed_machine(leader, &listed, now);
        }
    }
}

impl Provisioning {
    /// Whether the page follows the one before, and the list may still end.
    fn goes_on(&self, list: &MachineList) -> bool {
        let last = list.machines.last().map(|machine| &machine.id);
        let advances = match &self.list_cursor {
            Some(before) => last.is_none_or(|last| last > before),
            None => true,
        };
        let within_bound = self.list_pages < k::MACHINE_PAGES_MOST;
        // A page that says that there are more but names none leads nowhere.
        let leads_on = !list.more || last.is_some();
        advances && within_bound && leads_on
    }
}

fn note_listed_machine(leader: &mut Leader, listed: &ListedMachine, now: Ms) {
    let id = MachineId::from(&*listed.id);
    if leader.gone.get(&id).is_some() {
        return;
    }
    let age_ms = (listed.age_s.clamp(0.0, 1e9) * 1000.0) as u64;
    leader.machines.insert_if_absent(&id, |id| {
        tracing::info!(machine = %id, "machine found in the list");
        Machine::new(id, "".into(), "".into(), listed.spot, now)
    });
    leader.machines.update(&id, |machine| {
        machine.vouched = true;
        // Whether or not it has reported: one that has is not new either.
        machine.rented = machine.rented.min(now.saturating_sub(age_ms));
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
