//! The time of day.

use crate::model::{UnixTime, whole_millis};
use std::time::{SystemTime, UNIX_EPOCH};

/// The present time of day; the epoch if the system clock is set to a time before it.
pub fn unix_time() -> UnixTime {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(UnixTime::default(), |elapsed| {
        UnixTime::from_millis(whole_millis(elapsed))
    })
}
