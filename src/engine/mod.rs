//! The one owner of a node's state.
//!
//! [`Engine::step`] takes a batch of commands with the time and returns effects. It does no I/O
//! and reads no clock, so that given the same inputs and seed it does the same; everything that
//! touches the world is an [`Effect`] that the node's runtime carries out, and whose outcome
//! comes back as a command.

mod ends;
mod leadership;
mod machines;
mod messages;
mod pipelines;
mod provisioning;
mod records;
mod recovery;
mod reports;
mod retry;
mod rounds;
#[cfg(test)]
mod tests;
mod watching;

pub use messages::{Command, Effect, OpId, Reply, ReplyId, View};
pub use records::{
    FinalRecord, JobRecord, final_key, final_value, job_key, job_value, json_size, read_final,
    read_job,
};

use crate::cloud::{CloudCall, CloudError, CloudReply};
use crate::constants as k;
use crate::model::{Job, JobId, MachineId, MachineType, Ms, Placement, TaskId, Token, Types};
use crate::recent::Recent;
use crate::settings::{Settings, Timing};
use crate::store::{StoreCall, StoreError, StoreReply};
use messages::Op;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use retry::Retry;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// The holder of the leader's key, as last seen in the state service.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Holder {
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
    renewed: Ms,
    /// Time of the next renewal, ms.
    next_renewal_at: Ms,
    /// Whether a renewal is under way.
    renewing: bool,
    loading: Option<recovery::Loading>,
    since: Ms,
    machines: machines::Machines,
    /// Machines that were returned.
    gone: Recent<MachineId, ()>,
    rounds: rounds::Rounds,
    ends: ends::Ends,
    provisioning: provisioning::Provisioning,
    /// Something changed that may allow a placement.
    dirty: bool,
    place_at: Ms,
}

impl Leader {
    /// The token to answer a machine with: of this term, and not below any that it has.
    fn token_for(&self, machine: &MachineId, seen: Token) -> Token {
        let known = self.machines.get(machine);
        let known = known.map_or(Token::default(), |m| m.token);
        Token::first(self.term).max(known).max(seen)
    }
}

/// The state of a node. See the module's page.
pub struct Engine {
    settings: Arc<Settings>,
    timing: Timing,
    now: Ms,
    wall: u64,
    rng: SmallRng,
    out: Vec<Effect>,
    next_op: OpId,
    ops: BTreeMap<OpId, Op>,
    types: Option<Arc<Types>>,
    types_retry: Retry,
    /// Revision up to which `live/` is known; none while it has to be listed.
    revision: Option<u64>,
    listed: BTreeSet<JobId>,
    watch: Retry,
    /// Send time of the last answered watch: all changes before it are known.
    fresh_at: Option<Ms>,
    holder: Option<Holder>,
    jobs: BTreeMap<JobId, Job>,
    pipelines: pipelines::Pipelines,
    arrivals: crate::fleet::Arrivals,
    /// Reports whose answers wait for the end of the step, or for a round that is being written.
    pending_answers: Vec<reports::PendingAnswer>,
    /// Records that could not be read: left alone.
    unreadable: BTreeSet<String>,
    role: Role,
    campaign: Retry,
    /// Highest term heard of, from any source.
    term_heard: u64,
    /// Workers of a leader that can't be reached from here.
    redirects: BTreeMap<MachineId, reports::Redirect>,
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
            wall: 0,
            rng: SmallRng::seed_from_u64(seed),
            out: Vec::new(),
            next_op: 0,
            ops: BTreeMap::new(),
            types: None,
            types_retry: Retry::default(),
            revision: None,
            listed: BTreeSet::new(),
            watch: Retry::default(),
            fresh_at: None,
            holder: None,
            jobs: BTreeMap::new(),
            pipelines: pipelines::Pipelines::default(),
            arrivals: crate::fleet::Arrivals::default(),
            pending_answers: Vec::new(),
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
        wall: u64,
        batch: impl IntoIterator<Item = Command>,
    ) -> Vec<Effect> {
        self.now = self.now.max(k::CLOCK_START_MS + now);
        self.wall = wall;
        for command in batch {
            match command {
                Command::Report { report, reply } => self.on_report(report, reply),
                Command::Count { job, reply } => self.on_count(&job, reply),
                Command::StoreDone { op, result } => self.on_store(op, result),
                Command::CloudDone { op, result } => self.on_cloud(op, result),
                Command::Announced(announcement) => self.on_announced(announcement),
                Command::Cancelled(job) => self.on_cancelled(&job),
                Command::Step { job, reply } => self.on_asked(job, reply),
                Command::Named { jobs, reply } => self.on_named(jobs, reply),
            }
        }
        self.on_time();
        self.answer_pending_reports();
        std::mem::take(&mut self.out)
    }

    pub fn view(&self) -> View {
        let store_ok = self.store_ok();
        // A node that alone has lost the state service cannot serve users, nor can one that has
        // lost its peers with it: they may well be served elsewhere. In an outage that all nodes
        // see, staying in the balancer's rotation gives users a prompt 503.
        let others_ok = self
            .peers
            .iter()
            .any(|(node, (_, store_ok))| *store_ok && self.hears(node));
        // Questions are answered without the machine types; only new jobs need them.
        let patience = k::CLOCK_START_MS + k::TYPES_PATIENCE_MS;
        let types = self.types.is_some() || self.now > patience;
        View {
            ready: types
                && self.revision.is_some()
                && (store_ok || !(others_ok || self.is_alone())),
            leading: self.leader().is_some(),
            term: self.leader().map_or(0, |l| l.term),
            leader: self.holder.as_ref().map(|h| h.node.clone()),
            types: self.types.clone(),
            store_ok,
        }
    }

    /// Whether a peer was heard of a moment ago.
    fn hears(&self, node: &str) -> bool {
        let lately = k::PEER_SILENT.as_millis() as u64;
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

    fn store_ok(&self) -> bool {
        let slow = k::WATCH_MS + k::WATCH_SLACK.as_millis() as u64;
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
        self.jobs.get(&task.job)?.live.get(&task.index)
    }

    fn machine_type(&self, name: &str) -> Option<&MachineType> {
        self.types.as_ref().and_then(|types| types.get(name))
    }

    fn store(&mut self, op: Op, call: StoreCall) {
        let urgent = matches!(
            op,
            Op::RenewLease { .. }
                | Op::CampaignLease { .. }
                | Op::CampaignCommit { .. }
                | Op::CampaignTerm
        );
        let id = self.op(op);
        self.out.push(Effect::Store {
            op: id,
            call,
            urgent,
        });
    }

    fn cloud(&mut self, op: Op, call: CloudCall) {
        let id = self.op(op);
        self.out.push(Effect::Cloud { op: id, call });
    }

    fn op(&mut self, op: Op) -> OpId {
        self.next_op += 1;
        self.ops.insert(self.next_op, op);
        self.next_op
    }

    fn on_store(&mut self, op: OpId, result: Result<StoreReply, StoreError>) {
        match self.ops.remove(&op) {
            Some(Op::ListLive { first }) => self.on_listed_live(first, result),
            Some(Op::Watch { sent }) => self.on_watched(sent, result),
            Some(Op::CampaignLease { sent }) => self.on_campaign_lease(sent, result),
            Some(Op::CampaignTerm) => self.on_term_read(result),
            Some(Op::CampaignCommit { term }) => self.on_elected(term, result),
            Some(Op::RenewLease { sent }) => self.on_lease_renewed(sent, result),
            Some(Op::Load) => self.on_loaded(result),
            Some(Op::Round { number }) => self.on_round_written(number, result),
            Some(Op::OrphanedRounds) => self.on_rounds_listed(result),
            Some(Op::Ends(batch)) => self.on_ends_written(batch, result),
            Some(Op::Progress { key }) => self.on_progress_read(&key, result),
            Some(Op::End { job }) => self.on_end_read(&job, result),
            Some(Op::Refresh { sent, after }) => self.on_refreshed(sent, after, result),
            // The remaining kinds are the cloud's, or nobody waits.
            _ => {}
        }
    }

    fn on_cloud(&mut self, op: OpId, result: Result<CloudReply, CloudError>) {
        match self.ops.remove(&op) {
            Some(Op::Types) => self.on_types(result),
            Some(Op::Machines) => self.on_machines(result),
            Some(Op::Rent(offer)) => self.on_rented(offer, result),
            Some(Op::Return(machines)) => self.on_returned(machines, result),
            _ => {}
        }
    }

    fn on_types(&mut self, result: Result<CloudReply, CloudError>) {
        match result {
            Ok(CloudReply::Types(list)) => {
                let types = list.types.iter().map(MachineType::read);
                self.types = Some(Arc::new(types.map(|t| (t.name.clone(), t)).collect()));
                self.types_retry.worked(self.now + k::TYPES_EVERY_MS);
            }
            other => {
                if let Err(e) = other {
                    tracing::debug!("machine types: {e}");
                }
                self.types_retry.failed(self.now, &mut self.rng);
            }
        }
    }

    fn on_count(&mut self, job: &JobId, reply: ReplyId) {
        let reply_with = match self.jobs.get(job) {
            Some(job) if self.leader().is_some() => Reply::Counts {
                done: job.done.len(),
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
        if self.types_retry.due(self.now) && (leading || self.types.is_none()) {
            self.types_retry.busy = true;
            self.cloud(Op::Types, CloudCall::Types);
        }
        self.watch_when_due();
        self.advance_pipelines();
        self.maintain_leadership();
        self.load_when_due();
        if self.leader().is_some_and(|l| l.loading.is_none()) {
            self.housekeep_machines_when_due();
            self.reconcile_rounds();
            self.place_when_due();
            self.write_ends_when_due();
            self.provision_when_due();
            self.consolidate_when_due();
        }
    }
}
