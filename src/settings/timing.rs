//! Durations that are derived from the settings.

use super::Workers;
use crate::constants;
use std::time::Duration;

/// Durations that follow from the settings, ms.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// A worker's lease.
    pub worker_lease: u64,
    /// How long after the send time of its last proof of leadership and of knowing all
    /// cancellations a leader still answers reports ("grace").
    pub leader_grace: u64,
    /// A machine silent this long is returned: its tasks have lapsed by then in most cases,
    /// and the cloud's answer is the proof.
    pub machine_timeout: u64,
    /// Between two reports of a worker.
    pub heartbeat_interval: u64,
    /// Within this time of its last report comes the next one of a worker that took the answer:
    /// reports come up to a quarter late, and an answer may take all the time a worker waits.
    pub heartbeat_deadline: u64,
}

impl Timing {
    /// No caller leaves an open connection unused for longer: workers report more often, users
    /// ask about every 5 s.
    pub fn pause(&self) -> Duration {
        Duration::from_millis(2 * self.heartbeat_deadline)
    }

    pub(super) fn new(w: &Workers) -> Timing {
        let ms = |s: f64| (s * 1000.0) as u64;
        let slow = |t: u64| t + t * constants::DRIFT_PPM / 1_000_000;
        let lease = ms(w.lease_s);
        let slack = ms(w.cancel_s).saturating_sub(slow(lease));
        let grace = slack - constants::SAFETY_MARGIN_MS.min(slack / 4);
        Timing {
            worker_lease: lease,
            leader_grace: grace - grace * constants::DRIFT_PPM / 1_000_000,
            machine_timeout: lease,
            heartbeat_interval: ms(w.report_s),
            heartbeat_deadline: ms(w.report_s) * 5 / 4 + constants::WORKER_RESPONSE_TIMEOUT_MS,
        }
    }
}
