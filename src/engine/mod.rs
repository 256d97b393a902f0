//! The one owner of a node's state.
//!
//! [`Engine::step`] takes a batch of commands with the time and returns effects. It does no I/O
//! and reads no clock, so that given the same inputs and seed it does the same; everything that
//! touches the world is an [`Effect`] that the node's runtime carries out, and whose outcome
//! comes back as a command.

mod autoscaling;
mod completions;
mod dependencies;
mod heartbeats;
mod leadership;
mod machines;
mod messages;
mod records;
mod recovery;
mod retry;
mod rounds;
#[cfg(test)]
mod tests;
mod watching;

pub use messages::{CallId, Command, Effect, EngineStatus, Reply, ReplyId};
pub use records::{
    FinalRecord, JobRecord, final_key, final_value, job_key, job_value, json_size, read_final,
    read_job,
};

use crate::bounded_map::BoundedMap;
use crate::cloud::{CloudCall, CloudError, CloudReply};
use crate::constants;
use crate::model::{
    FencingToken, Job, JobId, MachineId, MachineType, MachineTypes, Ms, Placement, TaskId,
};
use crate::settings::{Settings, Timing};
use crate::store::{StoreCall, StoreError, StoreReply};
use messages::PendingCall;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use retry::Retry;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// The holder of the leader's key, as last seen in the state service.
#[derive(Debug, Clone, PartialEq, Eq)]
struct ObservedLeader {
    node: String,
    term: u64,
    version: u64,
}

#[derive(Debug)]
enum Role {
    Follower,
    Campaign { lease: Option<(u64, Ms)> },
    Leader(Box<Leader>),
}

/// What only a leader has. Dropped as a whole when leadership is lost.
#[derive(Debug)]
struct Leader {
    /// The durable term: the upper part of the token on all orders, and of attempt numbers.
    term: u64,
    /// Version of the leader's key: the condition on every commit.
    version: u64,
    lease: u64,
    /// Send time of the last answered renewal, ms.
    lease_renewed_at: Ms,
    /// Time of the next renewal, ms.
    next_renewal_at: Ms,
    /// Whether a renewal is under way.
    renewal_in_flight: bool,
    recovery: Option<recovery::Recovery>,
    elected_at: Ms,
    machines: machines::Machines,
    /// Machines that were returned.
    returned_machines: BoundedMap<MachineId, ()>,
    rounds: rounds::Rounds,
    completions: completions::Completions,
    autoscaling: autoscaling::Autoscaling,
    /// Something changed that may allow a placement.
    needs_scheduling: bool,
    next_scheduling_at: Ms,
}

impl Leader {
    /// The token to answer a machine with: of this term, and not below any that it has.
    fn token_for(&self, machine: &MachineId, seen: FencingToken) -> FencingToken {
        let known = self.machines.get(machine);
        let known = known.map_or(FencingToken::default(), |m| m.fencing_token);
        FencingToken::first_of_term(self.term).max(known).max(seen)
    }
}

/// The state of a node. See the module's page.
pub struct Engine {
    settings: Arc<Settings>,
    timing: Timing,
    now: Ms,
    unix_ms: u64,
    rng: SmallRng,
    out: Vec<Effect>,
    next_call_id: CallId,
    ops: BTreeMap<CallId, PendingCall>,
    machine_types: Option<Arc<MachineTypes>>,
    machine_types_retry: Retry,
    /// Revision up to which `live/` is known; none while it has to be listed.
    revision: Option<u64>,
    listed: BTreeSet<JobId>,
    watch: Retry,
    /// Send time of the last answered watch: all changes before it are known.
    fresh_at: Option<Ms>,
    observed_leader: Option<ObservedLeader>,
    jobs: BTreeMap<JobId, Job>,
    dependencies: dependencies::Dependencies,
    arrival_history: crate::autoscaler::ArrivalHistory,
    /// Reports whose answers wait for the end of the step, or for a round that is being written.
    pending_responses: Vec<heartbeats::PendingResponse>,
    /// Records that could not be read: left alone.
    unreadable: BTreeSet<String>,
    role: Role,
    campaign: Retry,
    /// Highest term heard of, from any source.
    term_heard: u64,
    /// Workers of a leader that can't be reached from here.
    redirects: BTreeMap<MachineId, heartbeats::Redirect>,
    /// Time of the next removal of old redirects, ms.
    next_redirect_cleanup: Ms,
    /// When each peer was last heard of, and whether the state service answers it.
    peers: BTreeMap<String, (Ms, bool)>,
}

impl Engine {
    pub fn new(settings: Arc<Settings>, seed: u64) -> Self {
        Engine {
            timing: settings.timing(),
            settings,
            now: 0,
            unix_ms: 0,
            rng: SmallRng::seed_from_u64(seed),
            out: Vec::new(),
            next_call_id: 0,
            ops: BTreeMap::new(),
            machine_types: None,
            machine_types_retry: Retry::default(),
            revision: None,
            listed: BTreeSet::new(),
            watch: Retry::default(),
            fresh_at: None,
            observed_leader: None,
            jobs: BTreeMap::new(),
            dependencies: dependencies::Dependencies::default(),
            arrival_history: crate::autoscaler::ArrivalHistory::default(),
            pending_responses: Vec::new(),
            unreadable: BTreeSet::new(),
            role: Role::Follower,
            campaign: Retry::default(),
            term_heard: 0,
            redirects: BTreeMap::new(),
            next_redirect_cleanup: 0,
            peers: BTreeMap::new(),
        }
    }

    /// Works through a batch of commands, then through what is due by `now`, ms since the start.
    pub fn step(
        &mut self,
        now: Ms,
        unix_ms: u64,
        batch: impl IntoIterator<Item = Command>,
    ) -> Vec<Effect> {
        self.now = self.now.max(constants::CLOCK_START_MS + now);
        self.unix_ms = unix_ms;
        for command in batch {
            match command {
                Command::Heartbeat { heartbeat, reply } => self.on_heartbeat(heartbeat, reply),
                Command::CountTasks { job, reply } => self.on_count(&job, reply),
                Command::StoreCallCompleted { call_id, result } => self.on_store(call_id, result),
                Command::CloudCallCompleted { call_id, result } => self.on_cloud(call_id, result),
                Command::PeerAnnounced(announcement) => self.on_announced(announcement),
                Command::JobCancelled(job) => self.on_cancelled(&job),
                Command::QueryBlockedJob { job, reply } => self.on_blocked_job_query(job, reply),
                Command::FindUnknownJobs { jobs, reply } => self.on_find_unknown_jobs(jobs, reply),
            }
        }
        self.on_time();
        self.respond_to_pending_heartbeats();
        std::mem::take(&mut self.out)
    }

    pub fn view(&self) -> EngineStatus {
        let store_reachable = self.store_reachable();
        // A node that alone has lost the state service cannot serve users, nor can one that has
        // lost its peers with it: they may well be served elsewhere. In an outage that all nodes
        // see, staying in the balancer's rotation gives users a prompt 503.
        let others_ok = self
            .peers
            .iter()
            .any(|(node, (_, store_reachable))| *store_reachable && self.hears(node));
        // Questions are answered without the machine types; only new jobs need them.
        let patience = constants::CLOCK_START_MS + constants::MACHINE_TYPES_PATIENCE_MS;
        let types_known = self.machine_types.is_some() || self.now > patience;
        EngineStatus {
            ready: types_known
                && self.revision.is_some()
                && (store_reachable || !(others_ok || self.is_alone())),
            leading: self.leader().is_some(),
            term: self.leader().map_or(0, |l| l.term),
            leader: self.observed_leader.as_ref().map(|h| h.node.clone()),
            machine_types: self.machine_types.clone(),
            store_reachable,
        }
    }

    /// Whether a peer was heard of a moment ago.
    fn hears(&self, node: &str) -> bool {
        let lately = constants::PEER_SILENCE_TIMEOUT.as_millis() as u64;
        self.peers
            .get(node)
            .is_some_and(|(at, _)| self.now.saturating_sub(*at) < lately)
    }

    /// Whether there are peers and none of them can be heard.
    fn is_alone(&self) -> bool {
        let peers = &self.settings.peers;
        !peers.is_empty() && !peers.iter().any(|p| self.hears(&p.node))
    }

    /// Whether no peer of that zone can be heard, though there is one.
    fn cut_off_from(&self, zone: &str) -> bool {
        let mut there = self
            .settings
            .peers
            .iter()
            .filter(|p| p.zone == zone)
            .peekable();
        there.peek().is_some() && !there.any(|p| self.hears(&p.node))
    }

    fn store_reachable(&self) -> bool {
        let slow = constants::WATCH_TIMEOUT_MS + constants::WATCH_SLACK.as_millis() as u64;
        self.fresh_at
            .is_some_and(|at| self.now.saturating_sub(at) < slow)
    }

    fn leader(&self) -> Option<&Leader> {
        match &self.role {
            Role::Leader(leader) => Some(leader),
            _ => None,
        }
    }

    fn leader_mut(&mut self) -> Option<&mut Leader> {
        match &mut self.role {
            Role::Leader(leader) => Some(leader),
            _ => None,
        }
    }

    /// Where a task is placed, if it is.
    fn placement(&self, task: &TaskId) -> Option<&Placement> {
        self.jobs.get(&task.job)?.placements.get(&task.index)
    }

    fn machine_type(&self, name: &str) -> Option<&MachineType> {
        self.machine_types
            .as_ref()
            .and_then(|types| types.get(name))
    }

    fn call_store(&mut self, pending: PendingCall, call: StoreCall) {
        let urgent = pending.is_urgent();
        let call_id = self.register_call(pending);
        self.out.push(Effect::CallStore {
            call_id,
            call,
            urgent,
        });
    }

    fn call_cloud(&mut self, pending: PendingCall, call: CloudCall) {
        let call_id = self.register_call(pending);
        self.out.push(Effect::CallCloud { call_id, call });
    }

    fn register_call(&mut self, pending: PendingCall) -> CallId {
        self.next_call_id += 1;
        self.ops.insert(self.next_call_id, pending);
        self.next_call_id
    }

    fn on_store(&mut self, call_id: CallId, result: Result<StoreReply, StoreError>) {
        match self.ops.remove(&call_id) {
            Some(PendingCall::ListLiveRecords { first_revision }) => {
                self.on_listed_live(first_revision, result)
            }
            Some(PendingCall::WatchLiveRecords { sent_at }) => self.on_watched(sent_at, result),
            Some(PendingCall::GrantCampaignLease { sent_at }) => {
                self.on_campaign_lease(sent_at, result)
            }
            Some(PendingCall::ReadTerm) => self.on_term_read(result),
            Some(PendingCall::CommitElection { term }) => self.on_elected(term, result),
            Some(PendingCall::RenewLease { sent_at }) => self.on_lease_renewed(sent_at, result),
            Some(PendingCall::ReadRecoveryPage) => self.on_recovery_page(result),
            Some(PendingCall::WriteRound { number }) => self.on_round_written(number, result),
            Some(PendingCall::ListOrphanedRounds) => self.on_rounds_listed(result),
            Some(PendingCall::WriteCompletions(batch)) => {
                self.on_completions_written(batch, result)
            }
            Some(PendingCall::ReadProgressRecord { key }) => self.on_progress_read(&key, result),
            Some(PendingCall::ReadFinalRecord { job }) => self.on_final_record_read(&job, result),
            Some(PendingCall::RefreshLiveRecords { sent_at, after }) => {
                self.on_refreshed(sent_at, after, result)
            }
            // The remaining kinds are the cloud's, or nobody waits.
            _ => {}
        }
    }

    fn on_cloud(&mut self, call_id: CallId, result: Result<CloudReply, CloudError>) {
        match self.ops.remove(&call_id) {
            Some(PendingCall::ListMachineTypes) => self.on_types(result),
            Some(PendingCall::ListMachines) => self.on_machines(result),
            Some(PendingCall::RentMachines(offer)) => self.on_rented(offer, result),
            Some(PendingCall::ReturnMachines(machines)) => self.on_returned(machines, result),
            _ => {}
        }
    }

    fn on_types(&mut self, result: Result<CloudReply, CloudError>) {
        match result {
            Ok(CloudReply::MachineTypes(list)) => {
                let types = list.machine_types.iter().map(MachineType::from);
                self.machine_types = Some(Arc::new(types.map(|t| (t.name.clone(), t)).collect()));
                self.machine_types_retry
                    .worked(self.now + constants::MACHINE_TYPES_INTERVAL_MS);
            }
            other => {
                if let Err(e) = other {
                    tracing::debug!("machine types: {e}");
                }
                self.machine_types_retry.failed(self.now, &mut self.rng);
            }
        }
    }

    fn on_count(&mut self, job: &JobId, reply: ReplyId) {
        let reply_with = match self.jobs.get(job) {
            Some(job) if self.leader().is_some() => Reply::TaskCounts {
                completed: job.completed.len(),
                running: job.running(),
            },
            _ => Reply::Unavailable,
        };
        self.reply(reply, reply_with);
    }

    fn reply(&mut self, to: ReplyId, reply: Reply) {
        self.out.push(Effect::Reply { to, reply });
    }

    /// What is due by now.
    fn on_time(&mut self) {
        let leading = self.leader().is_some();
        // Spot prices matter to the leader only; the others need the types once.
        if self.machine_types_retry.due(self.now) && (leading || self.machine_types.is_none()) {
            self.machine_types_retry.busy = true;
            self.call_cloud(PendingCall::ListMachineTypes, CloudCall::ListMachineTypes);
        }
        self.watch_when_due();
        self.advance_dependencies();
        self.maintain_leadership();
        self.recover_when_due();
        if self.leader().is_some_and(|l| l.recovery.is_none()) {
            self.housekeep_machines_when_due();
            self.maintain_rounds();
            self.schedule_when_due();
            self.write_completions_when_due();
            self.autoscale_when_due();
            self.consolidate_when_due();
        }
    }
}
