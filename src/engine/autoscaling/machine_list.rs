//! The cloud's list of machines: finds machines that no response to a rental told of, and those
//! that have failed.

use crate::cloud::{CloudCall, CloudError, CloudReply};
use crate::constants;
use crate::engine::Engine;
use crate::engine::context::Context;
use crate::engine::leader::Leader;
use crate::engine::messages::PendingCall;
use crate::engine::retry::Retry;
use crate::model::{Machine, MachineId, MachinePhase, Timestamp};
use crate::wire::cloud::{ListedMachine, MachinePage, MachineState};
use std::time::Duration;

/// How far the cloud's list has been read.
#[derive(Debug, Default)]
pub(super) struct MachineListing {
    retry: Retry,
    /// Whether the list was read to its end at least once in this term.
    complete: bool,
    /// Last machine of the page before; `None` if the next page is the first.
    cursor: Option<String>,
    /// Pages read of the list in progress.
    pages: u32,
}

impl MachineListing {
    /// Whether the list was read to its end at least once in this term.
    pub(super) fn is_complete(&self) -> bool {
        self.complete
    }

    /// The call that reads the next page, if it is due.
    fn next_call(&mut self, now: Timestamp) -> Option<CloudCall> {
        if !self.retry.is_due(now) {
            return None;
        }
        self.retry.begin();
        Some(CloudCall::ListMachines {
            after: self.cursor.clone(),
        })
    }

    fn on_read_failed(&mut self, context: &mut Context) {
        self.retry.record_failure(context);
    }

    /// A page was read; false if the list is given up, and read again some seconds later.
    fn on_page_read(&mut self, page: &MachinePage, now: Timestamp) -> bool {
        if !self.may_end(page) {
            tracing::error!(
                pages = self.pages,
                "machine list abandoned, it does not end or repeats a page"
            );
            self.cursor = None;
            self.pages = 0;
            self.retry
                .record_success(now + constants::MACHINE_LIST_INTERVAL);
            return false;
        }
        let last = page.machines.last().filter(|_| page.has_more);
        self.cursor = last.map(|machine| machine.id.clone());
        // A page alone does not tell what is rented.
        let pause = match self.cursor {
            Some(_) => {
                self.pages += 1;
                Duration::ZERO
            }
            None => {
                self.pages = 0;
                self.complete = true;
                constants::MACHINE_LIST_INTERVAL
            }
        };
        self.retry.record_success(now + pause);
        true
    }

    /// Whether the page follows the one before, and the list may still end.
    fn may_end(&self, page: &MachinePage) -> bool {
        let last = page.machines.last().map(|machine| &machine.id);
        let advances = match &self.cursor {
            Some(before) => last.is_none_or(|last| last > before),
            None => true,
        };
        let within_bound = self.pages < constants::MAX_MACHINE_LIST_PAGES;
        // A page that says that there are more but names none leads nowhere.
        let leads_on = !page.has_more || last.is_some();
        advances && within_bound && leads_on
    }
}

impl Engine {
    /// Asks the cloud for the next page of its list, if that is due.
    pub(super) fn list_machines_when_due(&mut self) {
        let now = self.context.now();
        let Some(leader) = self.leadership.leader_mut() else {
            return;
        };
        if let Some(call) = leader.autoscaling.listing.next_call(now) {
            self.outbox.call_cloud(PendingCall::ListMachines, call);
        }
    }

    /// A page of the cloud's list, or none.
    pub(in crate::engine) fn on_machines_listed(&mut self, result: Result<CloudReply, CloudError>) {
        let now = self.context.now();
        let Some(leader) = self.leadership.leader_mut() else {
            return;
        };
        let listing = &mut leader.autoscaling.listing;
        let Ok(CloudReply::MachinePage(page)) = result else {
            if let Err(error) = result {
                tracing::debug!(%error, "listing machines failed");
            }
            return listing.on_read_failed(&mut self.context);
        };
        if listing.on_page_read(&page, now) {
            for listed in page.machines {
                record_listed_machine(leader, &listed, now);
            }
        }
    }
}

fn record_listed_machine(leader: &mut Leader, listed: &ListedMachine, now: Timestamp) {
    let id = MachineId::from(&*listed.id);
    if leader.was_returned(&id) {
        return;
    }
    let age = Duration::from_millis(
        (listed.age_s.clamp(0.0, constants::MAX_MACHINE_AGE_S) * 1000.0) as u64,
    );
    leader.machines.insert_if_absent(&id, |id| {
        tracing::info!(machine = %id, "machine found in the cloud's list");
        Machine::unidentified(id, listed.spot, now)
    });
    leader.machines.update(&id, |machine| {
        machine.confirmed_by_cloud = true;
        // Whether or not it has sent a heartbeat: one that has is not new either.
        machine.rented_at = machine.rented_at.min(now.saturating_sub(age));
        if machine.machine_type.is_empty() {
            machine.machine_type = listed.machine_type.as_str().into();
            machine.zone = listed.zone.as_str().into();
            machine.spot = listed.spot;
        }
        if listed.state == MachineState::Failed && machine.phase != MachinePhase::Returning {
            tracing::info!(machine = %machine.id, "machine failed");
            machine.phase = MachinePhase::Returning;
        }
    });
}

#[cfg(test)]
mod tests;
