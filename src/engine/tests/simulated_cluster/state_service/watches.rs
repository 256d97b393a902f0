//! Watches: long polls for changes to keys with a prefix.

use super::super::events::Event;
use super::super::nodes::Caller;
use super::super::{Millis, SimulatedCluster};
use super::StateService;
use crate::constants;
use crate::engine::Command;
use crate::store::{StoreError, StoreReply};
use crate::wire::store::{Changes, WatchEvent};

/// A watch that has not been answered yet.
pub(in super::super) struct Watch {
    pub(in super::super) caller: Caller,
    pub(in super::super) prefix: String,
    /// Only changes with a higher revision are reported.
    pub(in super::super) after: u64,
    /// The time at which the watch is answered even if there is no change.
    pub(in super::super) deadline: Millis,
}

fn key_of(event: &WatchEvent) -> &str {
    match event {
        WatchEvent::Put { key, .. } | WatchEvent::Delete { key, .. } => key,
    }
}

impl StateService {
    /// Returns the changes that the watch has to report, oldest first.
    fn changes_for(&self, watch: &Watch) -> Vec<WatchEvent> {
        let first_new = self
            .log
            .partition_point(|change| change.revision <= watch.after);
        let events = self.log[first_new..].iter().map(|change| &change.event);
        let watched = events.filter(|event| key_of(event).starts_with(&watch.prefix));
        watched.cloned().collect()
    }
}

impl SimulatedCluster {
    /// Adds a watch, and answers it immediately if there are changes to report.
    pub(in super::super) fn begin_watch(&mut self, watch: Watch) {
        self.store.watches.push(watch);
        self.serve_watches();
    }

    /// Answers the watches that have changes to report and those whose deadline has passed.
    pub(super) fn serve_watches(&mut self) {
        let mut waiting = Vec::new();
        for watch in std::mem::take(&mut self.store.watches) {
            let Some(result) = self.watch_result(&watch) else {
                waiting.push(watch);
                continue;
            };
            let command = Command::StoreCallCompleted {
                call_id: watch.caller.call_id,
                result,
            };
            let process = watch.caller.process;
            let watch_delay = self.faults.watch_delay.get(&process.node).copied();
            let delay = self.next_latency() + watch_delay.unwrap_or(0);
            self.schedule(delay, Event::Command { process, command });
        }
        self.store.watches = waiting;
    }

    /// Returns the result of a watch, or `None` if the watch has to wait. A watch also waits while
    /// the state service refuses calls of its node.
    fn watch_result(&self, watch: &Watch) -> Option<Result<StoreReply, StoreError>> {
        let slack = constants::WATCH_SLACK.as_millis() as Millis;
        if self.now >= watch.deadline + slack {
            // The caller has timed out.
            return Some(Err(StoreError::UnknownOutcome("no answer".into())));
        }
        let node = watch.caller.process.node;
        if self.faults.store_unavailable || self.faults.nodes_without_store.contains(&node) {
            return None;
        }
        let events = self.store.changes_for(watch);
        if events.is_empty() && self.now < watch.deadline {
            return None;
        }
        let revision = self.store.revision;
        Some(Ok(StoreReply::Changes(Changes { revision, events })))
    }
}
