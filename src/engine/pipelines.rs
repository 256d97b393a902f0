//! Jobs that wait for others to be done. They are kept apart from those that can run, so that they
//! hold nothing, preempt nobody and have nothing rented for them.
//!
//! What a job awaits is in its own record. That all of it is done follows from final records, which
//! never change; the leader then takes the names out of the record, on condition of its leadership and
//! of the record's version, and only that makes the job one that a round may start. That one is
//! cancelled follows from the records of those that it needs, at any node, with no second write.

use super::records::{self, JobRecord};
use super::{Engine, Op, Reply, ReplyId, Retry};
use crate::constants as k;
use crate::model::dependencies::{self, Awaited, Standing, Waiting};
use crate::model::{Job, JobId, Ms, Phase, Spec};
use crate::store::{StoreCall, StoreError, StoreReply};
use crate::wire::store::Txn;
use crate::wire::user::JobState;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Debug)]
struct Step {
    record: JobRecord,
    version: u64,
    spec: Spec,
    awaits: Vec<JobId>,
    standing: Standing,
}

/// A question that waits for news from the state service newer than itself.
#[derive(Debug)]
struct Asked {
    job: JobId,
    reply: ReplyId,
    at: Ms,
    /// Refreshes begun before it.
    refreshes: u64,
}

#[derive(Debug, Default)]
pub(super) struct Pipelines {
    steps: BTreeMap<JobId, Step>,
    /// Final states of jobs that steps name, as written or read here.
    ends: BTreeMap<JobId, JobState>,
    /// Reads of the others.
    reads: BTreeMap<JobId, Retry>,
    changed: bool,
    asked: Vec<Asked>,
    refreshes: u64,
    refreshing: bool,
    refresh_at: Ms,
}

impl Pipelines {
    pub fn version(&self, id: &JobId) -> Option<u64> {
        self.steps.get(id).map(|step| step.version)
    }

    pub fn ids(&self) -> impl Iterator<Item = &JobId> {
        self.steps.keys()
    }

    pub fn put(&mut self, id: JobId, record: JobRecord, version: u64) {
        let step = Step {
            spec: Spec::read(&record.job),
            awaits: record.job.awaits.iter().map(|a| (&**a).into()).collect(),
            record,
            version,
            standing: Standing::Unknown,
        };
        self.steps.insert(id, step);
        self.changed = true;
    }

    /// The record of the job is another one now, or gone.
    pub fn remove(&mut self, id: &JobId) {
        self.changed |= self.steps.remove(id).is_some();
    }

    /// Something that steps may depend on has changed.
    pub fn mark_changed(&mut self) {
        self.changed |= !self.steps.is_empty();
    }

    /// The job's end is durable.
    pub fn note_end(&mut self, id: &JobId, state: JobState) {
        if !self.steps.is_empty() {
            self.ends.insert(id.clone(), state);
            self.changed = true;
        }
    }
}

/// Adds to a transaction what a step's standing asks for: the record of a job that may start, or
/// the end of one that is cancelled with another.
pub(super) fn write_step(pipelines: &Pipelines, id: &JobId, wall: u64, txn: Txn) -> Txn {
    let Some(step) = pipelines.steps.get(id) else {
        return txn;
    };
    match step.standing {
        Standing::Ready => {
            let live = records::job_key(&id.0);
            let record = step.record.clone().ready(wall);
            txn.when(&live, step.version)
                .put(live, records::job_value(&record))
        }
        Standing::Cancelled => {
            let tasks = step.record.job.tasks;
            records::end(txn, &id.0, step.version, JobState::Cancelled, tasks)
        }
        Standing::Waits | Standing::Unknown => txn,
    }
}

impl Engine {
    /// Works out how all steps stand, if something has changed.
    pub(super) fn judge_steps(&mut self) {
        if !std::mem::take(&mut self.pipelines.changed) {
            return;
        }
        let steps = &self.pipelines.steps;
        let waiting: Waiting<'_> = steps.iter().map(|(id, s)| (id, &*s.awaits)).collect();
        let order = dependencies::standings(&waiting, |id| self.awaited(id));
        let worth = |id: &JobId| {
            let step = steps.get(id)?;
            let due = step.spec.due(step.record.at_ms);
            Some((step.spec.priority, due))
        };
        let lent = dependencies::lend(&waiting, &order, worth, |a, b| (a.0.max(b.0), a.1.min(b.1)));
        let named = || steps.values().flat_map(|s| &s.awaits);
        let unknown =
            named().filter(|id| !steps.contains_key(*id) && self.awaited(id) == Awaited::Unknown);
        let unknown: BTreeSet<JobId> = unknown.cloned().collect();
        let mut ends = BTreeMap::new();
        for id in named() {
            if let Some(state) = self.pipelines.ends.get(id) {
                ends.insert(id.clone(), *state);
            }
        }
        let order: Vec<(JobId, Standing)> =
            order.into_iter().map(|(id, s)| (id.clone(), s)).collect();
        for (id, job) in &mut self.jobs {
            job.needed = lent.get(id).copied();
        }
        let pipelines = &mut self.pipelines;
        pipelines.ends = ends;
        pipelines.reads.retain(|id, _| unknown.contains(id));
        for id in unknown {
            pipelines.reads.entry(id).or_default();
        }
        let loaded = self.leader().is_some_and(|l| l.loading.is_none());
        for (id, standing) in order {
            if let Some(step) = self.pipelines.steps.get_mut(&id) {
                step.standing = standing;
            }
            if loaded
                && matches!(standing, Standing::Ready | Standing::Cancelled)
                && let Some(leader) = self.leader_mut()
            {
                leader.ends.note_step(&id);
            }
        }
        if let Some(leader) = self.leader_mut() {
            leader.dirty = true;
        }
    }

    /// What is known of a job that is no step.
    fn awaited(&self, id: &JobId) -> Awaited {
        match (self.pipelines.ends.get(id), self.jobs.get(id)) {
            (Some(JobState::Done), _) => Awaited::Done,
            (Some(JobState::Cancelled), _) => Awaited::Cancelled,
            (_, Some(job)) if job.phase == Phase::Cancelled => Awaited::Cancelled,
            (_, Some(_)) => Awaited::Open,
            _ if self.unreadable.contains(&records::job_key(&id.0)) => Awaited::Open,
            _ => Awaited::Unknown,
        }
    }

    /// What [`write_step`] asked for is durable.
    pub(super) fn on_step_written(&mut self, id: &JobId, revision: u64) {
        let Some(step) = self.pipelines.steps.remove(id) else {
            return;
        };
        self.pipelines.changed = true;
        match step.standing {
            Standing::Cancelled => self.pipelines.note_end(id, JobState::Cancelled),
            // Some ms after the time that was written: near enough for the order of jobs.
            _ => self.admit(id, &step.record.ready(self.wall), revision),
        }
    }

    /// A job that can run, seen for the first time.
    pub(super) fn admit(&mut self, id: &JobId, record: &JobRecord, version: u64) {
        let spec = Spec::read(&record.job);
        tracing::debug!(job = %id, class = %spec.class, tasks = spec.tasks, "job seen");
        let ready = record.ready_ms.unwrap_or(record.at_ms);
        self.arrivals.note(ready, id, &spec);
        let mut job = Job::new(spec, version, record.at_ms, Phase::Open, self.now);
        job.ready = ready;
        self.jobs.insert(id.clone(), job);
        self.pipelines.mark_changed();
    }

    /// Reads what is not known, and has what is known made fresh for those who ask.
    pub(super) fn advance_pipelines(&mut self) {
        let now = self.now;
        self.judge_steps();
        let reads = &mut self.pipelines.reads;
        let busy = reads.values().filter(|read| read.busy).count();
        let due = reads.iter_mut().filter(|(_, read)| read.due(now));
        let free = k::END_READS.saturating_sub(busy);
        let due: Vec<JobId> = due
            .take(free)
            .map(|(id, read)| {
                read.busy = true;
                id.clone()
            })
            .collect();
        for job in due {
            let key = records::final_key(&job.0);
            self.store(Op::End { job }, StoreCall::Get { key });
        }
        let pipelines = &mut self.pipelines;
        let fresh = |asked: &Asked| asked.refreshes < pipelines.refreshes;
        let waits = pipelines.asked.iter().any(|asked| !fresh(asked));
        if waits && !pipelines.refreshing && now >= pipelines.refresh_at {
            let Some(after) = self.revision else {
                return self.answer_asked(|_| true);
            };
            pipelines.refreshing = true;
            pipelines.refresh_at = now + k::REFRESH_EVERY_MS;
            let call = StoreCall::Watch {
                prefix: records::LIVE.into(),
                after,
                wait_ms: 0,
            };
            self.store(Op::Refresh { sent: now, after }, call);
        }
        self.answer_asked(|asked| now > asked.at + k::ASKED_MOST_MS);
    }

    pub(super) fn on_end_read(&mut self, job: &JobId, result: Result<StoreReply, StoreError>) {
        let now = self.now;
        let record = match result {
            Ok(StoreReply::Got(Some(item))) => records::read_final(item.value),
            _ => None,
        };
        match (record, self.pipelines.reads.get_mut(job)) {
            (Some(record), _) => {
                self.pipelines.reads.remove(job);
                self.pipelines.note_end(job, record.state);
            }
            // Its live record is on its way here, or the state service can't be asked.
            (None, Some(read)) => read.failed(now, &mut self.rng),
            (None, None) => {}
        }
    }

    pub(super) fn on_asked(&mut self, job: JobId, reply: ReplyId) {
        if self.pipelines.asked.len() >= k::USER_CALLS {
            return self.reply(reply, Reply::Unavailable);
        }
        self.pipelines.asked.push(Asked {
            job,
            reply,
            at: self.now,
            refreshes: self.pipelines.refreshes + u64::from(self.pipelines.refreshing),
        });
    }

    pub(super) fn on_refreshed(
        &mut self,
        sent: Ms,
        after: u64,
        result: Result<StoreReply, StoreError>,
    ) {
        self.pipelines.refreshing = false;
        // If the records are being listed anew, or were, the changes may not join what is known.
        let joins = self.revision.is_some_and(|known| known >= after);
        match result {
            Ok(StoreReply::Changed(changes)) if joins => {
                self.apply_changes(sent, changes);
                self.pipelines.refreshes += 1;
                self.judge_steps();
                self.answer_asked(|_| false);
            }
            _ => self.answer_asked(|_| true),
        }
    }

    /// Answers those whose jobs' standing is known by news newer than the question, and tells the
    /// others that it is not if `give_up` says so.
    fn answer_asked(&mut self, give_up: impl Fn(&Asked) -> bool) {
        let mut rest = Vec::new();
        for asked in std::mem::take(&mut self.pipelines.asked) {
            let fresh = asked.refreshes < self.pipelines.refreshes;
            let step = self.pipelines.steps.get(&asked.job);
            let known = match step.map(|step| step.standing) {
                _ if !fresh => None,
                Some(Standing::Unknown) => None,
                Some(Standing::Cancelled) => Some(Reply::Step(Some(JobState::Cancelled))),
                Some(_) => Some(Reply::Step(Some(JobState::Queued))),
                None => Some(Reply::Step(None)),
            };
            match known {
                Some(answer) => self.reply(asked.reply, answer),
                None if give_up(&asked) => self.reply(asked.reply, Reply::Unavailable),
                None => rest.push(asked),
            }
        }
        self.pipelines.asked = rest;
    }

    /// Those of the jobs that are not known here to have been accepted.
    pub(super) fn on_named(&mut self, jobs: Vec<JobId>, reply: ReplyId) {
        let accepted = |id: &JobId| {
            self.pipelines.steps.contains_key(id) || self.awaited(id) != Awaited::Unknown
        };
        let unknown = jobs.into_iter().filter(|id| !accepted(id)).collect();
        self.reply(reply, Reply::NotKnown(unknown));
    }
}
