//! Tests that compare the bytes of every wire message and of every frame between nodes with fixtures.
//!
//! The fixtures never change: a difference means that nodes of different versions, or a node and its
//! users, its workers, the cloud or the state service, would misunderstand each other.

// A panic fails the test, also in its helpers.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

#[path = "../support/fixture_table.rs"]
mod fixture_table;
mod frames;
mod messages;
