//! The bounded queue of commands for the engine, and the handle that sends to the queue.
//!
//! The node's driver owns the engine and is the only receiver of the queue. All other components
//! send commands to the engine through a [`CommandSender`].

use crate::constants;
use crate::engine::{Command, Reply, ReplyId};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::sync::{mpsc, oneshot};

/// The sender of the reply to one command.
#[derive(Debug)]
pub(crate) struct ReplySender {
    /// Id of the command, which the engine repeats in its reply.
    pub(crate) id: ReplyId,
    /// Channel for the reply. The receiver may be closed, because callers time out.
    pub(crate) sender: oneshot::Sender<Reply>,
}

/// A command in the queue.
#[derive(Debug)]
pub(crate) struct QueuedCommand {
    /// Command that the engine is to handle.
    pub(crate) command: Command,
    /// Sender of the reply; `None` if no caller waits for one.
    pub(crate) reply: Option<ReplySender>,
}

/// A cloneable handle that sends commands to the engine.
#[derive(Clone, Debug)]
pub struct CommandSender {
    queue: mpsc::Sender<QueuedCommand>,
    next_reply_id: Arc<AtomicU64>,
}

impl CommandSender {
    /// Creates a handle and the receiving end of the queue. The queue has room for one request per
    /// connection and for [`constants::ENGINE_QUEUE_COMMANDS`] further commands.
    pub(crate) fn new(connections: usize) -> (Self, mpsc::Receiver<QueuedCommand>) {
        let capacity = connections + constants::ENGINE_QUEUE_COMMANDS;
        let (queue, receiver) = mpsc::channel(capacity);
        let commands = CommandSender {
            queue,
            next_reply_id: Arc::new(AtomicU64::new(0)),
        };
        (commands, receiver)
    }

    /// Sends a command and waits for its reply. Returns `None` if the queue is full or the engine
    /// has ended.
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

    /// Sends a command that must not be lost. Waits until the queue has room.
    pub async fn send(&self, command: Command) {
        let queued = QueuedCommand {
            command,
            reply: None,
        };
        // Fails only if the engine has ended, which happens only when the process ends.
        let _ = self.queue.send(queued).await;
    }
}

#[cfg(test)]
mod tests;
