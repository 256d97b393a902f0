//! Tests over HTTP of jobs that depend on other jobs.

// A test fails by a panic, also in its helpers.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod states;
mod submissions;
#[path = "../support/mod.rs"]
mod support;
mod upcoming_limits;
mod user;
