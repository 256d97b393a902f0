//! Typed points in time with millisecond resolution, the resolution of the scheduler.

use serde::{Deserialize, Serialize};
use std::ops::Add;
use std::time::Duration;

/// Returns the duration in whole milliseconds; fractions are dropped.
pub fn whole_millis(duration: Duration) -> u64 {
    duration.as_millis() as u64
}

/// A point in time on the engine's monotonic clock.
///
/// Timestamps of different processes cannot be compared.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Timestamp(u64);

impl Timestamp {
    /// Creates the timestamp that is `millis` milliseconds after the clock's zero.
    pub const fn from_millis(millis: u64) -> Self {
        Timestamp(millis)
    }

    /// Returns the time since `earlier`, or zero if `earlier` is later than `self`.
    pub fn saturating_since(self, earlier: Timestamp) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }

    /// Returns the timestamp that is `duration` earlier, at least the clock's zero.
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

/// A wall-clock time in milliseconds since the Unix epoch.
///
/// Nodes agree on it within the error of their clocks.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct UnixTime(u64);

impl UnixTime {
    /// Creates the time that is `millis` milliseconds after the Unix epoch.
    pub const fn from_millis(millis: u64) -> Self {
        UnixTime(millis)
    }

    /// Returns the milliseconds since the Unix epoch.
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// Returns the time since `earlier`, or zero if `earlier` is later than `self`.
    pub fn saturating_since(self, earlier: UnixTime) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }

    /// Returns the time that is `duration` later, at most the largest representable time.
    pub fn saturating_add(self, duration: Duration) -> UnixTime {
        UnixTime(self.0.saturating_add(whole_millis(duration)))
    }
}
