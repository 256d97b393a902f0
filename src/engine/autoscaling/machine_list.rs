//! Reads the cloud's list of machines, which reveals rented machines that are missing from the
//! responses to rental requests, and machines that have failed.

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

/// Progress in reading the cloud's list of machines.
#[derive(Debug, Default)]
pub(super) struct MachineListing {
    retry: Retry,
    /// Whether the list was read to the end at least once in this term.
    complete: bool,
    /// Last machine of the previous page; `None` if the next page is the first.
    cursor: Option<String>,
    /// Pages read so far in the current pass over the list.
    pages: u32,
}

impl MachineListing {
    /// Reports whether the list was read to the end at least once in this term.
    pub(super) fn is_complete(&self) -> bool {
        self.complete
    }

    /// Returns the call that reads the next page, if that read is due, and records that the read
    /// has begun.
    fn next_call(&mut self, now: Timestamp) -> Option<CloudCall> {
        if !self.retry.is_due(now) {
            return None;
        }
        self.retry.begin();
        Some(CloudCall::ListMachines {
            after: self.cursor.clone(),
        })
    }

    /// Records that reading a page failed, and schedules a retry.
    fn on_read_failed(&mut self, context: &mut Context) {
        self.retry.record_failure(context);
    }

    /// Records that a page was read. Returns false if the list is abandoned; it is read again from
    /// the start after [`constants::MACHINE_LIST_INTERVAL`], a few seconds.
    fn on_page_read(&mut self, page: &MachinePage, now: Timestamp) -> bool {
        if !self.is_valid_continuation(page) {
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
        // A single page does not show all rented machines, so the next page is read without a
        // pause.
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

    /// Reports whether the page continues from the previous one and the list can still end within
    /// [`constants::MAX_MACHINE_LIST_PAGES`].
    fn is_valid_continuation(&self, page: &MachinePage) -> bool {
        let last = page.machines.last().map(|machine| &machine.id);
        let advances_cursor = match &self.cursor {
            Some(previous) => last.is_none_or(|last| last > previous),
            None => true,
        };
        let is_within_page_limit = self.pages < constants::MAX_MACHINE_LIST_PAGES;
        // A page that announces more machines but lists none gives no cursor for the next page.
        let has_next_cursor = !page.has_more || last.is_some();
        advances_cursor && is_within_page_limit && has_next_cursor
    }
}

impl Engine {
    /// Requests the next page of the cloud's list, if that is due.
    pub(super) fn list_machines_when_due(&mut self) {
        let now = self.context.now();
        let Some(leader) = self.leadership.leader_mut() else {
            return;
        };
        if let Some(call) = leader.autoscaling.listing.next_call(now) {
            self.outbox.call_cloud(PendingCall::ListMachines, call);
        }
    }

    /// Handles the outcome of reading a page of the cloud's list.
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

/// Records a machine from the cloud's list: adds an unknown machine, fills in missing details, and
/// marks a failed machine as returning.
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
        // The age applies whether or not the machine has sent a heartbeat: a machine that has sent
        // one may also have been rented long ago.
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
