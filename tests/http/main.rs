//! Tests of the HTTP interface of a node that runs on ephemeral loopback ports.

// A panic fails the test, also in its helpers.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod client;
mod dependencies;
mod overload;
mod peers;
#[path = "../support/mod.rs"]
mod support;
mod users;
mod workers;
