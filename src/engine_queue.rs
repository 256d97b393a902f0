//! The bounded queue of commands for the engine, and the handle that sends to it.
//!
//! The engine has one owner, the node's driver, which alone receives from the queue. Whoever else
//! has something for the engine holds a [`CommandSender`] handle.

use crate::constants;
use crate::engine::{Command, Reply, ReplyId};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::sync::{mpsc, oneshot};

/// Where the reply to one command goes.
#[derive(Debug)]
pub(crate) struct ReplySender {
    /// Id of the command; the engine names it in its reply.
    pub(crate) id: ReplyId,
    /// Takes the reply. The receiver may be gone, since callers give up after some time.
    pub(crate) sender: oneshot::Sender<Reply>,
}

/// A command in the queue.
#[derive(Debug)]
pub(crate) struct QueuedCommand {
    /// The command.
    pub(crate) command: Command,
    /// Set if the sender waits for a reply.
    pub(crate) reply: Option<ReplySender>,
}

/// Sends commands to the engine.
#[derive(Clone, Debug)]
pub struct CommandSender {
    queue: mpsc::Sender<QueuedCommand>,
    next_reply_id: Arc<AtomicU64>,
}

impl CommandSender {
    /// A handle and the queue's receiving end. The queue has room for one request of each of
    /// `connections`, and for [`constants::ENGINE_QUEUE_COMMANDS`] more.
    pub(crate) fn new(connections: usize) -> (Self, mpsc::Receiver<QueuedCommand>) {
        let capacity = connections + constants::ENGINE_QUEUE_COMMANDS;
        let (queue, receiver) = mpsc::channel(capacity);
        let commands = CommandSender {
            queue,
            next_reply_id: Arc::new(AtomicU64::new(0)),
        };
        (commands, receiver)
    }

    /// Sends a command and waits for its reply; `None` if the queue is full or the engine is gone.
    pub async fn request(&self, command: impl FnOnce(ReplyId) -> Command) -> Option<Reply> {
        let id = self.next_reply_id.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = oneshot::channel();
        let queued = QueuedCommand {
            command: command(id),
            reply: Some(ReplySender { id, sender }),
        };
        self.queue.try_send(queued).ok()?;
        receiver.await.ok()
    }

    /// Sends a command that must not be lost: waits until the queue has room.
    pub async fn send(&self, command: Command) {
        let queued = QueuedCommand {
            command,
            reply: None,
        };
        // Fails only if the engine is gone, which ends with the process.
        let _ = self.queue.send(queued).await;
    }
}

#[cfg(test)]
mod tests;
