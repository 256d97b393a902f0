//! Access to the system clock.

use crate::model::{UnixTime, whole_millis};
use std::time::{SystemTime, UNIX_EPOCH};

/// Returns the current Unix time, or the Unix epoch if the system clock is set to an earlier time.
pub fn unix_time() -> UnixTime {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(UnixTime::default(), |elapsed| {
        UnixTime::from_millis(whole_millis(elapsed))
    })
}
