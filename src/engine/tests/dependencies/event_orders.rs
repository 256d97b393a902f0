//! A job's completion, its cancellation, the submission of its dependents, and status queries about them,
//! in every order.

use super::super::simulated_cluster::{Millis, SimulatedCluster};
use super::super::support::{assert_completes, dependent_job, short_job};
use super::production;
use super::status_queries::{CANCELLED, EventTimes, LEAF, MIDDLE, ROOT, StatusQueries};
use crate::engine::records;
use crate::wire::store::Transaction;
use crate::wire::user::{JobKind, JobSubmission};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::collections::BTreeSet;

/// An array of one task that depends on another job.
pub(super) fn dependent_on(id: &str, dependency: &str) -> JobSubmission {
    dependent_job(id, JobKind::Array, 1, &[dependency])
}

/// What happens to the jobs.
#[derive(Debug, Clone, Copy, PartialEq)]
enum JobEvent {
    Completion,
    Cancellation,
    Submission,
    Query,
}

/// All orders of the four events.
fn event_orders() -> Vec<Vec<JobEvent>> {
    use JobEvent::{Cancellation, Completion, Query, Submission};
    let mut orders = vec![Vec::new()];
    for event in [Completion, Cancellation, Submission, Query] {
        let inserted = |order: &Vec<JobEvent>, at: usize| {
            let mut order = order.clone();
            order.insert(at, event);
            order
        };
        orders = orders
            .iter()
            .flat_map(|order| (0..=order.len()).map(move |at| inserted(order, at)))
            .collect();
    }
    orders
}

/// The production version leads, on node 1: it is simulated by what it writes.
fn cluster_led_by_production_version() -> SimulatedCluster {
    let mut cluster = SimulatedCluster::new(3, 8.0);
    cluster.crash_all_nodes();
    cluster.run(6_000);
    cluster
        .jobs
        .insert(ROOT.into(), short_job(ROOT, JobKind::Gang, 2));
    cluster.put_record(records::TERM_KEY, production!("term"));
    cluster.put_record(records::LEADER_KEY, production!("lead"));
    cluster.put_record(&records::job_key(ROOT), production!("open"));
    cluster.start(0);
    cluster.start(2);
    cluster.run(1_500);
    assert_eq!(cluster.leader(), None);
    cluster
}

fn complete_as_production_does(cluster: &mut SimulatedCluster) {
    cluster.completed_tasks.insert(format!("{ROOT}/0"));
    let transaction = Transaction::default()
        .put(records::final_key(ROOT), production!("final_done"))
        .delete(records::job_key(ROOT));
    cluster.commit_externally(&transaction);
}

fn cancel_as_production_does(cluster: &mut SimulatedCluster) {
    let transaction = Transaction::default()
        .put(records::job_key(ROOT), production!("cancelled"))
        .put(records::final_key(ROOT), production!("final_aborted"));
    cluster.commit_externally(&transaction);
    cluster.cancelled.insert(ROOT.into(), cluster.now);
}

/// Nodes of the version under test while node 1 runs the production version.
const QUERIED_NODES: [usize; 2] = [0, 2];

/// The dependents are submitted.
pub(super) fn submit_dependents(cluster: &mut SimulatedCluster, times: &mut EventTimes) {
    cluster.submit(dependent_on(MIDDLE, ROOT));
    cluster.submit(dependent_on(LEAF, MIDDLE));
    times.submitted = Some(cluster.now);
}

/// What happens to the root's live record after its cancellation.
#[derive(Debug, Clone, Copy, PartialEq)]
enum LiveRecord {
    /// It stays until the leader ends.
    Kept,
    /// The leader deletes it.
    Deleted,
}

/// One case of [`completion_cancellation_submission_and_query_in_every_order`].
#[derive(Debug)]
struct OrderCase<'a> {
    order: &'a [JobEvent],
    seed: u64,
    /// Between two events.
    gap: Millis,
    max_jitter: Millis,
    queried_node: usize,
    live_record: LiveRecord,
}

/// A case while it is played.
struct OrderRun {
    cluster: SimulatedCluster,
    queries: StatusQueries,
    times: EventTimes,
}

impl OrderRun {
    /// Plays a case up to the time when all is settled.
    fn play(case: &OrderCase) -> OrderRun {
        let mut run = OrderRun {
            cluster: cluster_led_by_production_version(),
            queries: StatusQueries::default(),
            times: EventTimes::default(),
        };
        run.cluster.faults.max_jitter = case.max_jitter;
        run.cluster.jitter_rng = SmallRng::seed_from_u64(case.seed);
        for event in case.order {
            run.apply_event(*event, case.queried_node);
            run.queries.run(&mut run.cluster, case.gap);
        }
        if case.live_record == LiveRecord::Deleted && run.cluster.has_live_record(ROOT) {
            run.cluster.delete_record(&records::job_key(ROOT));
        }
        run.ask_repeatedly(20, 90);
        run.cluster.delete_record(records::LEADER_KEY);
        run.ask_repeatedly(20, 290);
        run.cluster.faults = Default::default();
        run.queries.run(&mut run.cluster, 3_000);
        run
    }

    fn ask_repeatedly(&mut self, times: usize, pause: Millis) {
        let cluster = &mut self.cluster;
        self.queries
            .ask_repeatedly(cluster, QUERIED_NODES, times, pause);
    }

    /// Applies an event; a completion or cancellation after the other one changes nothing.
    fn apply_event(&mut self, event: JobEvent, queried_node: usize) {
        let cluster = &mut self.cluster;
        let open = cluster.has_live_record(ROOT) && self.times.cancelled.is_none();
        match event {
            JobEvent::Completion if open => complete_as_production_does(cluster),
            JobEvent::Cancellation if open => {
                cancel_as_production_does(cluster);
                self.times.cancelled = Some(cluster.now);
            }
            JobEvent::Submission => submit_dependents(cluster, &mut self.times),
            JobEvent::Query => self.queries.ask(cluster, queried_node),
            JobEvent::Completion | JobEvent::Cancellation => {}
        }
    }

    /// Checks all answers, and what becomes of the dependents in the end.
    fn check(&mut self, context: &str) {
        self.queries.check(&self.times, context);
        for node in QUERIED_NODES {
            self.queries.ask(&mut self.cluster, node);
        }
        self.queries.run(&mut self.cluster, 1_500);
        let answered = &self.queries.answered;
        let last = &answered[answered.len() - QUERIED_NODES.len()..];
        match self.times.cancelled {
            Some(_) => {
                assert!(
                    last.iter().all(|query| query.answer == CANCELLED),
                    "{context}: {last:?}"
                );
                assert_eq!(self.cluster.starts, 0, "{context}");
            }
            None => assert_completes(&mut self.cluster, LEAF, 120_000),
        }
        assert_eq!(self.cluster.violations, Vec::<String>::new(), "{context}");
    }
}

/// Guards against an order of the four events in which one of two nodes reports a job queued that
/// will never run, or cancelled although it will. The production version leads, completes the root or
/// deletes its record after the cancellation, and writes nothing of the dependents; then it ends, and
/// the version under test leads and writes their final records.
#[test]
fn completion_cancellation_submission_and_query_in_every_order() {
    let mut outcomes = BTreeSet::new();
    for (seed, order) in (0..).zip(event_orders()) {
        for (gap, max_jitter) in [(0, 0), (20, 0), (700, 0), (0, 300), (150, 300)] {
            for (queried_node, live_record) in [
                (0, LiveRecord::Kept),
                (2, LiveRecord::Kept),
                (0, LiveRecord::Deleted),
                (2, LiveRecord::Deleted),
            ] {
                let case = OrderCase {
                    order: &order,
                    seed,
                    gap,
                    max_jitter,
                    queried_node,
                    live_record,
                };
                let mut run = OrderRun::play(&case);
                run.check(&format!("{case:?}"));
                outcomes.insert(run.times.cancelled.is_some());
            }
        }
    }
    assert_eq!(outcomes.len(), 2, "both outcomes occurred");
}
