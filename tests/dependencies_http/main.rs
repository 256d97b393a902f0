//! What users are told about jobs that depend on others, over HTTP.

// Helpers of a test may panic: that is how it fails.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod states;
mod submissions;
#[path = "../support/mod.rs"]
mod support;
mod upcoming_limits;
mod user;
