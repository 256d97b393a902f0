//! Derives durations from the settings.

use super::Workers;
use crate::constants;
use crate::model::GangTiming;
use std::time::Duration;

/// Durations that are derived from the settings, in whole milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// A worker's lease.
    pub worker_lease: Duration,
    /// Time for which a leader still responds to heartbeats, counted from the time at which it sent
    /// the last successful calls that confirm its leadership and return all cancellations.
    pub leader_grace: Duration,
    /// Time without a heartbeat after which a machine is returned. In most cases the worker's lease
    /// has expired and its tasks have stopped; the cloud's response to the return confirms it.
    pub machine_timeout: Duration,
    /// Time between two heartbeats of a worker.
    pub heartbeat_interval: Duration,
    /// Times that decide when the exited tasks of a gang are started again.
    pub gang: GangTiming,
    /// Time after a worker's heartbeat within which its next heartbeat arrives, if the worker
    /// received the response. Heartbeats may be late by a quarter of the interval, and a response
    /// may take as long as a worker waits for it.
    pub heartbeat_deadline: Duration,
}

impl Timing {
    /// Returns the maximum time for which a caller leaves an open connection unused. Workers send
    /// heartbeats more often than that, and users poll about every 5 s.
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
        let heartbeat_deadline =
            Duration::from_millis(interval * 5 / 4) + constants::WORKER_RESPONSE_TIMEOUT;
        Timing {
            gang: GangTiming {
                wait: Duration::from_millis(whole_millis(workers.gang_wait_s)),
                restart: heartbeat_deadline,
            },
            worker_lease: Duration::from_millis(lease),
            leader_grace: Duration::from_millis(grace - drift(grace)),
            machine_timeout: Duration::from_millis(lease),
            heartbeat_interval: Duration::from_millis(interval),
            heartbeat_deadline,
        }
    }
}
