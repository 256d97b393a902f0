//! Typed instants with the millisecond resolution in which the scheduler works.

use serde::{Deserialize, Serialize};
use std::ops::Add;
use std::time::Duration;

/// Whole milliseconds of a duration.
pub fn whole_millis(duration: Duration) -> u64 {
    duration.as_millis() as u64
}

/// An instant of the engine's monotonic clock. Instants of two processes can't be compared.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Timestamp(u64);

impl Timestamp {
    /// The instant so many milliseconds after the clock's zero.
    pub const fn from_millis(millis: u64) -> Self {
        Timestamp(millis)
    }

    /// Time that has passed since an earlier instant; zero if that one is later.
    pub fn saturating_since(self, earlier: Timestamp) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }

    /// The instant that much earlier, or the clock's zero.
    pub fn saturating_sub(self, duration: Duration) -> Timestamp {
        Timestamp(self.0.saturating_sub(whole_millis(duration)))
    }
}

impl Add<Duration> for Timestamp {
    type Output = Timestamp;

    fn add(self, duration: Duration) -> Timestamp {
        Timestamp(self.0 + whole_millis(duration))
    }
}

/// A time of day as milliseconds of unix time: the same on all nodes, within the error of their
/// clocks.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct UnixTime(u64);

impl UnixTime {
    /// The time so many milliseconds after the epoch.
    pub const fn from_millis(millis: u64) -> Self {
        UnixTime(millis)
    }

    /// Milliseconds since the epoch.
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// Time that has passed since an earlier time; zero if that one is later.
    pub fn saturating_since(self, earlier: UnixTime) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }

    /// The time that much later, at most the latest that there is.
    pub fn saturating_add(self, duration: Duration) -> UnixTime {
        UnixTime(self.0.saturating_add(whole_millis(duration)))
    }
}
