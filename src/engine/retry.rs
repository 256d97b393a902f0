//! Pauses between calls that fail.

use super::context::Context;
use crate::constants;
use crate::model::{Timestamp, whole_millis};
use rand::Rng;
use std::time::Duration;

/// The schedule of a call that is repeated, with growing pauses while it fails.
#[derive(Debug, Default)]
pub(super) struct Retry {
    next_at: Timestamp,
    /// Pause after the last failure; zero after a success.
    pause: Duration,
    in_flight: bool,
}

impl Retry {
    /// Whether the call is to be made now.
    pub(super) fn is_due(&self, now: Timestamp) -> bool {
        !self.in_flight && now >= self.next_at
    }

    /// Whether the outcome of a call is awaited.
    pub(super) fn is_in_flight(&self) -> bool {
        self.in_flight
    }

    /// The call is made.
    pub(super) fn begin(&mut self) {
        self.in_flight = true;
    }

    /// The call succeeded; the next one is due at `next_at`.
    pub(super) fn record_success(&mut self, next_at: Timestamp) {
        *self = Retry {
            next_at,
            pause: Duration::ZERO,
            in_flight: false,
        };
    }

    /// The call failed: it is repeated after a pause twice as long as the last one.
    pub(super) fn record_failure(&mut self, context: &mut Context) {
        self.in_flight = false;
        self.pause =
            (self.pause * 2).clamp(constants::RETRY_INITIAL_PAUSE, constants::RETRY_MAX_PAUSE);
        let longest = whole_millis(self.pause);
        // Jitter keeps three nodes from asking in step after an outage.
        let jittered = context.rng().random_range(longest / 2..=longest);
        self.next_at = context.now() + Duration::from_millis(jittered);
    }

    /// The next call is due no sooner and no later than `next_at`.
    pub(super) fn postpone(&mut self, next_at: Timestamp) {
        self.next_at = next_at;
    }
}

#[cfg(test)]
mod tests;
