//! The loop that passes commands to the engine and executes the engine's effects.

use crate::clock::unix_time;
use crate::cloud::{CloudCall, CloudClient};
use crate::constants;
use crate::engine::{CallId, Command, Effect, Engine, EngineStatus, Reply, ReplyId};
use crate::engine_queue::{CommandSender, QueuedCommand};
use crate::store::{CallPriority, StoreCall, StoreClient};
use crate::workers::WorkerClient;
use std::collections::HashMap;
use std::convert::Infallible;
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;

/// Senders of the replies that the engine has not given yet.
type PendingReplies = HashMap<ReplyId, oneshot::Sender<Reply>>;

/// Executes the engine's effects: holds the clients that make the engine's calls, and the handle
/// through which the outcomes return to the engine.
pub(super) struct Driver {
    store: Arc<StoreClient>,
    cloud: Arc<CloudClient>,
    workers: WorkerClient,
    commands: CommandSender,
}

impl Driver {
    pub(super) fn new(
        store: Arc<StoreClient>,
        cloud: Arc<CloudClient>,
        workers: WorkerClient,
        commands: CommandSender,
    ) -> Self {
        Driver {
            store,
            cloud,
            workers,
            commands,
        }
    }

    /// Runs the engine until the process ends: one step for each batch of commands, and at least
    /// one per [`constants::ENGINE_TICK`]. Publishes the engine's status after each step.
    pub(super) async fn run(
        self,
        mut engine: Engine,
        mut queue: mpsc::Receiver<QueuedCommand>,
        status: watch::Sender<EngineStatus>,
    ) -> Infallible {
        let started = Instant::now();
        let mut pending_replies = PendingReplies::new();
        let mut batch = Vec::with_capacity(constants::MAX_ENGINE_BATCH);
        loop {
            receive_batch(&mut queue, &mut batch).await;
            let mut commands = Vec::with_capacity(batch.len());
            for queued in batch.drain(..) {
                if let Some(reply) = queued.reply {
                    pending_replies.insert(reply.id, reply.sender);
                }
                commands.push(queued.command);
            }
            let elapsed = started.elapsed();
            for effect in engine.step(elapsed, unix_time(), commands) {
                self.execute(effect, &mut pending_replies);
            }
            status.send_replace(engine.status());
        }
    }

    fn execute(&self, effect: Effect, pending_replies: &mut PendingReplies) {
        match effect {
            Effect::Reply { to, reply } => {
                if let Some(sender) = pending_replies.remove(&to) {
                    // Fails if the caller has timed out.
                    let _ = sender.send(reply);
                }
            }
            Effect::CallStore {
                call_id,
                call,
                urgent,
            } => {
                let priority = if urgent {
                    CallPriority::Leadership
                } else {
                    CallPriority::Engine
                };
                self.call_store(call_id, call, priority);
            }
            Effect::CallCloud { call_id, call } => self.call_cloud(call_id, call),
            Effect::SendCommands { address, commands } => self.workers.send(address, commands),
        }
    }

    /// Calls the state service in a spawned task. The task is not joined: it ends by sending the
    /// outcome as a command, and the client bounds the duration of the call.
    fn call_store(&self, call_id: CallId, call: StoreCall, priority: CallPriority) {
        let store = self.store.clone();
        let commands = self.commands.clone();
        tokio::spawn(async move {
            let result = store.call(&call, priority).await;
            let outcome = Command::StoreCallCompleted { call_id, result };
            commands.send(outcome).await;
        });
    }

    /// Calls the cloud in a spawned task, which ends like the one of [`Driver::call_store`].
    fn call_cloud(&self, call_id: CallId, call: CloudCall) {
        let cloud = self.cloud.clone();
        let commands = self.commands.clone();
        tokio::spawn(async move {
            let result = cloud.call(&call).await;
            let outcome = Command::CloudCallCompleted { call_id, result };
            commands.send(outcome).await;
        });
    }
}

/// Waits at most [`constants::ENGINE_TICK`] for commands and appends the received ones to `batch`.
async fn receive_batch(queue: &mut mpsc::Receiver<QueuedCommand>, batch: &mut Vec<QueuedCommand>) {
    let receiving = queue.recv_many(batch, constants::MAX_ENGINE_BATCH);
    // After a timeout the batch is empty: `recv_many` is cancel-safe and loses no command.
    let _ = tokio::time::timeout(constants::ENGINE_TICK, receiving).await;
}
