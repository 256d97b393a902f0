//! The state machine that owns all state of a node.
//!
//! [`Engine::step`] takes a batch of commands and the current time and returns effects. The engine
//! does no I/O and reads no clock, so it is deterministic: the same inputs and seed give the same
//! effects. Every interaction with the outside is an [`Effect`] that the node's runtime executes;
//! the outcome of a call returns to the engine as a command.
//!
//! The state is divided into components, each a struct with private fields in a separate module.
//! [`Engine`] holds the components that every node has, `leader::Leader` those that only a leader
//! has. The other modules implement the steps that involve several components.
//! `docs/architecture.md` has a table of which component owns which state.

mod authority;
mod autoscaling;
mod blocked_job_queries;
mod completion_steps;
mod completions;
mod context;
mod dependencies;
mod dependency_steps;
mod election;
mod gang_restarts;
mod heartbeats;
mod jobs;
mod leader;
mod leadership;
mod live_records;
mod live_view;
mod machine_types;
mod machines;
mod messages;
mod outbox;
mod peers;
mod records;
mod recovery;
mod removal;
mod retry;
mod rounds;
mod scheduling;
mod stopping;
#[cfg(test)]
mod test_support;
#[cfg(test)]
mod tests;

pub use messages::{CallId, Command, Effect, EngineStatus, Reply, ReplyId};
pub use records::{
    FinalRecord, JobRecord, decode_final, decode_job, final_key, final_value, job_key, job_value,
    json_size,
};

use crate::autoscaler::ArrivalHistory;
use crate::cloud::{CloudCall, CloudError, CloudReply};
use crate::constants;
use crate::model::{JobId, UnixTime};
use crate::settings::Settings;
use crate::store::{StoreError, StoreReply};
use blocked_job_queries::BlockedJobQueries;
use context::Context;
use dependencies::Dependencies;
use heartbeats::{PendingResponses, Redirects};
use jobs::Jobs;
use leadership::Leadership;
use live_view::LiveView;
use machine_types::MachineTypeCatalog;
use messages::PendingCall;
use outbox::Outbox;
use peers::PeerHealth;
use std::sync::Arc;
use std::time::Duration;

/// The state of a node. See the module documentation.
pub struct Engine {
    context: Context,
    outbox: Outbox,
    leadership: Leadership,
    peers: PeerHealth,
    live: LiveView,
    jobs: Jobs,
    dependencies: Dependencies,
    queries: BlockedJobQueries,
    arrival_history: ArrivalHistory,
    machine_types: MachineTypeCatalog,
    pending_responses: PendingResponses,
    redirects: Redirects,
}

impl Engine {
    /// Creates the engine of a node that is starting. The seed determines the jitter of its
    /// retries.
    pub fn new(settings: Arc<Settings>, seed: u64) -> Self {
        Engine {
            peers: PeerHealth::new(settings.peers.clone()),
            context: Context::new(settings, seed),
            outbox: Outbox::default(),
            leadership: Leadership::default(),
            live: LiveView::default(),
            jobs: Jobs::default(),
            dependencies: Dependencies::default(),
            queries: BlockedJobQueries::default(),
            arrival_history: ArrivalHistory::default(),
            machine_types: MachineTypeCatalog::default(),
            pending_responses: PendingResponses::default(),
            redirects: Redirects::default(),
        }
    }

    /// Handles a batch of commands, then runs the work that is due, and returns the resulting
    /// effects in order. `elapsed` is the time since the start of the process.
    pub fn step(
        &mut self,
        elapsed: Duration,
        unix_time: UnixTime,
        batch: impl IntoIterator<Item = Command>,
    ) -> Vec<Effect> {
        self.context.advance(elapsed, unix_time);
        for command in batch {
            self.on_command(command);
        }
        self.run_due_steps();
        self.respond_to_pending_heartbeats();
        self.outbox.take_effects()
    }

    /// Returns the engine's status, which the node publishes to its other components.
    pub fn status(&self) -> EngineStatus {
        let leader = self.leadership.leader();
        let observed_leader = self.leadership.observed_leader();
        EngineStatus {
            ready: self.is_ready(),
            leading: leader.is_some(),
            term: leader.map_or(0, |leader| leader.term()),
            leader: observed_leader.map(|leader| leader.node.clone()),
            machine_types: self.machine_types.types().cloned(),
            store_reachable: self.live.is_fresh(self.context.now()),
        }
    }

    /// Reports whether this node can serve users.
    fn is_ready(&self) -> bool {
        let now = self.context.now();
        // Queries need no machine types, only submissions do. The node therefore becomes ready
        // without them after a timeout.
        let machine_types_deadline =
            context::process_start() + constants::MACHINE_TYPES_READY_TIMEOUT;
        let machine_types_settled = self.machine_types.is_known() || now > machine_types_deadline;
        // A node is not ready if it has lost the state service while a peer still reaches the
        // service, or while it reaches no peer either: another node may be able to serve users.
        // In an outage that affects all nodes, this node stays in the load balancer's rotation,
        // so that users get a prompt 503.
        let others_may_serve = self.peers.any_reaches_store(now) || self.peers.is_isolated(now);
        machine_types_settled
            && self.live.is_listed()
            && (self.live.is_fresh(now) || !others_may_serve)
    }

    fn on_command(&mut self, command: Command) {
        match command {
            Command::Heartbeat { heartbeat, reply } => self.on_heartbeat(&heartbeat, reply),
            Command::CountTasks { job, reply } => self.on_count_tasks(&job, reply),
            Command::StoreCallCompleted { call_id, result } => {
                if let Some(pending) = self.outbox.complete(call_id) {
                    self.on_store_call_completed(pending, result);
                }
            }
            Command::CloudCallCompleted { call_id, result } => {
                if let Some(pending) = self.outbox.complete(call_id) {
                    self.on_cloud_call_completed(pending, result);
                }
            }
            Command::PeerAnnounced(announcement) => self.on_peer_announced(&announcement),
            Command::JobCancelled(job) => self.on_job_cancelled(&job),
            Command::QueryBlockedJob { job, reply } => self.on_blocked_job_query(job, reply),
            Command::FindUnknownJobs { jobs, reply } => self.on_find_unknown_jobs(jobs, reply),
        }
    }

    fn on_store_call_completed(
        &mut self,
        pending: PendingCall,
        result: Result<StoreReply, StoreError>,
    ) {
        match pending {
            PendingCall::ListLiveRecords { first_revision } => {
                self.on_live_records_listed(first_revision, result);
            }
            PendingCall::WatchLiveRecords { sent_at } => {
                self.on_live_records_watched(sent_at, result);
            }
            PendingCall::RefreshLiveRecords { sent_at, after } => {
                self.on_live_records_refreshed(sent_at, after, result);
            }
            PendingCall::GrantCampaignLease { sent_at } => self.on_campaign_lease(sent_at, result),
            PendingCall::ReadTerm => self.on_term_read(result),
            PendingCall::CommitElection { term } => self.on_election_committed(term, result),
            PendingCall::RenewLease { sent_at } => self.on_lease_renewed(sent_at, result),
            PendingCall::ReadRecoveryPage => self.on_recovery_page(result),
            PendingCall::WriteRound { number } => self.on_round_written(number, result),
            PendingCall::ListOrphanedRounds => self.on_orphaned_rounds_listed(result),
            PendingCall::WriteCompletions(batch) => self.on_completions_written(batch, result),
            PendingCall::ReadProgressRecord { key } => self.on_progress_record_read(&key, result),
            PendingCall::ReadFinalRecord { job } => self.on_final_record_read(&job, result),
            // The outcome is not used, or the call belongs to the cloud.
            PendingCall::Untracked
            | PendingCall::ListMachineTypes
            | PendingCall::ListMachines
            | PendingCall::RentMachines(_)
            | PendingCall::ReturnMachines(_) => {}
        }
    }

    fn on_cloud_call_completed(
        &mut self,
        pending: PendingCall,
        result: Result<CloudReply, CloudError>,
    ) {
        match pending {
            PendingCall::ListMachineTypes => {
                self.machine_types.on_read(result, &mut self.context);
            }
            PendingCall::ListMachines => self.on_machines_listed(result),
            PendingCall::RentMachines(offer) => self.on_machines_rented(offer, result),
            PendingCall::ReturnMachines(machines) => self.on_machines_returned(machines, result),
            // All other calls belong to the state service.
            _ => {}
        }
    }

    /// Runs the periodic and time-driven work that is due.
    fn run_due_steps(&mut self) {
        self.read_machine_types_when_due();
        self.follow_live_records();
        self.advance_dependencies();
        self.maintain_leadership();
        self.recover_when_due();
        let leader = self.leadership.leader();
        if leader.is_some_and(|leader| leader.has_recovered()) {
            self.housekeep_machines_when_due();
            self.maintain_rounds();
            self.schedule_when_due();
            self.write_completions_when_due();
            self.autoscale_when_due();
            self.consolidate_when_due();
        }
    }

    fn read_machine_types_when_due(&mut self) {
        let now = self.context.now();
        let leading = self.leadership.is_leading();
        if self.machine_types.begin_read_if_due(now, leading) {
            let pending = PendingCall::ListMachineTypes;
            self.outbox.call_cloud(pending, CloudCall::ListMachineTypes);
        }
    }

    fn on_count_tasks(&mut self, job: &JobId, to: ReplyId) {
        let reply = match self.jobs.get(job) {
            Some(job) if self.leadership.is_leading() => Reply::TaskCounts {
                completed: job.completed.len(),
                running: job.running_tasks(),
            },
            _ => Reply::Unavailable,
        };
        self.outbox.reply(to, reply);
    }

    /// Rebuilds the snapshots of the machines that have changed.
    fn refresh_snapshots(&mut self) {
        let now = self.context.now();
        if let Some(leader) = self.leadership.leader_mut() {
            let types = self.machine_types.types();
            leader.machines.refresh_snapshots(&self.jobs, types, now);
        }
    }

    /// Reports whether the cached machine snapshots equal newly built ones.
    #[cfg(test)]
    pub fn snapshots_agree(&self) -> bool {
        let now = self.context.now();
        let leader = self.leadership.leader();
        leader.is_none_or(|leader| leader.machines.snapshots_agree(&self.jobs, now))
    }
}
