//! Repeating calls that fail.

use crate::constants;
use crate::model::Ms;
use rand::Rng;
use rand::rngs::SmallRng;

/// A call that is repeated with growing pauses while it fails.
#[derive(Debug, Default)]
pub(super) struct Retry {
    /// Time of the next call, ms.
    pub(super) at: Ms,
    /// Pause after the last failure, ms; 0 after a success.
    pub(super) pause: u64,
    /// Whether a call is under way.
    pub(super) busy: bool,
}

impl Retry {
    /// Whether the call is to be made now.
    pub(super) fn due(&self, now: Ms) -> bool {
        !self.busy && now >= self.at
    }

    /// The call succeeded; the next one is due then.
    pub(super) fn worked(&mut self, next: Ms) {
        *self = Retry {
            at: next,
            pause: 0,
            busy: false,
        };
    }

    /// The call failed: it is repeated after a pause twice as long as the last one.
    pub(super) fn failed(&mut self, now: Ms, rng: &mut SmallRng) {
        self.busy = false;
        self.pause = (self.pause * 2).clamp(constants::RETRY_INITIAL_MS, constants::RETRY_MAX_MS);
        // Jitter keeps three nodes from asking in step after an outage.
        self.at = now + rng.random_range(self.pause / 2..=self.pause);
    }
}
