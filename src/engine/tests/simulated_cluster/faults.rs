//! Faults that tests inject into the simulation.

use super::Millis;
use crate::wire::worker::ExitReason;
use std::collections::{BTreeMap, BTreeSet};

/// A fault in the cloud's machine lists.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum MachineListFault {
    /// The lists are correct.
    #[default]
    None,
    /// Every request returns the first page, marked as having more pages after it.
    FirstPageRepeated,
    /// Every page is marked as having more pages after it, and contains a machine that was never
    /// rented.
    Endless,
    /// Each page contains each of its machines twice.
    DuplicateEntries,
}

/// The faults that are in effect. The default is none.
#[derive(Default)]
pub(crate) struct Faults {
    /// The state service refuses the calls of all nodes with status 503, and no lease expires.
    pub(crate) store_unavailable: bool,
    /// Nodes whose calls the state service refuses with status 503.
    pub(crate) nodes_without_store: BTreeSet<usize>,
    /// If this is n and not 0, every nth commit is executed but its reply is lost.
    pub(crate) lose_commit_reply_every: u64,
    /// Nodes and machines can't reach those of the other zone.
    pub(crate) zones_partitioned: bool,
    /// Machines whose worker sends nothing, executes no command, and whose tasks make no progress.
    pub(crate) hung_machines: BTreeSet<String>,
    /// Machines on which every task fails.
    pub(crate) failing_machines: BTreeSet<String>,
    /// Machines that can't communicate with any node but keep running.
    pub(crate) unreachable_machines: BTreeSet<String>,
    /// Preemption notices that machines report in their heartbeats, in seconds, by machine.
    pub(crate) preemption_notices: BTreeMap<String, f64>,
    /// Exit reasons with which tasks exit instead of running, by job id.
    pub(crate) forced_exits: BTreeMap<String, ExitReason>,
    /// Running tasks that are stopped save a checkpoint first, which takes the checkpoint cost of
    /// their job.
    pub(crate) save_checkpoints: bool,
    /// Time for which the tasks of a gang wait for each other before they run.
    pub(crate) gang_wait: Millis,
    /// Jobs whose tasks fail on every machine.
    pub(crate) failing_jobs: BTreeSet<String>,
    /// All calls to the cloud fail.
    pub(crate) cloud_unavailable: bool,
    /// Machines whose heartbeats arrive but which receive neither replies nor direct commands.
    pub(crate) machines_without_replies: BTreeSet<String>,
    /// Nodes that can neither send announcements to their peers nor receive any.
    pub(crate) nodes_without_peers: BTreeSet<usize>,
    /// Additional time before the state service executes a call other than a watch. The call is
    /// executed even if the caller's process has ended in the meantime.
    pub(crate) store_delay: Millis,
    /// Maximum number of machines that the cloud has in each zone. `None` means no limit.
    pub(crate) zone_capacity: Option<usize>,
    /// Nodes that can't communicate with any worker.
    pub(crate) nodes_without_workers: BTreeSet<usize>,
    /// If this is n and not 0, every nth commit gets no reply and is executed 2 to 12 s later,
    /// after newer commits.
    pub(crate) delay_commit_every: u64,
    /// The next commit that writes a key with this prefix gets no reply and is executed 12 s later.
    pub(crate) delay_next_write: Option<&'static str>,
    /// Machines whose heartbeats reach no node, although direct commands reach the machine.
    pub(crate) machines_without_heartbeats: BTreeSet<String>,
    /// All direct commands to machines are lost.
    pub(crate) lose_direct_commands: bool,
    /// If this is n and not 0, a duplicate of every nth heartbeat arrives at all nodes 2 to 38 s
    /// later.
    pub(crate) duplicate_heartbeat_every: u64,
    /// Additional time that calls to the state service, except watches, take to arrive, by calling
    /// node.
    pub(crate) store_call_delay: BTreeMap<usize, Millis>,
    /// Additional time that replies to watches take, by receiving node.
    pub(crate) watch_delay: BTreeMap<usize, Millis>,
    /// The state service refuses to list progress and round records.
    pub(crate) refuse_record_lists: bool,
    /// The fault in the cloud's machine lists.
    pub(crate) machine_list: MachineListFault,
    /// Additional time between the creation of a machine list by the cloud and its arrival.
    pub(crate) machine_list_delay: Millis,
    /// Additional time that replies of the state service take, except replies to watches, by
    /// receiving node.
    pub(crate) store_reply_delay: BTreeMap<usize, Millis>,
    /// Maximum random latency added to each message independently, so that messages can arrive out
    /// of order. It must not exceed 700 ms, so that a call and its reply stay within all timeouts.
    pub(crate) max_jitter: Millis,
}
