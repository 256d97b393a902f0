//! Jobs that depend on others, as users see them over HTTP.

// Helpers of a test may panic: that is how it fails.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod states;
mod submissions;
#[path = "../support/mod.rs"]
mod support;
mod upcoming_limits;
mod user;
