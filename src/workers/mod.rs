//! Direct commands to workers, which are sent without waiting for the workers' next heartbeats.
//!
//! A message either stops tasks, or contains no command and only announces a higher fencing token,
//! so that the worker sends a heartbeat immediately. A message never starts a task: a late start
//! could run the task twice, while a late stop is harmless. Messages may be lost: the response to
//! the worker's next heartbeat contains the same stops.

mod client;
mod queue;

pub use client::WorkerClient;
