//! Durations that are derived from the settings.

use super::Workers;
use crate::constants as k;
use std::time::Duration;

/// Durations that follow from the settings, ms.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// A worker's lease.
    pub worker_lease: u64,
    /// How long after the send time of its last proof of leadership and of knowing all
    /// cancellations a leader still answers reports ("grace").
    pub grace: u64,
    /// A machine silent this long is returned: its tasks have lapsed by then in most cases,
    /// and the cloud's answer is the proof.
    pub silent: u64,
    /// Between two reports of a worker.
    pub report: u64,
    /// Within this time of its last report comes the next one of a worker that took the answer:
    /// reports come up to a quarter late, and an answer may take all the time a worker waits.
    pub on_time: u64,
}

impl Timing {
    /// No caller leaves an open connection unused for longer: workers report more often, users
    /// ask about every 5 s.
    pub fn pause(&self) -> Duration {
        Duration::from_millis(2 * self.on_time)
    }

    pub(super) fn new(w: &Workers) -> Timing {
        let ms = |s: f64| (s * 1000.0) as u64;
        let slow = |t: u64| t + t * k::DRIFT_PPM / 1_000_000;
        let lease = ms(w.lease_s);
        let slack = ms(w.cancel_s).saturating_sub(slow(lease));
        let grace = slack - k::SAFETY_MARGIN_MS.min(slack / 4);
        Timing {
            worker_lease: lease,
            grace: grace - grace * k::DRIFT_PPM / 1_000_000,
            silent: lease,
            report: ms(w.report_s),
            on_time: ms(w.report_s) * 5 / 4 + k::WORKER_WAIT_MS,
        }
    }
}
