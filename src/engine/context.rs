//! The context shared by all components of the engine: settings, time and random generator.

use crate::constants;
use crate::model::{Timestamp, UnixTime, whole_millis};
use crate::settings::{Settings, Timing};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::sync::Arc;
use std::time::Duration;

/// The engine's settings, clock and random generator. No component of the engine reads another
/// clock or uses another generator, which keeps the engine deterministic.
#[derive(Debug)]
pub(super) struct Context {
    settings: Arc<Settings>,
    timing: Timing,
    now: Timestamp,
    unix_time: UnixTime,
    rng: SmallRng,
}

impl Context {
    /// Creates the context of a process that is starting. The seed determines all random numbers.
    pub(super) fn new(settings: Arc<Settings>, seed: u64) -> Self {
        Context {
            timing: settings.timing(),
            settings,
            now: Timestamp::default(),
            unix_time: UnixTime::default(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Sets the clock to the given time since the start of the process. The monotonic time never
    /// goes back.
    pub(super) fn advance(&mut self, elapsed: Duration, unix_time: UnixTime) {
        self.now = self.now.max(process_start() + elapsed);
        self.unix_time = unix_time;
    }

    /// Returns the settings of this node and its cluster.
    pub(super) fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns the durations that are derived from the settings.
    pub(super) fn timing(&self) -> &Timing {
        &self.timing
    }

    /// Returns the current monotonic time.
    pub(super) fn now(&self) -> Timestamp {
        self.now
    }

    /// Returns the current Unix time.
    pub(super) fn unix_time(&self) -> UnixTime {
        self.unix_time
    }

    /// Returns the random generator, whose state advances with each number drawn.
    pub(super) fn rng(&mut self) -> &mut SmallRng {
        &mut self.rng
    }
}

/// Returns the monotonic time at the start of the process.
pub(super) fn process_start() -> Timestamp {
    Timestamp::from_millis(whole_millis(constants::CLOCK_START))
}
