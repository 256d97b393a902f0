//! Cancellation forward: a step's end, its cancellation, the submission of those that need it, and a
//! question about them, in every order.
//!
//! The cluster counts a start before what its job awaits is done. What is said is checked here: a job is
//! never called anything but cancelled once a cancellation before it is durable (`orphaned`), nor by
//! one node after another has called it cancelled (`went_back`).

use super::simulated_cluster::SimulatedCluster;
use super::{assert_completes, cluster_with, short_job};
use crate::engine::{Reply, ReplyId, records};
use crate::model::Ms;
use crate::wire::store::Transaction;
use crate::wire::user::{JobKind, JobState, JobSubmission};
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// A record as the production version wrote it.
macro_rules! production {
    ($name:literal) => {
        rmp_serde::from_slice(include_bytes!(concat!(
            "../../../tests/fixtures/production/",
            $name,
            ".msgpack"
        )))
        .unwrap()
    };
}

/// The job of the production records: a gang of two.
const FIRST: &str = "run-7";
/// Needs the first; cancelled with it.
const SECOND: &str = "run-8";
/// Needs the first through the second: the one that is asked about.
const LAST: &str = "run-9";

fn step(id: &str, awaits: &str) -> JobSubmission {
    let mut job = short_job(id, JobKind::Array, 1);
    job.depends_on = vec![awaits.into()];
    job
}

/// What a user may be told of a job.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Said {
    NeverAccepted,
    /// A prompt 503.
    Unavailable,
    State(JobState),
}

const CANCELLED: Said = Said::State(JobState::Cancelled);

/// A question that has been answered.
#[derive(Debug, Clone, Copy)]
struct Answered {
    node: usize,
    begun: Ms,
    ended: Ms,
    said: Said,
}

/// What nodes were asked about [`LAST`], as `api` works it out of records and the engine's word.
#[derive(Debug, Default)]
struct Questions {
    open: Vec<(usize, Ms, ReplyId)>,
    answered: Vec<Answered>,
}

impl Questions {
    fn ask(&mut self, cluster: &mut SimulatedCluster, node: usize) {
        match looked_up(cluster) {
            Some(said) => self.answered.push(Answered {
                node,
                begun: cluster.now,
                ended: cluster.now,
                said,
            }),
            None => {
                let reply = cluster.request_blocked_job_state(node, LAST);
                self.open.push((node, cluster.now, reply));
            }
        }
    }

    /// Lets the cluster go on, and notes answers when they come.
    fn run(&mut self, cluster: &mut SimulatedCluster, ms: Ms) {
        let end = cluster.now + ms;
        loop {
            let answered = &mut self.answered;
            self.open.retain(|(node, begun, reply)| {
                let Some(answer) = cluster.take_reply(*reply) else {
                    return true;
                };
                let said = match answer {
                    Reply::BlockedJobState(Some(state)) => Said::State(state),
                    Reply::BlockedJobState(None) => looked_up(cluster).unwrap_or(Said::Unavailable),
                    _ => Said::Unavailable,
                };
                answered.push(Answered {
                    node: *node,
                    begun: *begun,
                    ended: cluster.now,
                    said,
                });
                false
            });
            if cluster.now >= end {
                return;
            }
            cluster.run(5.min(end - cluster.now));
        }
    }

    /// Asks both nodes now and then.
    fn keep_asking(
        &mut self,
        cluster: &mut SimulatedCluster,
        nodes: [usize; 2],
        times: usize,
        pause: Ms,
    ) {
        for _ in 0..times {
            for node in nodes {
                self.ask(cluster, node);
            }
            self.run(cluster, pause);
        }
    }

    /// What was said before and after the moment of the first job's cancellation, or its end.
    fn check(&self, submitted: Option<Ms>, cancelled: Option<Ms>, of: &str) {
        let answers = &self.answered;
        for later in answers {
            let after = |at: Option<Ms>| at.is_some_and(|at| later.begun > at);
            let cut_short = later.said == Said::Unavailable;
            if after(submitted) {
                assert_ne!(later.said, Said::NeverAccepted, "{of}: {later:?}");
            }
            if after(cancelled) && after(submitted) {
                let ok = cut_short || later.said == CANCELLED;
                let node = later.node;
                assert!(
                    ok,
                    "{of}: orphaned at n{node}, {later:?} after {cancelled:?}"
                );
            }
            if cancelled.is_none() {
                assert_ne!(later.said, CANCELLED, "{of}: {later:?}");
            }
            for earlier in answers.iter().filter(|a| a.ended <= later.begun) {
                let back = earlier.said == CANCELLED && later.said != CANCELLED;
                assert!(
                    cut_short || !back,
                    "{of}: went_back, {later:?} after {earlier:?}"
                );
            }
        }
    }
}

/// What the records alone tell; none if the engine has to be asked.
fn looked_up(cluster: &SimulatedCluster) -> Option<Said> {
    match cluster.live_record(LAST) {
        Some(record) if record.cancelled => Some(CANCELLED),
        Some(record) if record.waits() => None,
        Some(_) if cluster.running_tasks(LAST) > 0 => Some(Said::State(JobState::Running)),
        Some(_) => Some(Said::State(JobState::Queued)),
        None => Some(
            cluster
                .final_state(LAST)
                .map_or(Said::NeverAccepted, Said::State),
        ),
    }
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Event {
    End,
    Cancellation,
    Submission,
    Question,
}

/// All orders of the four.
fn commands() -> Vec<Vec<Event>> {
    use Event::{Cancellation, End, Question, Submission};
    let mut commands = vec![Vec::new()];
    for event in [End, Cancellation, Submission, Question] {
        let put_in = |order: &Vec<Event>, at: usize| {
            let mut order = order.clone();
            order.insert(at, event);
            order
        };
        commands = commands
            .iter()
            .flat_map(|order| (0..=order.len()).map(move |at| put_in(order, at)))
            .collect();
    }
    commands
}

/// The production version leads, on node 1: it is played by what it writes.
fn cluster_led_by_production_version() -> SimulatedCluster {
    let mut cluster = SimulatedCluster::new(3, 8.0);
    for node in 0..3 {
        cluster.crash(node);
    }
    cluster.run(6_000);
    cluster
        .jobs
        .insert(FIRST.into(), short_job(FIRST, JobKind::Gang, 2));
    cluster.put_record(records::TERM, production!("term"));
    cluster.put_record(records::LEAD, production!("lead"));
    cluster.put_record(&records::job_key(FIRST), production!("open"));
    cluster.start(0);
    cluster.start(2);
    cluster.run(1_500);
    assert_eq!(cluster.leader(), None);
    cluster
}

fn end_as_production_does(cluster: &mut SimulatedCluster) {
    cluster.completed_tasks.insert(format!("{FIRST}/0"));
    let txn = Transaction::default()
        .put(records::final_key(FIRST), production!("final_done"))
        .delete(records::job_key(FIRST));
    cluster.commit_externally(&txn);
}

fn cancel_as_production_does(cluster: &mut SimulatedCluster) {
    let txn = Transaction::default()
        .put(records::job_key(FIRST), production!("cancelled"))
        .put(records::final_key(FIRST), production!("final_aborted"));
    cluster.commit_externally(&txn);
    cluster.cancelled.insert(FIRST.into(), cluster.now);
}

/// When what decides was durable.
#[derive(Debug, Default)]
struct Moments {
    submitted: Option<Ms>,
    cancelled: Option<Ms>,
}

/// Brings about one event; an end or a cancellation that comes after the other changes nothing.
fn bring_about(
    event: Event,
    cluster: &mut SimulatedCluster,
    questions: &mut Questions,
    asked: usize,
    moments: &mut Moments,
) {
    let open = cluster.has_live_record(FIRST) && moments.cancelled.is_none();
    match event {
        Event::End if open => end_as_production_does(cluster),
        Event::Cancellation if open => {
            cancel_as_production_does(cluster);
            moments.cancelled = Some(cluster.now);
        }
        Event::Submission => {
            cluster.submit(step(SECOND, FIRST));
            cluster.submit(step(LAST, SECOND));
            moments.submitted = Some(cluster.now);
        }
        Event::Question => questions.ask(cluster, asked),
        Event::End | Event::Cancellation => {}
    }
}

/// Guards against an order of the four in which one of two nodes calls a job queued that will never
/// run, or the other way round. The production version leads, ends the first step or lets its record
/// go after the cancellation, and writes nothing of those that need it; then it ends, and the new one
/// leads and writes their ends.
#[test]
fn completion_cancellation_submission_and_query_in_every_order() {
    let mut outcomes = std::collections::BTreeSet::new();
    for (number, order) in commands().into_iter().enumerate() {
        for (gap, slow_links) in [(0, 0), (20, 0), (700, 0), (0, 300), (150, 300)] {
            for (asked, record_goes) in [(0, false), (2, false), (0, true), (2, true)] {
                let mut cluster = cluster_led_by_production_version();
                let mut questions = Questions::default();
                let mut moments = Moments::default();
                cluster.faults.max_jitter = slow_links;
                cluster.jitter = SmallRng::seed_from_u64(number as u64);
                for event in &order {
                    bring_about(*event, &mut cluster, &mut questions, asked, &mut moments);
                    questions.run(&mut cluster, gap);
                }
                if record_goes && cluster.has_live_record(FIRST) {
                    cluster.delete_record(&records::job_key(FIRST));
                }
                questions.keep_asking(&mut cluster, [0, 2], 20, 90);
                cluster.delete_record(records::LEAD);
                questions.keep_asking(&mut cluster, [0, 2], 20, 290);
                cluster.faults = Default::default();
                questions.run(&mut cluster, 3_000);
                let of = format!(
                    "{order:?}, {gap} ms apart, links slow by {slow_links} ms (seed {number}), node \
                     {asked} asked, record goes: {record_goes}"
                );
                questions.check(moments.submitted, moments.cancelled, &of);
                for node in [0, 2] {
                    questions.ask(&mut cluster, node);
                }
                questions.run(&mut cluster, 1_500);
                let last = &questions.answered[questions.answered.len() - 2..];
                match moments.cancelled {
                    Some(_) => {
                        assert!(last.iter().all(|a| a.said == CANCELLED), "{of}: {last:?}");
                        assert_eq!(cluster.starts, 0, "{of}");
                    }
                    None => assert_completes(&mut cluster, LAST, 120_000),
                }
                assert_eq!(cluster.violations, Vec::<String>::new(), "{of}");
                outcomes.insert(moments.cancelled.is_some());
            }
        }
    }
    assert_eq!(outcomes.len(), 2, "both outcomes were met");
}

/// The same with a leader of this version, whose end of the first step meets the others: which of them
/// is durable first follows from the moment.
#[test]
fn completion_races_with_cancellation_submission_and_queries() {
    let first = || cluster_with(vec![short_job(FIRST, JobKind::Array, 1)]);
    let mut reference = first();
    reference.faults.store_delay = 40;
    assert!(reference.run_until(60_000, |w| w.is_done(FIRST)));
    let end = reference.now;
    let mut outcomes = std::collections::BTreeSet::new();
    for cancelled_at in (end - 180..end + 120).step_by(29) {
        for submitted_at in [end - 2_000, end - 130, end - 60, end + 20, end + 1_500] {
            let mut cluster = first();
            cluster.faults.store_delay = 40;
            cluster.run(end - 2_100 - cluster.now);
            let leader = cluster.leader().unwrap();
            let nodes = [leader, (leader + 1) % 3];
            cluster.faults.watch_delay.insert(nodes[1], 250);
            let mut questions = Questions::default();
            let mut moments = Moments::default();
            while cluster.now < end + 3_000 {
                if moments.submitted.is_none() && cluster.now >= submitted_at {
                    cluster.submit(step(SECOND, FIRST));
                    cluster.submit(step(LAST, SECOND));
                    moments.submitted = Some(cluster.now);
                }
                let due = moments.cancelled.is_none() && cluster.now >= cancelled_at;
                if due && cluster.has_live_record(FIRST) {
                    cluster.cancel(FIRST);
                    moments.cancelled = Some(cluster.now);
                }
                questions.keep_asking(&mut cluster, nodes, 1, 10);
            }
            cluster.faults = Default::default();
            questions.run(&mut cluster, 1_500);
            let of = format!("cancelled at {cancelled_at}, submitted at {submitted_at}");
            questions.check(moments.submitted, moments.cancelled, &of);
            match moments.cancelled {
                Some(_) => {
                    let ended =
                        |w: &SimulatedCluster| w.final_state(LAST) == Some(JobState::Cancelled);
                    assert!(cluster.run_until(10_000, ended), "{of}");
                    assert_eq!(cluster.starts, 1, "{of}");
                }
                None => assert_completes(&mut cluster, LAST, 120_000),
            }
            assert_eq!(cluster.violations, Vec::<String>::new(), "{of}");
            outcomes.insert(moments.cancelled.is_some());
        }
    }
    assert_eq!(outcomes.len(), 2, "both outcomes were met");
}

/// Guards against the outcome of an earlier office's call: the leader's end of a step is carried out,
/// and answered when it has given up office and forgotten that the step was done. It once took the
/// step for cancelled then, called those that need it cancelled, and would have written that.
#[test]
fn completion_acknowledged_after_leadership_was_lost_cancels_no_job() {
    let mut met = 0;
    // The moment at which nodes tell each other who leads is a fixed one of each second.
    for longer in (0..1_000).step_by(125) {
        let mut cluster =
            cluster_with(vec![short_job(FIRST, JobKind::Array, 1), step(LAST, FIRST)]);
        cluster.extra_run_time.insert(format!("{FIRST}/0"), longer);
        assert!(cluster.run_until(60_000, |w| !w.completed_tasks.is_empty()));
        let old = cluster.leader().unwrap();
        cluster.faults.store_reply_delay.insert(old, 1_400);
        cluster.faults.watch_delay.insert(old, 2_500);
        // Its successor can't read the records yet.
        cluster.faults.refuse_record_lists = true;
        while !cluster.is_done(FIRST) {
            cluster.run(1);
        }
        let end = cluster.now;
        cluster.delete_record(records::LEAD);
        let gave_up = |w: &SimulatedCluster| !w.engine(old).unwrap().view().leading;
        met += usize::from(cluster.run_until(1_300, gave_up));
        cluster.run(end + 1_450 - cluster.now);
        cluster.faults.store_reply_delay.clear();
        cluster.faults.watch_delay.clear();
        let said = cluster.blocked_job_state(old, LAST);
        assert_ne!(said, Some(JobState::Cancelled), "{longer} ms longer");
        cluster.faults.refuse_record_lists = false;
        assert_completes(&mut cluster, LAST, 120_000);
    }
    assert!(met > 0, "office was always given up after the answer");
}
