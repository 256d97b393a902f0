//! Constants of the service, grouped by the part that uses them, with their units and the reasons
//! for their values.
//!
//! Values that depend on the deployment are derived from the settings; see
//! [`crate::settings::Timing`].

use std::time::Duration;

// Fleet size

/// Number of machines that caches and queues are sized for: twice the largest fleet that the
/// service is known to run. Larger fleets are not refused; each bound that is derived from this
/// number says what is lost beyond it.
pub const MAX_EXPECTED_MACHINES: usize = 8_000;
/// Number of machines that the memory limit in the settings should be able to hold. Operators are
/// warned if it holds fewer.
pub const MIN_EXPECTED_MACHINES: usize = 100;

// Peers

/// Time without any frame from a peer after which its connection is closed: the peer has missed
/// several announcements and is down or unreachable.
pub const PEER_IDLE_TIMEOUT: Duration = PEER_ANNOUNCE_INTERVAL.saturating_mul(10);
/// Version of the frame format between controller nodes. It must be raised when the layout changes;
/// a peer with another version is disconnected.
pub const PEER_VERSION: u8 = 1;
/// Maximum size of a peer frame, in bytes. An announcement takes a few dozen bytes; the rest is
/// reserved for later extensions.
pub const MAX_PEER_FRAME_BYTES: usize = 4096;
/// Time between two announcements to the same peer. It is well below any lease, so that a
/// superseded leader steps down within about a second, and costs only two small frames per second.
pub const PEER_ANNOUNCE_INTERVAL: Duration = Duration::from_millis(1000);
/// Time without an announcement after which a peer counts as unreachable: three announcements.
pub const PEER_SILENCE_TIMEOUT: Duration = Duration::from_millis(3500);
/// Timeout for connecting to a peer and for exchanging one frame. Peers are at most a few
/// milliseconds apart; an unreachable peer is retried at the next announcement.
pub const PEER_TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum number of concurrent inbound peer connections: one for each of the two peers, and room
/// for dead connections that have not been detected yet.
pub const MAX_PEER_CONNECTIONS: usize = 16;
/// Maximum number of cancellations that are announced to the other nodes concurrently. An
/// unreachable peer blocks each of them for [`PEER_TIMEOUT`], during which nothing else is sent to
/// that peer.
pub const MAX_CANCELLATION_ANNOUNCEMENTS: usize = 4;

// HTTP server

/// Maximum length of the reason in a refusal, in characters.
pub const MAX_REASON_CHARS: usize = 200;
/// Maximum number of attempts to cancel a job whose record changes between read and write.
pub const MAX_CANCELLATION_ATTEMPTS: usize = 3;
/// Maximum size of a request or response body, in bytes, as defined by the protocol.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Number of bytes that are read of an oversized body before the connection to its sender is
/// closed.
pub const MAX_BODY_BYTES_READ: usize = 4 * MAX_BODY_BYTES;
/// Timeout for receiving the body of a request. Users give up after 5 s, workers after 4 s.
pub const BODY_TIMEOUT: Duration = Duration::from_secs(5);
/// Size of the read buffer of a connection, in bytes: the minimum that the HTTP library allows. The
/// head of a request must fit into the buffer; longer bodies are read in pieces.
pub const CONNECTION_BUFFER_BYTES: usize = 8 * 1024;
/// One in this many connections is reserved for requests in flight, so that users, probes and
/// workers without an open connection can connect. If fewer are free, connections are closed after
/// their response, which takes some milliseconds and at most [`HEARTBEAT_HOLD_TIMEOUT`].
pub const RESERVED_CONNECTIONS_DIVISOR: usize = 8;
/// Maximum number of concurrent calls to the state service on behalf of users. Further requests are
/// answered with 503 at once.
pub const MAX_USER_CALLS: usize = 64;
/// Time after which a user's request that waits for the state service is answered with 503: less
/// than the 2 s for which a polling user waits.
pub const USER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Value of the `Retry-After` header of a 503 response, in seconds.
pub const RETRY_AFTER_S: u64 = 1;
/// Maximum number of final job states that a node caches, so that repeated polls need no read.
pub const FINAL_STATE_CACHE_ENTRIES: usize = 2000;

// Memory

/// One in this many bytes of the memory limit is available for request bodies at any time. Bodies
/// and their decoded values together take three times as much: at most a fifth of the memory.
pub const BODY_MEMORY_DIVISOR: usize = 16;
/// One in this many bytes of the memory for request bodies is available for users. The rest is
/// reserved for heartbeats, without which workers stop their tasks.
pub const USER_BODY_MEMORY_DIVISOR: usize = 2;
/// Memory of the process after its start, in bytes.
pub const PROCESS_BASE_BYTES: usize = 5_200_000;
/// Memory of an open connection, including [`CONNECTION_BUFFER_BYTES`], in bytes: 11,200 bytes plus
/// a margin.
pub const BYTES_PER_CONNECTION: usize = 11_500;
/// Memory of a machine with its snapshot, eight tasks and their share of jobs and rounds, without
/// its connection, in bytes: 10,000 bytes at 1,000 machines plus a margin.
pub const BYTES_PER_MACHINE: usize = 10_500;
/// Memory of a cached final job state, in bytes.
pub const BYTES_PER_FINAL_STATE: usize = 250;
/// Memory of a request body together with its decoded value, as a multiple of the body's encoded
/// size: a task that takes 45 bytes in a heartbeat takes another 90 bytes when decoded.
pub const DECODED_BODY_MEMORY_FACTOR: usize = 3;
/// Memory of a response of the state service together with its decoded value, as a multiple of the
/// encoded size. The value of a record is decoded into a tree with a node for each key and each
/// value.
pub const DECODED_RESPONSE_MEMORY_FACTOR: usize = 7;
/// Maximum number of large responses that are decoded concurrently: one of a watch and one page of
/// a list. Responses to users' reads contain one record each.
pub const MAX_CONCURRENT_LARGE_RESPONSES: usize = 2;
/// Maximum size of a page of a list, in bytes, as defined by the protocol. The memory for large
/// responses is calculated with this size. The response to a watch may be larger, up to
/// [`MAX_RESPONSE_BYTES`].
pub const MAX_LIST_PAGE_BYTES: usize = 512 * 1024;

// Machine limits in the settings

/// Smallest share of a core with which the service has been measured, at 692 machines. Operators
/// are warned if the settings give less.
pub const MIN_MEASURED_CPU_SHARE: f64 = 0.019;
/// Memory limit of a node if the settings give none, in MB: enough for [`DEFAULT_CONNECTIONS`].
pub const DEFAULT_MEMORY_MB: f64 = 64.0;
/// Minimum memory limit of a node, in MB. The process takes 5 MB after its start.
pub const MIN_MEMORY_MB: f64 = 16.0;
/// Maximum number of open sockets if the settings give none: a common limit for open files.
pub const DEFAULT_CONNECTIONS: usize = 1000;
/// Minimum for the limit on open sockets: users, probes, workers and the node's own calls each need
/// some.
pub const MIN_CONNECTIONS: usize = 64;
/// Minimum difference between the time allowed for a cancellation and a worker's lease, in seconds.
/// The grace period, in which a leader that receives no changes still responds to heartbeats, must
/// span a few lease renewals and watches.
pub const MIN_CANCEL_SLACK_S: f64 = 3.0;

// HTTP client

/// Maximum number of characters of an unexpected response's body that are shown in the error.
pub const MAX_ERROR_BODY_CHARS: usize = 100;
/// Maximum size of the body of a response, in bytes. Lists of the state service and the cloud reach
/// 512 KiB. The protocol does not limit watch responses; if a response is larger than this, the
/// changes are read again in pages. A decoded response takes several times as much memory.
pub const MAX_RESPONSE_BYTES: usize = 1024 * 1024;
/// Timeout for establishing a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// Maximum number of idle connections per address: enough to avoid the cost of new connections, and
/// few enough for the limit on open sockets.
pub const MAX_IDLE_CONNECTIONS: usize = 8;
/// Time after which an idle connection is closed.
pub const IDLE_CONNECTION_TIMEOUT: Duration = Duration::from_secs(20);
/// Timeout of a call to the state service. A response usually takes 10 ms and occasionally a few
/// hundred milliseconds.
pub const STORE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time that is added to the waiting time of a watch to get the timeout of its call.
pub const WATCH_SLACK: Duration = Duration::from_millis(2000);
/// Timeout of a call to the cloud.
pub const CLOUD_TIMEOUT: Duration = Duration::from_millis(4000);
/// Timeout of commands that are sent directly to a worker.
pub const WORKER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Maximum number of concurrent direct calls to workers. A machine that hangs blocks a call for
/// [`CONNECT_TIMEOUT`]; when a whole rack hangs, the stop commands for the other tasks of its gangs
/// must still be sent within a few seconds.
pub const MAX_WORKER_CALLS: usize = 96;
/// Maximum number of queued direct calls to workers, for stop commands and for other calls
/// separately: two per machine. When a queue is full, new calls are dropped; stop commands are also
/// sent with the responses to heartbeats.
pub const MAX_QUEUED_WORKER_CALLS: usize = 2 * MAX_EXPECTED_MACHINES;

// Rate limits

/// Burst size of the rate limits for calls to the state service and for mutations, in seconds of
/// the sustained rate.
pub const STORE_BURST_S: f64 = 1.0;
/// Minimum time before a caller retries, in seconds, so that rounding does not cause an immediate
/// retry.
pub const MIN_TOKEN_WAIT_S: f64 = 0.001;
/// Share of the state service's published rates that one node uses at most. The three nodes share
/// these rates, and the leader does most of the work.
pub const STORE_RATE_SHARE: f64 = 0.6;
/// Burst size of the rate limit for calls to the cloud, in seconds of the sustained rate, as
/// defined by the protocol.
pub const CLOUD_BURST_S: f64 = 2.0;
/// Share of the state service's rate of changes that each node reserves for its users, in addition
/// to [`STORE_RATE_SHARE`]. Without it, a leader's rounds and completions would take every token
/// where the rate of changes is low.
pub const USER_WRITE_SHARE: f64 = 0.1;
/// Burst size of the rate limit for users' changes, in seconds of the sustained rate. A submission
/// takes one change, a cancellation two.
pub const USER_WRITE_BURST_S: f64 = 2.0;
/// Share of a rate limit's tokens that is reserved: at the state service for lease renewals and the
/// leader's work when users flood a node, at the cloud for returns of machines.
pub const RESERVED_RATE_SHARE: f64 = 0.25;

// Engine

/// Capacity of the engine's queue for results of the node's own calls and messages of peers, in
/// addition to one request per connection. When the queue is full, requests are refused with 503.
pub const ENGINE_QUEUE_COMMANDS: usize = 256;
/// Maximum number of commands that are handled in one batch, so that a flood of commands does not
/// delay time-driven work.
pub const MAX_ENGINE_BATCH: usize = 128;
/// Maximum time between two steps of the engine. It bounds how late a timeout is noticed; such a
/// step costs almost nothing.
pub const ENGINE_TICK: Duration = Duration::from_millis(200);
/// Value of the engine's clock at the start of the process: 100 days, so that the clock can
/// represent earlier times, such as the time at which a machine was rented.
pub const CLOCK_START: Duration = Duration::from_secs(100 * 24 * 3_600);
/// Initial backoff after a failed call to the state service or the cloud.
pub const RETRY_INITIAL_PAUSE: Duration = Duration::from_millis(150);
/// Maximum backoff after failed calls.
pub const RETRY_MAX_PAUSE: Duration = Duration::from_millis(2000);
/// Allowance for message delays and slow steps of this process in every safety margin.
pub const SAFETY_MARGIN: Duration = Duration::from_millis(2000);
/// Assumed drift between two monotonic clocks, in parts per million: each clock drifts by up to
/// 0.05%, which is counted twice.
pub const CLOCK_DRIFT_PPM: u64 = 1000;
/// Time between two passes over the open rounds and the fleet.
pub const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(1000);
/// Time from the start of a node after which the node serves users' queries even without the
/// machine types. Usually the first call returns the machine types; until then, other nodes can
/// serve users better.
pub const MACHINE_TYPES_READY_TIMEOUT: Duration = Duration::from_millis(10_000);
/// Time between two reads of the machine types, whose spot prices change.
pub const MACHINE_TYPES_INTERVAL: Duration = Duration::from_millis(60_000);

// Leadership

/// Time to live of the leader's lease in the state service. It is short enough for a crashed leader
/// to be replaced within a few seconds, and long enough for several renewals, each of which may
/// take a few hundred milliseconds.
pub const LEASE_TTL: Duration = Duration::from_millis(4000);
/// Time between two renewals of the leader's lease. Three renewals are due before a lease that was
/// just renewed expires.
pub const LEASE_RENEWAL_INTERVAL: Duration = Duration::from_millis(1000);
/// Time for which a leader that stepped down because it received no heartbeats does not campaign
/// again, so that another node is elected.
pub const CAMPAIGN_PAUSE_AFTER_STEP_DOWN: Duration = Duration::from_millis(15_000);
/// Time after an election, in addition to two heartbeat intervals, for which a leader waits at most
/// for the first heartbeats before it rents machines. A worker gives up on its previous node after
/// 4 s and needs one more second to find the new leader.
pub const ELECTION_SETTLE_TIME: Duration = Duration::from_millis(5_000);

// Records in the state service

/// Number of mutations that a transaction needs for the end of a job.
pub const MUTATIONS_PER_FINISHED_JOB: usize = 2;
/// Maximum time for which a watch waits for a change. The leader's knowledge of cancellations is as
/// old as the time at which the last answered watch was sent, so this time must be short.
pub const WATCH_TIMEOUT: Duration = Duration::from_millis(1000);
/// Number of items requested per page of a list. A page may take up to 512 KiB; this number keeps
/// pages small enough for the memory of the process.
pub const STORE_LIST_PAGE_ITEMS: u64 = 200;
/// Number of bytes that are kept free in a job's record when the job is accepted, since later
/// versions of the record also contain the time at which the job could start.
pub const JOB_RECORD_RESERVED_BYTES: usize = 64;
/// Number of tasks that a progress record covers. Its hexadecimal text takes 1 KiB, half of the
/// smallest value limit that the settings may give.
pub const PROGRESS_RECORD_TASKS: u32 = 4096;
/// Number of tasks that a progress record covered in the version before dependencies between jobs.
/// It is needed for upgrades, as long as arrays exist that were started by that version.
pub const LEGACY_PROGRESS_RECORD_TASKS: u32 = 8192;
/// Minimum time between two writes of arrays' partial progress and of removals of records. Ends of
/// jobs are written without this delay.
pub const MIN_PROGRESS_WRITE_INTERVAL: Duration = Duration::from_millis(500);
/// Number of changes that the rate limit of the state service must allow between two writes of
/// progress. This makes the interval longer than [`MIN_PROGRESS_WRITE_INTERVAL`] where the rate of
/// changes is low.
pub const CHANGES_PER_PROGRESS_WRITE: f64 = 30.0;

// Dependencies

/// Maximum number of concurrent reads of final records of jobs that other jobs depend on. It is low
/// because a new leader may need many such records.
pub const MAX_FINAL_RECORD_READS: usize = 8;
/// Minimum time between two reads of the latest changes for users' queries about blocked jobs. One
/// read serves all queries that arrived before it.
pub const BLOCKED_JOB_REFRESH_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum time for which a query about a blocked job waits in the engine: less than
/// [`USER_TIMEOUT`].
pub const BLOCKED_JOB_QUERY_TIMEOUT: Duration = Duration::from_millis(1_200);

// Scheduling

/// Maximum number of conditions of a transaction per mutation, as defined by the protocol.
pub const CONDITIONS_PER_MUTATION: usize = 4;
/// Time between two scheduling passes, so that the submissions of a burst share a round.
pub const SCHEDULING_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of task starts that one transaction of a round writes, in as many records as
/// necessary. With its conditions, such a transaction stays well below the limit of 64 KiB. A
/// larger gang takes several transactions.
pub const MAX_STARTS_PER_TRANSACTION: usize = 512;
/// Maximum size of one task start in a round's record, in bytes of JSON: two ids, a number and
/// punctuation.
pub const TASK_START_RECORD_BYTES: usize = 64;
/// Number of bits of an attempt number that count the rounds within a term: one million rounds per
/// term, and terms up to 2^44.
pub const ROUND_BITS: u32 = 20;
/// Time between a round's transaction that got no response and the search for orphaned records of
/// that transaction. After a minute, the state service rarely still applies the transaction;
/// records that are written even later are found by the next leader.
pub const ORPHANED_ROUND_SEARCH_DELAY: Duration = Duration::from_millis(60_000);
/// Time for which a job is left out of rounds after the write of a round has found the job's record
/// changed. The watch usually reports the change within some milliseconds, and after a second at
/// most.
pub const CHANGED_JOB_BACKOFF: Duration = Duration::from_millis(500);
/// Maximum number of tasks on one machine. A heartbeat may take 64 KiB and uses about 85 bytes for
/// each task. Half of it is left for tasks that have exited and have not been forgotten yet.
pub const MAX_TASKS_PER_MACHINE: u32 = 384;
/// Maximum number of a job's unplaced tasks that are counted, even if each task needs its own
/// machine. For a larger job, further machines are rented when these tasks are placed.
pub const MAX_UNPLACED_TASKS: u32 = MAX_EXPECTED_MACHINES as u32;
/// Time after which a job without any started task takes precedence over all others, and resources
/// are reserved for the job if it is a gang. Including the time in which running tasks end, such a
/// job starts within four minutes, as users require. With a much shorter time, every burst would be
/// served in order of arrival instead of priority.
pub const STARVATION_THRESHOLD: Duration = Duration::from_millis(90_000);
/// Number of consecutive failures from which a job does not count as starving: the job would take
/// precedence and reserve resources, only to fail again.
pub const STARVATION_MAX_FAILURES: u32 = 3;
/// Deadline, counted from the submission, by which a job without a deadline is ordered: after all
/// jobs that are due within an hour.
pub const DEFAULT_DEADLINE: Duration = Duration::from_millis(3_600_000);

// Preemption and consolidation

/// Time for which a job waits before other tasks are preempted for it, since resources often become
/// free without preemption.
pub const PREEMPTION_DELAY: Duration = Duration::from_millis(3_000);
/// Time between two preemptions for the same job: stopping tasks with a checkpoint, reporting it
/// and starting the job's tasks takes several seconds.
pub const PREEMPTION_COOLDOWN: Duration = Duration::from_millis(15_000);
/// Maximum number of jobs per pass for which the search for victims finds none. The search for
/// these jobs is repeated after [`PREEMPTION_DELAY`], so that other jobs are considered in the
/// meantime.
pub const MAX_PREEMPTION_SEARCHES: usize = 8;
/// Minimum time that a task runs before it may be preempted. By the protocol, a start counts only
/// if the task is not stopped for 30 s.
pub const MIN_RUN_BEFORE_PREEMPTION: Duration = Duration::from_millis(30_000);
/// Time between two decisions to drain a machine for consolidating services. Stopping replicas,
/// reporting it and starting them elsewhere takes several seconds, and the next decision must be
/// based on the result.
pub const CONSOLIDATION_INTERVAL: Duration = Duration::from_millis(10_000);
/// Maximum utilization of a machine that may be drained, in thousandths. Of two machines whose
/// replicas fit on one, the replicas of the fuller machine stay.
pub const MAX_DRAINED_USE_PERMILLE: u64 = 500;

// Workers

/// Maximum number of doublings of the backoff after failures. The backoff reaches its maximum much
/// earlier.
pub const MAX_BACKOFF_DOUBLINGS: u32 = 16;
/// Number of heartbeat intervals after which a start that has not been sent is undone.
pub const STALLED_START_HEARTBEATS: u32 = 3;
/// Time for which a worker waits for the response to its heartbeat, as defined by the protocol.
pub const WORKER_RESPONSE_TIMEOUT: Duration = Duration::from_millis(4_000);
/// Maximum time for which the response to a heartbeat is held back until a round is written. A
/// commit usually takes about 10 ms and occasionally a few hundred milliseconds; a worker waits for
/// 4 s.
pub const HEARTBEAT_HOLD_TIMEOUT: Duration = Duration::from_millis(400);
/// Number of bits of a fencing token below the leader's term. This part is incremented at most
/// twice per worker lease, so it lasts longer than any process runs.
pub const TOKEN_BITS: u32 = 20;
/// Maximum number of remembered workers that were redirected to a leader that can't be reached.
/// Workers beyond it are treated as if they had not been redirected before.
pub const MAX_REDIRECTS_REMEMBERED: usize = MAX_EXPECTED_MACHINES;
/// Number of times that a start is resent when it is missing from the next heartbeat, before its
/// round counts as stalled.
pub const MAX_START_RESENDS: u32 = 3;
/// Number of times that the commands to start an exited task of a gang again are sent in the same
/// attempt. A gang that has not begun by then is kept from it by something else than image fetches,
/// and is placed anew.
pub const MAX_GANG_RESTARTS: u32 = 3;
/// Multiple of the nominal time to fetch a machine's images after which a fetch counts as stalled.
/// By the protocol a machine may fetch a third slower than its nominal rate.
pub const STALLED_FETCH_FACTOR: f64 = 3.0;
/// Minimum time after which an image fetch counts as stalled.
pub const MIN_FETCH_TIME_LIMIT: Duration = Duration::from_millis(60_000);
/// Number of different jobs with failed tasks on a machine, without a completion in between, at
/// which the machine is quarantined. Failures of a single job may be the job's own fault.
pub const QUARANTINE_FAILED_JOBS: usize = 2;
/// Minimum number of machines on which a cancelled job has failed, without a completion in between,
/// for the job to be taken to be at fault rather than the machines.
pub const MIN_MACHINES_FAILED_BY_FAULTY_JOB: usize = 2;
/// Time for which a task has to run for its job to be taken not to fail on every machine.
pub const SOUND_JOB_RUN_TIME: Duration = Duration::from_millis(30_000);
/// Initial backoff of a job after the failure of a task; the backoff doubles with each consecutive
/// failure. A job that was submitted with a mistake fails on every machine and must not use up the
/// fleet.
pub const TASK_FAILURE_INITIAL_BACKOFF: Duration = Duration::from_millis(1_000);
/// Maximum backoff of a job after failures of its tasks.
pub const TASK_FAILURE_MAX_BACKOFF: Duration = Duration::from_millis(60_000);

// Autoscaling

/// Maximum age of a listed machine that is accepted, in seconds; higher values are reduced to it.
pub const MAX_MACHINE_AGE_S: f64 = 1e9;
/// Lower bound on the fetch rate of a machine type, in GB/s. A rate of 0 would lead to a division
/// by 0.
pub const MIN_FETCH_GB_PER_S: f64 = 1e-3;
/// Time between two reads of the machine list, which may be out of date by some seconds in any
/// case.
pub const MACHINE_LIST_INTERVAL: Duration = Duration::from_millis(6000);
/// Number of machines per page of the cloud's list: the maximum that the protocol allows.
pub const MACHINE_LIST_PAGE_ITEMS: u64 = 500;
/// Maximum number of pages of one list: four times as many as [`MAX_EXPECTED_MACHINES`] machines
/// take. A longer list is abandoned and read again later.
pub const MAX_MACHINE_LIST_PAGES: u32 =
    4 * (MAX_EXPECTED_MACHINES as u32).div_ceil(MACHINE_LIST_PAGE_ITEMS as u32);
/// Maximum number of machines in one rental request.
pub const MAX_MACHINES_PER_RENTAL: u64 = 50;
/// Maximum number of machines in one return request.
pub const MAX_MACHINES_PER_RETURN: usize = 100;
/// Maximum number of returned machines that are remembered, so that late heartbeats and outdated
/// lists do not add them again. A list is up to half a minute out of date, a heartbeat up to some
/// minutes. The oldest entries are removed first; the limit allows for four returns of each machine
/// of the largest expected fleet.
pub const MAX_RETURNED_MACHINES_REMEMBERED: usize = 4 * MAX_EXPECTED_MACHINES;
/// Time between two passes that rent machines while more machines are needed than one pass could
/// request. Rentals are limited by the rate of calls to the cloud, not by this interval.
pub const RENTAL_PASS_INTERVAL: Duration = Duration::from_millis(200);
/// Initial backoff of an offer after a refused rental; the backoff doubles with each further
/// refusal.
pub const REFUSED_OFFER_INITIAL_PAUSE: Duration = Duration::from_millis(5_000);
/// Maximum backoff of an offer after refused rentals.
pub const REFUSED_OFFER_MAX_PAUSE: Duration = Duration::from_millis(15_000);
/// Multiple of its nominal boot time after which a machine that is not up is returned. Most boots
/// take up to 1.5 times the nominal time, a few take several times as long, and some machines never
/// come up.
pub const BOOT_TIMEOUT_FACTOR: f64 = 3.0;
/// Minimum time after which a machine that is not up is returned.
pub const MIN_BOOT_TIMEOUT: Duration = Duration::from_millis(45_000);
/// Minimum time for which the cloud charges a machine. An earlier return saves nothing.
pub const MIN_CHARGED_TIME: Duration = Duration::from_millis(60_000);
/// At most one in this many of the machines that should be up may be without a first heartbeat when
/// a new leader starts to rent machines. The resources of so few machines matter little, and the
/// number of dead machines is usually lower.
pub const UNHEARD_MACHINES_DIVISOR: usize = 4;
/// Maximum number of job arrivals that are remembered, at a few hundred bytes each. A burst at 700
/// machines brings 600 arrivals within [`ARRIVAL_WINDOW`]. The oldest arrivals are removed first,
/// and the rate is then calculated over the time that the others span.
pub const MAX_ARRIVALS: usize = MAX_EXPECTED_MACHINES;
/// Time over which the arrival rate is calculated: long enough for a few arrivals of each class,
/// and short enough to follow a burst.
pub const ARRIVAL_WINDOW: Duration = Duration::from_millis(180_000);
