//! Housekeeping of rounds: starts that stall are undone, and records that nobody needs are removed.

use super::Round;
use crate::constants;
use crate::engine::records::{self, ROUNDS};
use crate::engine::{Engine, PendingCall, Retry, Role};
use crate::model::{Job, JobId, Ms, PlacementStage, TaskId};
use crate::store::{StoreCall, StoreError, StoreReply};
use std::collections::BTreeMap;

/// Looks for records of rounds that are over or were given up. A transaction without an answer may
/// be carried out after its round's records were removed; the record that it leaves starts nothing,
/// but would stay until the next leader reads it.
#[derive(Debug, Default)]
pub(super) struct OrphanSearch {
    /// When to begin the next search; none while no transaction is unaccounted for.
    at: Option<Ms>,
    /// When the last transaction without an answer was seen.
    last_unanswered: Ms,
    /// The last key read by the search under way.
    after: Option<String>,
    retry: Retry,
}

impl OrphanSearch {
    /// A transaction has got no answer and may be carried out late.
    pub fn expect(&mut self, now: Ms) {
        self.last_unanswered = now;
        self.at
            .get_or_insert(now + constants::ORPHANED_ROUND_SEARCH_DELAY_MS);
    }

    fn due(&self, now: Ms) -> bool {
        self.at.is_some_and(|at| now >= at) && self.retry.due(now)
    }

    /// All records were read, by a search that began at `self.at`.
    fn finish(&mut self) {
        let again = self.last_unanswered + constants::ORPHANED_ROUND_SEARCH_DELAY_MS;
        self.at = self.at.filter(|began| *began < again).map(|_| again);
        self.after = None;
    }
}

impl Engine {
    /// Undoes starts that stall, and has records of finished rounds removed.
    pub(in crate::engine) fn maintain_rounds(&mut self) {
        self.search_orphaned_rounds();
        let now = self.now;
        let Some(leader) = self.leader_mut() else {
            return;
        };
        if now < leader.rounds.housekeeping_at {
            return;
        }
        leader.rounds.housekeeping_at = now + constants::HOUSEKEEPING_INTERVAL_MS;
        self.close_rounds();
        // A job that had to wait after a failure becomes due by time alone, with no event.
        let waits = |job: &Job| job.is_open() && !job.pending.is_empty();
        let waiting = self.jobs.values().any(waits);
        if let Some(leader) = self.leader_mut() {
            leader.needs_scheduling |= waiting;
        }
        for task in self.stalled_starts() {
            tracing::info!(%task, "start undone before it was sent");
            self.handle_lost_task(&task);
        }
    }

    /// Has the records of rounds removed of which nothing is left.
    fn close_rounds(&mut self) {
        let Some(leader) = self.leader() else { return };
        let open = leader.rounds.open.iter();
        let over = open.filter(|(number, round)| !is_needed(&self.jobs, **number, round));
        let over: Vec<u64> = over.map(|(number, _)| *number).collect();
        let Some(leader) = self.leader_mut() else {
            return;
        };
        for number in over {
            let round = leader.rounds.open.remove(&number);
            for part in round.into_iter().flat_map(|round| round.parts) {
                leader.completions.remove(part.key);
            }
        }
    }

    /// A start that was never sent, because its machine does not report, can be undone at once; one
    /// that was sent stays until the machine's answer proves where it is.
    fn stalled_starts(&self) -> Vec<TaskId> {
        let (now, stall) = (self.now, 3 * self.timing.heartbeat_interval);
        let mut stalled = Vec::new();
        for (id, job) in &self.jobs {
            for (index, placement) in &job.placements {
                let unsent = matches!(placement.stage, PlacementStage::Starting { sent: None, .. });
                let late = now.saturating_sub(placement.stage_since) > stall;
                if unsent && (late || placement.stop_request.is_some()) {
                    stalled.push(TaskId {
                        job: id.clone(),
                        index: *index,
                    });
                }
            }
        }
        stalled
    }

    /// Reads the next page of the rounds' records, if a search for orphaned ones is due.
    fn search_orphaned_rounds(&mut self) {
        let now = self.now;
        let Some(leader) = self.leader_mut() else {
            return;
        };
        let search = &mut leader.rounds.orphans;
        if !search.due(now) {
            return;
        }
        search.retry.busy = true;
        let call = StoreCall::List {
            prefix: ROUNDS.into(),
            after: search.after.clone(),
        };
        self.call_store(PendingCall::ListOrphanedRounds, call);
    }

    pub(in crate::engine) fn on_rounds_listed(&mut self, result: Result<StoreReply, StoreError>) {
        let now = self.now;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let search = &mut leader.rounds.orphans;
        let Ok(StoreReply::Listing(page)) = result else {
            return search.retry.failed(now, &mut self.rng);
        };
        search.retry.worked(now);
        search.after = page.items.last().map(|item| item.key.clone());
        if !page.has_more || search.after.is_none() {
            search.finish();
        }
        let term = leader.term;
        for item in page.items {
            // Other leaders' rounds were read when this one began, or could not be read.
            let number = records::round_of_key(&item.key);
            let number = number.filter(|number| number >> constants::ROUND_BITS == term);
            if number.is_some_and(|number| !leader.rounds.knows(number)) {
                tracing::info!(key = item.key, "orphaned record of a round is removed");
                leader.completions.remove(item.key);
            }
        }
    }
}

/// Whether a round has a start that may be live, or whose end is not on record.
fn is_needed(jobs: &BTreeMap<JobId, Job>, number: u64, round: &Round) -> bool {
    round.starts().any(|group| {
        let Some(job) = jobs.get(&group.job) else {
            return false;
        };
        group.tasks.iter().any(|index| {
            let placements = job
                .placements
                .get(index)
                .is_some_and(|p| p.attempt == number);
            placements
                || (job.completed.contains(*index) && !job.durable_completions.contains(*index))
        })
    })
}
