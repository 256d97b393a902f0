//! Exponential backoff with jitter for calls that fail.

use super::context::Context;
use crate::constants;
use crate::model::{Timestamp, whole_millis};
use rand::Rng;
use std::time::Duration;

/// The schedule of a repeated call. The pause before the next call doubles with each failure, up to
/// a maximum.
#[derive(Debug, Default)]
pub(super) struct Retry {
    next_at: Timestamp,
    /// Pause after the last failure; zero after a success.
    pause: Duration,
    in_flight: bool,
}

impl Retry {
    /// Reports whether the call is due and not already in flight.
    pub(super) fn is_due(&self, now: Timestamp) -> bool {
        !self.in_flight && now >= self.next_at
    }

    /// Reports whether a call is in flight.
    pub(super) fn is_in_flight(&self) -> bool {
        self.in_flight
    }

    /// Records that the call is sent.
    pub(super) fn begin(&mut self) {
        self.in_flight = true;
    }

    /// Records that the call succeeded. The next one is due at `next_at`.
    pub(super) fn record_success(&mut self, next_at: Timestamp) {
        *self = Retry {
            next_at,
            pause: Duration::ZERO,
            in_flight: false,
        };
    }

    /// Records that the call failed. The next one is due after a pause twice as long as the last
    /// one, but at least [`constants::RETRY_INITIAL_PAUSE`] and at most
    /// [`constants::RETRY_MAX_PAUSE`]. Random jitter then shortens the pause by up to one half.
    pub(super) fn record_failure(&mut self, context: &mut Context) {
        self.in_flight = false;
        self.pause =
            (self.pause * 2).clamp(constants::RETRY_INITIAL_PAUSE, constants::RETRY_MAX_PAUSE);
        let longest = whole_millis(self.pause);
        // The jitter keeps the three nodes from retrying at the same time after an outage.
        let jittered = context.rng().random_range(longest / 2..=longest);
        self.next_at = context.now() + Duration::from_millis(jittered);
    }

    /// Sets the time at which the next call is due, whether that is sooner or later than before.
    pub(super) fn postpone(&mut self, next_at: Timestamp) {
        self.next_at = next_at;
    }
}

#[cfg(test)]
mod tests;
