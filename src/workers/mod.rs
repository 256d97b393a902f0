//! Commands that are sent to workers directly, ahead of the responses to their heartbeats.
//!
//! A message stops tasks, or has no command and only tells a higher fencing token, so that the
//! worker sends a heartbeat at once. It never starts a task: a start that comes late could run the
//! task twice, while a stop that comes late does no harm. Messages may be lost: what they stop is
//! also in the response to the worker's next heartbeat.

mod client;
mod queue;

pub use client::WorkerClient;
