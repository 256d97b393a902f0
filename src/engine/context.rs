//! What every part of the engine works with: the settings, the time, and the random generator.

use crate::constants;
use crate::model::{Timestamp, UnixTime, whole_millis};
use crate::settings::{Settings, Timing};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::sync::Arc;
use std::time::Duration;

/// The engine's settings, clock and random generator. Nothing in the engine reads a clock or draws
/// from a generator of its own.
#[derive(Debug)]
pub(super) struct Context {
    settings: Arc<Settings>,
    timing: Timing,
    now: Timestamp,
    unix_time: UnixTime,
    rng: SmallRng,
}

impl Context {
    /// The context of a process that begins now.
    pub(super) fn new(settings: Arc<Settings>, seed: u64) -> Self {
        Context {
            timing: settings.timing(),
            settings,
            now: Timestamp::default(),
            unix_time: UnixTime::default(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Advances the clock to that time since the process's start. It never goes back.
    pub(super) fn advance(&mut self, elapsed: Duration, unix_time: UnixTime) {
        self.now = self.now.max(process_start() + elapsed);
        self.unix_time = unix_time;
    }

    /// The settings.
    pub(super) fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Durations that follow from the settings.
    pub(super) fn timing(&self) -> &Timing {
        &self.timing
    }

    /// The present instant.
    pub(super) fn now(&self) -> Timestamp {
        self.now
    }

    /// The present time of day.
    pub(super) fn unix_time(&self) -> UnixTime {
        self.unix_time
    }

    /// The random generator; each draw changes what the following ones give.
    pub(super) fn rng(&mut self) -> &mut SmallRng {
        &mut self.rng
    }
}

/// What the clock shows at the process's start.
pub(super) fn process_start() -> Timestamp {
    Timestamp::from_millis(whole_millis(constants::CLOCK_START))
}
