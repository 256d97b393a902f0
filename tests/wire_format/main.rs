//! Compares the bytes of every message on the wire and of every frame between nodes with fixtures.
//!
//! The fixtures never change: a difference means that another version, a user, a worker, the cloud or
//! the state service would be misunderstood.

// Helpers of a test may panic: that is how it fails.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

#[path = "../support/fixture_table.rs"]
mod fixture_table;
mod frames;
mod messages;
