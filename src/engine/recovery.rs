//! What a new leader reads before it acts: finished tasks of arrays, then open rounds.
//!
//! A start in an open round may be on its machine, may still reach it, or may be over. It counts
//! as placed until the machine, having seen this leader's token, reports without it.

use super::records::{self, ROUNDS, RoundRecord, WORK, WorkRecord};
use super::{Engine, Op, Role};
use crate::model::{JobId, Machine, MachineId, Placement, Stage, Tally, TaskId};
use crate::store::{StoreCall, StoreError, StoreReply};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Part {
    Work,
    Rounds,
}

impl Engine {
    pub(super) fn load(&mut self, part: Part, after: Option<String>) {
        let prefix = match part {
            Part::Work => WORK,
            Part::Rounds => ROUNDS,
        };
        let call = StoreCall::List {
            prefix: prefix.into(),
            after,
        };
        self.store(Op::Load { part }, call);
    }

    pub(super) fn on_loaded(&mut self, part: Part, result: Result<StoreReply, StoreError>) {
        if self.leader().is_none() {
            return;
        }
        let page = match result {
            Ok(StoreReply::Listed(page)) => page,
            other => {
                // Without the records nothing can be decided: another node may fare better.
                let why = other
                    .err()
                    .map_or("unexpected answer".into(), |e| e.to_string());
                return self.step_down(&format!("records could not be read: {why}"));
            }
        };
        let last = page.items.last().map(|item| item.key.clone());
        for item in page.items {
            let read = match part {
                Part::Work => {
                    records::read(item.value).and_then(|r| self.recover_work(&item.key, r))
                }
                Part::Rounds => {
                    records::read(item.value).and_then(|r| self.recover_round(&item.key, r))
                }
            };
            if read.is_none() {
                tracing::error!(key = item.key, "record can't be read, left alone");
            }
        }
        if page.more && last.is_some() {
            return self.load(part, last);
        }
        if part == Part::Work {
            if let Some(leader) = self.leader_mut() {
                leader.loading = Some(Part::Rounds);
            }
            return self.load(Part::Rounds, None);
        }
        if let Role::Leader(leader) = &mut self.role {
            for (id, job) in &self.jobs {
                for (index, placement) in &job.live {
                    if let Some(machine) = leader.machines.get_mut(&placement.machine) {
                        machine.tasks.insert(TaskId {
                            job: id.clone(),
                            index: *index,
                        });
                    }
                }
            }
        }
        let placed: usize = self.jobs.values().map(|j| j.live.len()).sum();
        tracing::info!(jobs = self.jobs.len(), placed, "records read");
        if let Some(leader) = self.leader_mut() {
            leader.loading = None;
        }
        let ids: Vec<JobId> = self.jobs.keys().cloned().collect();
        for id in ids {
            self.settle_job(&id);
        }
    }

    fn recover_work(&mut self, key: &str, record: WorkRecord) -> Option<()> {
        let (id, chunk) = records::work_of_key(key)?;
        let Some(job) = self.jobs.get_mut(&id) else {
            // Its job is over; the leader that ended it did not get to this.
            if let Some(leader) = self.leader_mut() {
                leader.ends.remove(key.to_owned());
            }
            return Some(());
        };
        job.written.add_chunk(chunk, &record.done, job.spec.tasks)?;
        let done: Vec<u32> = job.written.iter().collect();
        for index in done {
            job.complete(index);
        }
        Some(())
    }

    fn recover_round(&mut self, key: &str, record: RoundRecord) -> Option<()> {
        let number = records::round_of_key(key)?;
        let now = self.now;
        let mut starts = Vec::new();
        for (id, machine, tasks) in record.starts {
            let (id, machine) = (JobId::from(&*id), MachineId::from(&*machine));
            for index in &tasks {
                self.recover_start(&id, &machine, *index, number);
            }
            starts.push((id, machine, tasks));
        }
        let leader = self.leader_mut()?;
        for (_, machine, _) in &starts {
            leader.machines.get_or_insert_with(machine.clone(), |id| {
                // Type and zone follow with its first report.
                Machine::new(id, "".into(), "".into(), false, now)
            });
        }
        let round = leader.rounds.open.entry(number).or_default();
        round.starts.extend(starts);
        round.keys.push(key.to_owned());
        Some(())
    }

    /// The highest attempt of a task is the one that may be live: before a later round was
    /// written, the earlier attempt was surely gone.
    fn recover_start(&mut self, id: &JobId, machine: &MachineId, index: u32, attempt: u64) {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let older = job.live.get(&index).is_some_and(|p| p.attempt > attempt);
        if older || index >= job.spec.tasks || job.done.contains(index) {
            return;
        }
        job.pending.remove(index);
        let placement = Placement {
            machine: machine.clone(),
            attempt,
            stage: Stage::Starting {
                sent: Some(Tally::default()),
                resends: u32::MAX,
            },
            since: now,
            stop: None,
        };
        job.live.insert(index, placement);
        if !job.is_open() {
            job.stop_all(0, now);
        }
    }
}
