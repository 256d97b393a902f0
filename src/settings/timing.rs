//! Durations that are derived from the settings.

use super::Workers;
use crate::constants;
use std::time::Duration;

/// Durations that follow from the settings, in whole milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// A worker's lease.
    pub worker_lease: Duration,
    /// How long after the send time of its last proof of leadership and of knowing all
    /// cancellations a leader still responds to heartbeats.
    pub leader_grace: Duration,
    /// A machine that is silent for longer is returned: its tasks have lapsed by then in most
    /// cases, and the cloud's response is the proof.
    pub machine_timeout: Duration,
    /// Between two heartbeats of a worker.
    pub heartbeat_interval: Duration,
    /// Within this time of its last heartbeat comes the next one of a worker that received the
    /// response: heartbeats come up to a quarter late, and a response may take all the time that a
    /// worker waits.
    pub heartbeat_deadline: Duration,
}

impl Timing {
    /// No caller leaves an open connection unused for longer: workers send heartbeats more often,
    /// users ask about every 5 s.
    pub fn max_connection_idle_time(&self) -> Duration {
        2 * self.heartbeat_deadline
    }

    pub(super) fn new(workers: &Workers) -> Timing {
        let whole_millis = |seconds: f64| (seconds * 1000.0) as u64;
        let drift = |millis: u64| millis * constants::CLOCK_DRIFT_PPM / 1_000_000;
        let lease = whole_millis(workers.lease_s);
        let slack = whole_millis(workers.cancel_s).saturating_sub(lease + drift(lease));
        let margin = constants::SAFETY_MARGIN.as_millis() as u64;
        let grace = slack - margin.min(slack / 4);
        let interval = whole_millis(workers.report_s);
        Timing {
            worker_lease: Duration::from_millis(lease),
            leader_grace: Duration::from_millis(grace - drift(grace)),
            machine_timeout: Duration::from_millis(lease),
            heartbeat_interval: Duration::from_millis(interval),
            heartbeat_deadline: Duration::from_millis(interval * 5 / 4)
                + constants::WORKER_RESPONSE_TIMEOUT,
        }
    }
}
