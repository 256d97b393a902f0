//! Every constant of the service, grouped by the part that uses it, with its unit and the reason for
//! its value.
//!
//! What depends on a deployment is not here: it is derived from the settings, in
//! [`crate::settings::Timing`].

use std::time::Duration;

// Fleet size

/// Machines that the bounds on caches and queues are made for: twice the largest fleet that the
/// service is known to run. None is refused for their number; each bound says what is lost beyond it.
pub const MAX_EXPECTED_MACHINES: usize = 8_000;
/// Machines that the memory given in the settings should carry; operators are warned below that.
pub const MIN_EXPECTED_MACHINES: usize = 100;

// Peers

/// A connection on which a peer has sent nothing for this long is closed: the peer has missed
/// several announcements and is gone or unreachable.
pub const PEER_IDLE_TIMEOUT: Duration = PEER_ANNOUNCE_INTERVAL.saturating_mul(10);
/// Version of the frames between controller nodes. Raised when their layout changes; a peer of
/// another version is disconnected.
pub const PEER_VERSION: u8 = 1;
/// Bytes of one peer frame: an announcement takes a few dozen; the rest is room to grow.
pub const MAX_PEER_FRAME_BYTES: usize = 4096;
/// Between two announcements to the same peer: well below any lease, so that a superseded leader
/// steps down within a second or so, and cheap (two small frames a second).
pub const PEER_ANNOUNCE_INTERVAL: Duration = Duration::from_millis(1000);
/// A peer not heard of for this long counts as unreachable: three announcements.
pub const PEER_SILENCE_TIMEOUT: Duration = Duration::from_millis(3500);
/// For connecting to a peer or exchanging one frame: peers are at most a few ms apart; an
/// unreachable one is tried again at the next announcement.
pub const PEER_TIMEOUT: Duration = Duration::from_millis(800);
/// Inbound peer connections at once: two peers, with room for ones not yet noticed as dead.
pub const MAX_PEER_CONNECTIONS: usize = 16;
/// Cancellations at once that other nodes are told of: a peer that can't be reached takes up
/// [`PEER_TIMEOUT`] for each, in which nothing else is sent to it.
pub const MAX_CANCELLATION_ANNOUNCEMENTS: usize = 4;

// HTTP server

/// Most characters of the reason in a refusal.
pub const MAX_REASON_CHARS: usize = 200;
/// How often a cancellation is attempted when the job's record changes between read and write.
pub const MAX_CANCELLATION_ATTEMPTS: usize = 3;
/// Bytes of a request or response body, by the protocol.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Bytes that are read of a longer body before its sender is cut off.
pub const MAX_BODY_BYTES_READ: usize = 4 * MAX_BODY_BYTES;
/// How long a request's body may take to arrive: a user gives up after 5 s, a worker after 4.
pub const BODY_TIMEOUT: Duration = Duration::from_secs(5);
/// Bytes that one connection buffers of what it reads, the least that the HTTP library allows: the
/// head of a request has to fit, longer bodies come in pieces.
pub const CONNECTION_BUFFER_BYTES: usize = 8 * 1024;
/// One in so many sockets is kept for requests in flight, so that users, probes and workers
/// without an open connection find one: a response takes some ms, at most
/// [`HEARTBEAT_HOLD_TIMEOUT`].
pub const RESERVED_CONNECTIONS_DIVISOR: usize = 8;
/// Calls at once to the state service on behalf of users: past it users get 503 at once.
pub const MAX_USER_CALLS: usize = 64;
/// How long a user's request may wait for the state service before it is answered 503: below
/// the 2 s that a polling user waits.
pub const USER_TIMEOUT: Duration = Duration::from_millis(1500);
/// What a user is told to wait after a 503, s.
pub const RETRY_AFTER_S: u64 = 1;
/// Final job states cached by a node, so that repeated polls need no read.
pub const FINAL_STATE_CACHE_ENTRIES: usize = 2000;

// Memory

/// One in so many bytes of a machine's memory is for bodies of requests at once: with what is decoded
/// from them, three times as large, a fifth of the memory at most.
pub const BODY_MEMORY_DIVISOR: usize = 16;
/// One in so many bytes of that is for users: the rest is for heartbeats, which keep tasks alive.
pub const USER_BODY_MEMORY_DIVISOR: usize = 2;
/// Bytes that the process holds at its start, as measured.
pub const PROCESS_BASE_BYTES: usize = 5_200_000;
/// Bytes that an open connection holds, [`CONNECTION_BUFFER_BYTES`] included: 11,200 measured.
pub const BYTES_PER_CONNECTION: usize = 11_500;
/// Bytes that a machine holds with its snapshot, eight tasks and their part of jobs and rounds, beside
/// its connection: 10,000 measured at 1,000 machines.
pub const BYTES_PER_MACHINE: usize = 10_500;
/// Bytes that a cached final state holds.
pub const BYTES_PER_FINAL_STATE: usize = 250;
/// How many times its encoded size a request's body takes with what is decoded from it: a task of 45
/// bytes in a heartbeat becomes 90.
pub const DECODED_BODY_MEMORY_FACTOR: usize = 3;
/// The same of a response of the state service: a record's value becomes a tree with a node for each
/// key and each value.
pub const DECODED_RESPONSE_MEMORY_FACTOR: usize = 7;
/// Large responses that are decoded at once: a watch's, and a page of a list. Users' are a record
/// each.
pub const MAX_CONCURRENT_LARGE_RESPONSES: usize = 2;
/// Bytes of such a response: a page of lists, by the protocol.
pub const MAX_LIST_PAGE_BYTES: usize = 512 * 1024;

// Machine limits in the settings

/// The least share of a core that the service was measured with, at 692 machines.
pub const MIN_MEASURED_CPU_SHARE: f64 = 0.019;
/// Memory of a machine if the settings do not say, MB: enough for [`DEFAULT_CONNECTIONS`].
pub const DEFAULT_MEMORY_MB: f64 = 64.0;
/// Memory without which a node can't work, MB: its start alone takes five.
pub const MIN_MEMORY_MB: f64 = 16.0;
/// Sockets a machine allows if the settings do not say: a common limit of open files.
pub const DEFAULT_CONNECTIONS: usize = 1000;
/// Sockets without which a node can't work: users, probes, workers and its own calls need some.
pub const MIN_CONNECTIONS: usize = 64;
/// Least time, s, between a worker's lease and the time allowed for a cancellation: the grace
/// in which a leader without news still responds to heartbeats must span a few renewals and watches.
pub const MIN_CANCEL_SLACK_S: f64 = 3.0;

// HTTP client

/// Characters of an unexpected response's body that its error shows.
pub const MAX_ERROR_BODY_CHARS: usize = 100;
/// Bytes of a response of the state service or cloud: lists reach 512 KiB. A watch has no stated limit:
/// what changed is read again in pages if it is more. Decoded it takes several times as much memory.
pub const MAX_RESPONSE_BYTES: usize = 1024 * 1024;
/// To set up a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// Idle connections kept to one address: enough to avoid set-up cost, few enough for the limit on
/// sockets.
pub const MAX_IDLE_CONNECTIONS: usize = 8;
/// How long an idle connection is kept.
pub const IDLE_CONNECTION_TIMEOUT: Duration = Duration::from_secs(20);
/// Deadline of one call to the state service: responses take 10 ms, at times a few hundred.
pub const STORE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Deadline of a watch beyond its own waiting time.
pub const WATCH_SLACK: Duration = Duration::from_millis(2000);
/// Deadline of one call to the cloud.
pub const CLOUD_TIMEOUT: Duration = Duration::from_millis(4000);
/// Deadline of commands sent directly to a worker.
pub const WORKER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Direct calls to workers at once: a hung machine takes up [`CONNECT_TIMEOUT`], and when a rack
/// hangs, the stops of its gangs' other tasks must go out within some seconds.
pub const MAX_WORKER_CALLS: usize = 96;
/// Direct calls to workers that wait, of stops and of other calls each: two for each machine. Beyond
/// that the oldest stay and new ones are dropped; stops go with the responses to heartbeats as well.
pub const MAX_QUEUED_WORKER_CALLS: usize = 2 * MAX_EXPECTED_MACHINES;

// Rate limits

/// Seconds' worth of calls, and of mutations, that may be made at once.
pub const STORE_BURST_S: f64 = 1.0;
/// Shortest time after which a caller tries again: rounding must not make it try at once.
pub const MIN_TOKEN_WAIT_S: f64 = 0.001;
/// Share of the state service's published rates that one node allows itself: the leader does
/// most of the work, and three nodes share the limits.
pub const STORE_RATE_SHARE: f64 = 0.6;
/// Seconds' worth of calls that the cloud accepts at once, by the protocol.
pub const CLOUD_BURST_S: f64 = 2.0;
/// Beside that, share of the changes a second that each node keeps for its users: where few changes a
/// second are allowed, a leader's rounds and completions would take every token.
pub const USER_WRITE_SHARE: f64 = 0.1;
/// Seconds' worth of users' changes at once: a submission takes one, a cancellation two.
pub const USER_WRITE_BURST_S: f64 = 2.0;
/// Share kept back for lease renewals and the leader's work when users flood a node, and for returns
/// among the calls to the cloud.
pub const RESERVED_RATE_SHARE: f64 = 0.25;

// Engine

/// Outcomes of the node's own calls, and peers' messages, waiting for the engine, beside one
/// request of each connection. Past all of that requests are refused with 503.
pub const ENGINE_QUEUE_COMMANDS: usize = 256;
/// Commands handled in one batch, so that a flood cannot hold up time-driven work.
pub const MAX_ENGINE_BATCH: usize = 128;
/// Longest time between two steps of the engine: bounds how late a timeout is noticed, and costs next
/// to nothing.
pub const ENGINE_TICK: Duration = Duration::from_millis(200);
/// What the engine's clock shows at the process's start: 100 days, so that it can represent times
/// before that, such as when a machine was rented.
pub const CLOCK_START: Duration = Duration::from_secs(100 * 24 * 3_600);
/// First pause after a failed call to the state service or the cloud.
pub const RETRY_INITIAL_PAUSE: Duration = Duration::from_millis(150);
/// Longest pause after failed calls.
pub const RETRY_MAX_PAUSE: Duration = Duration::from_millis(2000);
/// Allowance for messages and slow turns of our own process, in every safety margin.
pub const SAFETY_MARGIN: Duration = Duration::from_millis(2000);
/// Monotonic clocks drift by up to 0.05%; counted double, for two clocks, in parts per million.
pub const CLOCK_DRIFT_PPM: u64 = 1000;
/// Between two passes over open rounds and over the fleet.
pub const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(1000);
/// A node that has not learnt the machine types for this long after its start serves users'
/// questions without them: usually the first call tells, and until then others serve better.
pub const MACHINE_TYPES_READY_TIMEOUT: Duration = Duration::from_millis(10_000);
/// Between reading the machine types again (spot prices move).
pub const MACHINE_TYPES_INTERVAL: Duration = Duration::from_millis(60_000);

// Leadership

/// A leader's lease in the state service. Short, so that a crashed leader is replaced in a few
/// seconds; long enough for several renewals, each of which may take a few hundred ms.
pub const LEASE_TTL: Duration = Duration::from_millis(4000);
/// Between renewals: three more chances before the lease expires.
pub const LEASE_RENEWAL_INTERVAL: Duration = Duration::from_millis(1000);
/// A leader that has stepped down because it could not hear the workers does not campaign again for
/// this long, so that another node does.
pub const CAMPAIGN_PAUSE_AFTER_STEP_DOWN: Duration = Duration::from_millis(15_000);
/// After an election, besides two heartbeats: a worker gives up on its old node after 4 s and needs a
/// second to find the new leader.
pub const ELECTION_SETTLE_TIME: Duration = Duration::from_millis(5_000);

// Records in the state service

/// Mutations that the end of a job takes.
pub const MUTATIONS_PER_FINISHED_JOB: usize = 2;
/// How long a watch may stay open without a change. The send time of an answered watch is what the
/// leader's knowledge of cancellations counts from, so it must be short.
pub const WATCH_TIMEOUT: Duration = Duration::from_millis(1000);
/// Items of a listing page: pages come to 512 KiB at most; this many items keep them small enough for
/// the process's memory.
pub const STORE_LIST_PAGE_ITEMS: u64 = 200;
/// Bytes of a job's record kept free when it is accepted: later ones tell when it could begin.
pub const JOB_RECORD_RESERVED_BYTES: usize = 64;
/// Tasks a progress record covers: as hexadecimal text 1 KiB, half of the least value limit that the
/// settings may give.
pub const PROGRESS_RECORD_TASKS: u32 = 4096;
/// Tasks such a record covered in the version before dependencies between jobs. For the upgrade: once
/// no array is left that it began, nothing reads it.
pub const LEGACY_PROGRESS_RECORD_TASKS: u32 = 8192;
/// Between two writes of partial progress of arrays and removals of records, at least; ends of jobs do
/// not wait.
pub const MIN_PROGRESS_WRITE_INTERVAL: Duration = Duration::from_millis(500);
/// Where few changes a second are allowed, that interval is the time in which so many are.
pub const CHANGES_PER_PROGRESS_WRITE: f64 = 30.0;

// Dependencies

/// Reads in flight of how jobs ended that others depend on: few, since a new leader may need many.
pub const MAX_FINAL_RECORD_READS: usize = 8;
/// Between two reads of the newest changes on behalf of users who ask about blocked jobs: one serves
/// all that asked before it.
pub const BLOCKED_JOB_REFRESH_INTERVAL: Duration = Duration::from_millis(50);
/// How long such a question waits in the engine: below [`USER_TIMEOUT`].
pub const BLOCKED_JOB_QUERY_TIMEOUT: Duration = Duration::from_millis(1_200);

// Scheduling

/// Conditions that a transaction may have for each mutation, by the protocol.
pub const CONDITIONS_PER_MUTATION: usize = 4;
/// Between two scheduling passes: submissions of a burst share a round.
pub const SCHEDULING_INTERVAL: Duration = Duration::from_millis(100);
/// Starts that one transaction of a round writes, in as many records as that takes: with its
/// conditions it stays well below the 64 KiB of a transaction. A larger gang takes several.
pub const MAX_STARTS_PER_TRANSACTION: usize = 512;
/// JSON bytes that one start takes in a round's record, at most: two ids, a number, marks.
pub const TASK_START_RECORD_BYTES: usize = 64;
/// Bits of an attempt number that count rounds within a term: a million rounds a term, and
/// terms up to 2^44.
pub const ROUND_BITS: u32 = 20;
/// How long after a round's transaction got no response orphaned records of it are looked for: a
/// response that is missing for a minute rarely means that more is still to come, and what comes
/// later is found by the next leader.
pub const ORPHANED_ROUND_SEARCH_DELAY: Duration = Duration::from_millis(60_000);
/// A job whose record was found changed when its round was written is left out of rounds for this
/// long: the watch usually tells of the change within some ms, and at most a second later.
pub const CHANGED_JOB_BACKOFF: Duration = Duration::from_millis(500);
/// Tasks on one machine at most: a heartbeat takes up to 64 KiB and names each task in some 85 bytes,
/// those that have exited and wait to be forgotten as well, for which half of it is left.
pub const MAX_TASKS_PER_MACHINE: u32 = 384;
/// Unplaced tasks of one job that are counted, even if each needs a machine of its own: a larger job
/// rents for the rest once these are placed.
pub const MAX_UNPLACED_TASKS: u32 = MAX_EXPECTED_MACHINES as u32;
/// A job of which nothing has begun for this long goes before all others, and resources are reserved
/// for a gang: with the time that running work takes to end it begins within four minutes, which the
/// users ask for. Much shorter, and every burst would be served in order of arrival instead of by
/// priority.
pub const STARVATION_THRESHOLD: Duration = Duration::from_millis(90_000);
/// From this many failures in a row on a job does not count as starving: it would go first, and
/// reserve resources, only to fail again.
pub const STARVATION_MAX_FAILURES: u32 = 3;
/// Where a job without a deadline stands among those with one, after its submission: behind all that
/// are due within an hour.
pub const DEFAULT_DEADLINE: Duration = Duration::from_millis(3_600_000);

// Preemption and consolidation

/// A job waits this long before others are preempted for it: resources often free up by themselves.
pub const PREEMPTION_DELAY: Duration = Duration::from_millis(3_000);
/// And this long before more are preempted for it: stopping with a checkpoint, reporting it and
/// starting take several seconds.
pub const PREEMPTION_COOLDOWN: Duration = Duration::from_millis(15_000);
/// Jobs for which victims are searched in vain in one pass; they are searched for again after
/// [`PREEMPTION_DELAY`], so that the next ones get their turn.
pub const MAX_PREEMPTION_SEARCHES: usize = 8;
/// A task that started less than this long ago is not preempted: by the protocol a start counts only
/// if the task is left alone for 30 s.
pub const MIN_RUN_BEFORE_PREEMPTION: Duration = Duration::from_millis(30_000);
/// Between two machines that are drained to consolidate services: stopping replicas, reporting it and
/// starting them elsewhere takes several seconds, and the next choice has to see what is left.
pub const CONSOLIDATION_INTERVAL: Duration = Duration::from_millis(10_000);
/// Most of a machine in use, in thousandths, for it to be drained: of two that could be joined,
/// the fuller one's replicas stay.
pub const MAX_DRAINED_USE_PERMILLE: u64 = 500;

// Workers

/// Most doublings of the pause after failures; it reaches its maximum long before.
pub const MAX_BACKOFF_DOUBLINGS: u32 = 16;
/// A start that is not sent within so many heartbeat intervals is undone.
pub const STALLED_START_HEARTBEATS: u32 = 3;
/// How long a worker waits for the response to its heartbeat, by the protocol.
pub const WORKER_RESPONSE_TIMEOUT: Duration = Duration::from_millis(4_000);
/// How long the response to a heartbeat may wait for a round to be written: a commit takes about
/// 10 ms, at times a few hundred; a worker waits 4 s.
pub const HEARTBEAT_HOLD_TIMEOUT: Duration = Duration::from_millis(400);
/// Bits of a fencing token below the leader's term: raised at most twice a worker's lease, they
/// last a leader for longer than any process runs.
pub const TOKEN_BITS: u32 = 20;
/// Workers remembered that were redirected to a leader that can't be reached; any more are treated as
/// if they came for the first time.
pub const MAX_REDIRECTS_REMEMBERED: usize = MAX_EXPECTED_MACHINES;
/// A start that was sent and is missing from the next heartbeat is sent again this often before its
/// round is taken to be stalled.
pub const MAX_START_RESENDS: u32 = 3;
/// A machine on which tasks of this many jobs failed, with no completion between, is
/// quarantined: one job alone may be at fault itself.
pub const QUARANTINE_FAILED_JOBS: usize = 2;
/// After a task's failure its job waits this long before its next start, doubling with each failure in
/// a row: a job submitted with a mistake fails everywhere and must not use up the fleet.
pub const TASK_FAILURE_INITIAL_BACKOFF: Duration = Duration::from_millis(1_000);
/// Longest such wait.
pub const TASK_FAILURE_MAX_BACKOFF: Duration = Duration::from_millis(60_000);

// Autoscaling

/// Greatest age of a machine that is believed, s.
pub const MAX_MACHINE_AGE_S: f64 = 1e9;
/// Lower bound on a fetch rate, GB/s; a type with a rate of 0 would divide by 0.
pub const MIN_FETCH_GB_PER_S: f64 = 1e-3;
/// Between machine lists: the list lags by seconds anyway.
pub const MACHINE_LIST_INTERVAL: Duration = Duration::from_millis(6000);
/// Machines a page of the cloud's list: the protocol's most.
pub const MACHINE_LIST_PAGE_ITEMS: u64 = 500;
/// Pages of one list: four times those of [`MAX_EXPECTED_MACHINES`]. A list that goes on is given up
/// and begun again later.
pub const MAX_MACHINE_LIST_PAGES: u32 =
    4 * (MAX_EXPECTED_MACHINES as u32).div_ceil(MACHINE_LIST_PAGE_ITEMS as u32);
/// Machines that one request may rent.
pub const MAX_MACHINES_PER_RENTAL: u64 = 50;
/// Machines that one return may name.
pub const MAX_MACHINES_PER_RETURN: usize = 100;
/// Returned machines remembered, so that late heartbeats and lagging lists do not bring them back: a
/// list is late by half a minute, a heartbeat by minutes. The oldest are forgotten first, when each
/// machine of a fleet was returned four times.
pub const MAX_RETURNED_MACHINES_REMEMBERED: usize = 4 * MAX_EXPECTED_MACHINES;
/// Between two passes that rent, while more is wanted than one pass has asked for: the calls are what
/// limits it.
pub const RENTAL_PASS_INTERVAL: Duration = Duration::from_millis(200);
/// Pause after a refused rental of an offer; doubled at each further refusal.
pub const REFUSED_OFFER_INITIAL_PAUSE: Duration = Duration::from_millis(5_000);
/// Longest such pause.
pub const REFUSED_OFFER_MAX_PAUSE: Duration = Duration::from_millis(15_000);
/// A machine that is not up after this many times its nominal boot time is returned: usual
/// boots take up to 1.5 times, a few several times as long, and some never come up.
pub const BOOT_TIMEOUT_FACTOR: f64 = 3.0;
/// And never sooner than this.
pub const MIN_BOOT_TIMEOUT: Duration = Duration::from_millis(45_000);
/// The cloud charges a deleted machine at least this long: returning it sooner saves nothing.
pub const MIN_CHARGED_TIME: Duration = Duration::from_millis(60_000);
/// A new leader rents as soon as no more than one in so many machines that must be up has yet to
/// send a heartbeat: few enough for their resources to matter little, more than are usually dead.
pub const UNHEARD_MACHINES_DIVISOR: usize = 4;
/// Arrivals of jobs that are remembered. Of each some hundred bytes are kept; a burst at 700 machines
/// brings 600 within [`ARRIVAL_WINDOW`]. Beyond that the oldest are forgotten, and the rate is taken
/// over the time that the rest span.
pub const MAX_ARRIVALS: usize = MAX_EXPECTED_MACHINES;
/// Time over which the rate of arrivals is taken: long enough for a few of each class, short enough to
/// follow a burst.
pub const ARRIVAL_WINDOW: Duration = Duration::from_millis(180_000);
