//! Tests over HTTP of jobs that depend on other jobs.

// A panic fails the test, also in its helpers.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod states;
mod submissions;
#[path = "../support/mod.rs"]
mod support;
mod upcoming_limits;
mod user;
