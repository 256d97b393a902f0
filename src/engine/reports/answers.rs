//! Answers of a leader to confirmed reports, with the starts and stops for the machine.

use crate::constants as k;
use crate::engine::{Engine, Reply, ReplyId};
use crate::model::{MachineId, MachinePhase, Ms, SeqNo, Stage, TaskId, Token};
use crate::wire::worker::{Order, Orders};

/// A report that has been worked through and waits for its answer.
#[derive(Debug)]
pub(in crate::engine) struct PendingAnswer {
    to: ReplyId,
    machine: MachineId,
    seq_no: SeqNo,
    /// Orders that follow from the report itself.
    orders: Vec<Order>,
    /// When the report came in, ms.
    since: Ms,
}

impl PendingAnswer {
    pub(super) fn new(
        to: ReplyId,
        machine: MachineId,
        seq_no: SeqNo,
        orders: Vec<Order>,
        since: Ms,
    ) -> Self {
        PendingAnswer {
            to,
            machine,
            seq_no,
            orders,
            since,
        }
    }

    pub(super) fn is_for(&self, machine: &MachineId) -> bool {
        self.machine == *machine
    }
}

impl Engine {
    /// Answers reports at the end of the step that they came in, so that what the step decided
    /// goes with the answer. While a round is about to be planned, or is being written with starts
    /// for the machine, the answer waits for it (some ms): else the starts would wait for the
    /// machine's next report, seconds later. (Each new machine of a day's start lost one report's
    /// interval so: it came up while another round was being written.)
    pub(in crate::engine) fn answer_pending_reports(&mut self) {
        for mut pending in std::mem::take(&mut self.pending_answers) {
            let Some(leader) = self.leader() else {
                self.reply(pending.to, Reply::Unavailable);
                continue;
            };
            let token = leader.token_for(&pending.machine, Token::default()).0;
            let may_wait = self.now < pending.since + k::HOLD_REPORT_MS;
            if may_wait && (self.is_placing() || self.is_planned_on(&pending.machine)) {
                self.pending_answers.push(pending);
                continue;
            }
            let orders = self.starts_and_stops(&pending.machine, pending.seq_no);
            pending.orders.extend(orders);
            let orders = pending.orders;
            self.reply(pending.to, Reply::Orders(Orders { token, orders }));
        }
    }

    /// Whether the round that is being written has a start on the machine.
    fn is_planned_on(&self, machine: &MachineId) -> bool {
        let writing = self.leader().filter(|leader| leader.rounds.is_writing());
        let Some(machine) = writing.and_then(|leader| leader.machines.get(machine)) else {
            return false;
        };
        machine.tasks.iter().any(|task| {
            let placement = self.placement(task);
            placement.is_some_and(|p| p.stage == Stage::Planned)
        })
    }

    /// Starts and stops that this machine has to be told.
    fn starts_and_stops(&mut self, id: &MachineId, seq_no: SeqNo) -> Vec<Order> {
        let lease_valid = self.holds_valid_lease();
        let Some(machine) = self.leader().and_then(|l| l.machines.get(id)) else {
            return Vec::new();
        };
        let may_start = lease_valid && machine.phase == MachinePhase::Up && machine.heard;
        let has_orders = |task: &&TaskId| {
            self.placement(task).is_some_and(|placement| {
                placement.stop.is_some() || matches!(placement.stage, Stage::Starting { .. })
            })
        };
        let tasks: Vec<TaskId> = machine.tasks.iter().filter(has_orders).cloned().collect();
        tasks
            .iter()
            .filter_map(|task| match self.stop_order(task) {
                Some(stop) => Some(stop),
                None if may_start => self.start_order(id, task, seq_no),
                None => None,
            })
            .collect()
    }

    /// The stop of a task that is being stopped.
    fn stop_order(&self, task: &TaskId) -> Option<Order> {
        let placement = self.placement(task)?;
        let stop = placement.stop?;
        Some(Order::Stop {
            task: task.to_string(),
            attempt: placement.attempt,
            grace_s: stop.grace_s,
        })
    }

    /// The start of a task that is not on its machine yet; notes that it was sent.
    fn start_order(&mut self, machine: &MachineId, task: &TaskId, seq_no: SeqNo) -> Option<Order> {
        let job = self.jobs.get_mut(&task.job).filter(|job| job.is_open())?;
        let placement = job.live.get_mut(&task.index)?;
        let Stage::Starting { sent, resends } = placement.stage else {
            return None;
        };
        // A start that an earlier leader may have sent is never sent again.
        if resends == u32::MAX {
            return None;
        }
        let resends = if sent.is_some() { resends + 1 } else { 0 };
        placement.stage = Stage::Starting {
            sent: Some(seq_no),
            resends,
        };
        tracing::debug!(%task, %machine, resends, "start sent");
        Some(Order::Start {
            task: task.to_string(),
            attempt: placement.attempt,
        })
    }
}
