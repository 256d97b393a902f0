//! The faults of the simulation, injected by the tests.

use super::Millis;
use crate::wire::worker::ExitReason;
use std::collections::{BTreeMap, BTreeSet};

/// What may be wrong with the cloud's machine lists.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum MachineListFault {
    /// Lists are correct.
    #[default]
    None,
    /// Each page is the first one, and says that there are more.
    FirstPageRepeated,
    /// There is always another page, with a machine that nobody rented.
    Endless,
    /// Each page names its machines twice.
    DuplicateEntries,
}

/// The faults that are in effect. By default there are none.
#[derive(Default)]
pub(crate) struct Faults {
    /// The state service answers 503 to all nodes.
    pub(crate) store_unavailable: bool,
    /// The state service answers 503 to these nodes.
    pub(crate) nodes_without_store: BTreeSet<usize>,
    /// Every nth commit is executed, and its reply is lost.
    pub(crate) lose_commit_reply_every: u64,
    /// Zones can't reach each other.
    pub(crate) zones_partitioned: bool,
    /// Machines that send and execute nothing, and make no progress.
    pub(crate) hung_machines: BTreeSet<String>,
    /// Machines on which every task fails.
    pub(crate) failing_machines: BTreeSet<String>,
    /// Machines that can't be reached but go on.
    pub(crate) unreachable_machines: BTreeSet<String>,
    /// Preemption notices that machines report, in seconds.
    pub(crate) preemption_notices: BTreeMap<String, f64>,
    /// Jobs whose tasks exit for this reason instead of running.
    pub(crate) forced_exits: BTreeMap<String, ExitReason>,
    /// Running tasks that are stopped first save a checkpoint, for as long as their job says.
    pub(crate) save_checkpoints: bool,
    /// How long tasks of gangs wait for each other before they run.
    pub(crate) gang_wait: Millis,
    /// Jobs whose tasks fail on every machine.
    pub(crate) failing_jobs: BTreeSet<String>,
    /// The cloud fails all calls.
    pub(crate) cloud_unavailable: bool,
    /// Machines whose heartbeats arrive, while no reply and no command reaches them.
    pub(crate) machines_without_replies: BTreeSet<String>,
    /// Nodes that reach no peer, nor peers them.
    pub(crate) nodes_without_peers: BTreeSet<usize>,
    /// The state service executes calls this much later, whether or not the caller still runs.
    pub(crate) store_delay: Millis,
    /// The cloud's capacity of machines in each zone; none: unlimited.
    pub(crate) zone_capacity: Option<usize>,
    /// Nodes that can't reach the workers, nor they them.
    pub(crate) nodes_without_workers: BTreeSet<usize>,
    /// Every nth commit gets no reply and is executed 2 to 12 s later, after newer ones.
    pub(crate) delay_commit_every: u64,
    /// The next commit that writes a key with this prefix gets no reply and is executed 12 s later.
    pub(crate) delay_next_write: Option<&'static str>,
    /// Machines whose heartbeats reach no node, while direct commands reach them.
    pub(crate) machines_without_heartbeats: BTreeSet<String>,
    /// Direct commands reach no machine.
    pub(crate) lose_direct_commands: bool,
    /// A copy of every nth heartbeat arrives again, 2 to 38 s later, at all nodes.
    pub(crate) duplicate_heartbeat_every: u64,
    /// Calls of these nodes to the state service take this much longer to arrive.
    pub(crate) store_call_delay: BTreeMap<usize, Millis>,
    /// Watch replies to these nodes take this much longer.
    pub(crate) watch_delay: BTreeMap<usize, Millis>,
    /// The state service refuses to list work and rounds.
    pub(crate) refuse_record_lists: bool,
    /// What is wrong with the cloud's machine lists.
    pub(crate) machine_list: MachineListFault,
    /// The cloud's machine lists arrive this much later than they are made.
    pub(crate) machine_list_delay: Millis,
    /// Replies of the state service to these nodes take this much longer.
    pub(crate) store_reply_delay: BTreeMap<usize, Millis>,
    /// Each message takes up to this much longer, independently of others: a later one may overtake
    /// it. At most 700 ms: a call and its reply then stay within all timeouts.
    pub(crate) max_jitter: Millis,
}
