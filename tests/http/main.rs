//! The real HTTP layers, with a node on ephemeral loopback ports.

// Helpers of a test may panic: that is how it fails.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod client;
mod dependencies;
mod overload;
mod peers;
#[path = "../support/mod.rs"]
mod support;
mod users;
mod workers;
