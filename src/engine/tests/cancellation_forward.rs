//! Cancellation forward: a step's end, its cancellation, the submission of those that need it, and a
//! question about them, in every order.
//!
//! The world counts a start before what its job awaits is done. What is said is checked here: a job is
//! never called anything but cancelled once a cancellation before it is durable (`orphaned`), nor by
//! one node after another has called it cancelled (`went_back`).

use super::world::Ms;
use super::world::World;
use super::{ends_well, quick, world_with};
use crate::engine::{Reply, ReplyId, records};
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
    let mut job = quick(id, JobKind::Array, 1);
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
    fn ask(&mut self, world: &mut World, node: usize) {
        match looked_up(world) {
            Some(said) => self.answered.push(Answered {
                node,
                begun: world.now,
                ended: world.now,
                said,
            }),
            None => {
                let reply = world.ask_step(node, LAST);
                self.open.push((node, world.now, reply));
            }
        }
    }

    /// Lets the world go on, and notes answers when they come.
    fn run(&mut self, world: &mut World, ms: Ms) {
        let end = world.now + ms;
        loop {
            let answered = &mut self.answered;
            self.open.retain(|(node, begun, reply)| {
                let Some(answer) = world.answer(*reply) else {
                    return true;
                };
                let said = match answer {
                    Reply::BlockedJobState(Some(state)) => Said::State(state),
                    Reply::BlockedJobState(None) => looked_up(world).unwrap_or(Said::Unavailable),
                    _ => Said::Unavailable,
                };
                answered.push(Answered {
                    node: *node,
                    begun: *begun,
                    ended: world.now,
                    said,
                });
                false
            });
            if world.now >= end {
                return;
            }
            world.run(5.min(end - world.now));
        }
    }

    /// Asks both nodes now and then.
    fn keep_asking(&mut self, world: &mut World, nodes: [usize; 2], times: usize, pause: Ms) {
        for _ in 0..times {
            for node in nodes {
                self.ask(world, node);
            }
            self.run(world, pause);
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
fn looked_up(world: &World) -> Option<Said> {
    match world.live_record(LAST) {
        Some(record) if record.cancelled => Some(CANCELLED),
        Some(record) if record.waits() => None,
        Some(_) if world.running(LAST) > 0 => Some(Said::State(JobState::Running)),
        Some(_) => Some(Said::State(JobState::Queued)),
        None => Some(world.state(LAST).map_or(Said::NeverAccepted, Said::State)),
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
fn world_led_by_the_production_version() -> World {
    let mut world = World::new(3, 8.0);
    for node in 0..3 {
        world.crash(node);
    }
    world.run(6_000);
    world
        .jobs
        .insert(FIRST.into(), quick(FIRST, JobKind::Gang, 2));
    world.put(records::TERM_KEY, production!("term"));
    world.put(records::LEADER_KEY, production!("lead"));
    world.put(&records::job_key(FIRST), production!("open"));
    world.start(0);
    world.start(2);
    world.run(1_500);
    assert_eq!(world.leader(), None);
    world
}

fn end_as_production_does(world: &mut World) {
    world.finished.insert(format!("{FIRST}/0"));
    let txn = Transaction::default()
        .put(records::final_key(FIRST), production!("final_done"))
        .delete(records::job_key(FIRST));
    world.write(&txn);
}

fn cancel_as_production_does(world: &mut World) {
    let txn = Transaction::default()
        .put(records::job_key(FIRST), production!("cancelled"))
        .put(records::final_key(FIRST), production!("final_aborted"));
    world.write(&txn);
    world.cancelled.insert(FIRST.into(), world.now);
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
    world: &mut World,
    questions: &mut Questions,
    asked: usize,
    moments: &mut Moments,
) {
    let open = world.is_live(FIRST) && moments.cancelled.is_none();
    match event {
        Event::End if open => end_as_production_does(world),
        Event::Cancellation if open => {
            cancel_as_production_does(world);
            moments.cancelled = Some(world.now);
        }
        Event::Submission => {
            world.submit(step(SECOND, FIRST));
            world.submit(step(LAST, SECOND));
            moments.submitted = Some(world.now);
        }
        Event::Question => questions.ask(world, asked),
        Event::End | Event::Cancellation => {}
    }
}

/// Guards against an order of the four in which one of two nodes calls a job queued that will never
/// run, or the other way round. The production version leads, ends the first step or lets its record
/// go after the cancellation, and writes nothing of those that need it; then it ends, and the new one
/// leads and writes their ends.
#[test]
fn whatever_order_an_end_a_cancellation_a_submission_and_a_question_fall_in() {
    let mut outcomes = std::collections::BTreeSet::new();
    for (number, order) in commands().into_iter().enumerate() {
        for (gap, slow_links) in [(0, 0), (20, 0), (700, 0), (0, 300), (150, 300)] {
            for (asked, record_goes) in [(0, false), (2, false), (0, true), (2, true)] {
                let mut world = world_led_by_the_production_version();
                let mut questions = Questions::default();
                let mut moments = Moments::default();
                world.faults.slow_links = slow_links;
                world.links = SmallRng::seed_from_u64(number as u64);
                for event in &order {
                    bring_about(*event, &mut world, &mut questions, asked, &mut moments);
                    questions.run(&mut world, gap);
                }
                if record_goes && world.is_live(FIRST) {
                    world.remove(&records::job_key(FIRST));
                }
                questions.keep_asking(&mut world, [0, 2], 20, 90);
                world.remove(records::LEADER_KEY);
                questions.keep_asking(&mut world, [0, 2], 20, 290);
                world.faults = Default::default();
                questions.run(&mut world, 3_000);
                let of = format!(
                    "{order:?}, {gap} ms apart, links slow by {slow_links} ms (seed {number}), node \
                     {asked} asked, record goes: {record_goes}"
                );
                questions.check(moments.submitted, moments.cancelled, &of);
                for node in [0, 2] {
                    questions.ask(&mut world, node);
                }
                questions.run(&mut world, 1_500);
                let last = &questions.answered[questions.answered.len() - 2..];
                match moments.cancelled {
                    Some(_) => {
                        assert!(last.iter().all(|a| a.said == CANCELLED), "{of}: {last:?}");
                        assert_eq!(world.starts, 0, "{of}");
                    }
                    None => ends_well(&mut world, LAST, 120_000),
                }
                assert_eq!(world.broken, Vec::<String>::new(), "{of}");
                outcomes.insert(moments.cancelled.is_some());
            }
        }
    }
    assert_eq!(outcomes.len(), 2, "both outcomes were met");
}

/// The same with a leader of this version, whose end of the first step meets the others: which of them
/// is durable first follows from the moment.
#[test]
fn a_leaders_end_of_a_step_meets_a_cancellation_a_submission_and_questions() {
    let first = || world_with(vec![quick(FIRST, JobKind::Array, 1)]);
    let mut reference = first();
    reference.faults.store_delay = 40;
    assert!(reference.run_until(60_000, |w| w.done(FIRST)));
    let end = reference.now;
    let mut outcomes = std::collections::BTreeSet::new();
    for cancelled_at in (end - 180..end + 120).step_by(29) {
        for submitted_at in [end - 2_000, end - 130, end - 60, end + 20, end + 1_500] {
            let mut world = first();
            world.faults.store_delay = 40;
            world.run(end - 2_100 - world.now);
            let leader = world.leader().unwrap();
            let nodes = [leader, (leader + 1) % 3];
            world.faults.slow_watch.insert(nodes[1], 250);
            let mut questions = Questions::default();
            let mut moments = Moments::default();
            while world.now < end + 3_000 {
                if moments.submitted.is_none() && world.now >= submitted_at {
                    world.submit(step(SECOND, FIRST));
                    world.submit(step(LAST, SECOND));
                    moments.submitted = Some(world.now);
                }
                let due = moments.cancelled.is_none() && world.now >= cancelled_at;
                if due && world.is_live(FIRST) {
                    world.cancel(FIRST);
                    moments.cancelled = Some(world.now);
                }
                questions.keep_asking(&mut world, nodes, 1, 10);
            }
            world.faults = Default::default();
            questions.run(&mut world, 1_500);
            let of = format!("cancelled at {cancelled_at}, submitted at {submitted_at}");
            questions.check(moments.submitted, moments.cancelled, &of);
            match moments.cancelled {
                Some(_) => {
                    let ended = |w: &World| w.state(LAST) == Some(JobState::Cancelled);
                    assert!(world.run_until(10_000, ended), "{of}");
                    assert_eq!(world.starts, 1, "{of}");
                }
                None => ends_well(&mut world, LAST, 120_000),
            }
            assert_eq!(world.broken, Vec::<String>::new(), "{of}");
            outcomes.insert(moments.cancelled.is_some());
        }
    }
    assert_eq!(outcomes.len(), 2, "both outcomes were met");
}

/// Guards against the outcome of an earlier office's call: the leader's end of a step is carried out,
/// and answered when it has given up office and forgotten that the step was done. It once took the
/// step for cancelled then, called those that need it cancelled, and would have written that.
#[test]
fn an_end_answered_after_the_office_cancels_nobody() {
    let mut met = 0;
    // The moment at which nodes tell each other who leads is a fixed one of each second.
    for longer in (0..1_000).step_by(125) {
        let mut world = world_with(vec![quick(FIRST, JobKind::Array, 1), step(LAST, FIRST)]);
        world.longer.insert(format!("{FIRST}/0"), longer);
        assert!(world.run_until(60_000, |w| !w.finished.is_empty()));
        let old = world.leader().unwrap();
        world.faults.slow_answers.insert(old, 1_400);
        world.faults.slow_watch.insert(old, 2_500);
        // Its successor can't read the records yet.
        world.faults.no_records = true;
        while !world.done(FIRST) {
            world.run(1);
        }
        let end = world.now;
        world.remove(records::LEADER_KEY);
        let gave_up = |w: &World| !w.engine(old).unwrap().status().leading;
        met += usize::from(world.run_until(1_300, gave_up));
        world.run(end + 1_450 - world.now);
        world.faults.slow_answers.clear();
        world.faults.slow_watch.clear();
        let said = world.step_state(old, LAST);
        assert_ne!(said, Some(JobState::Cancelled), "{longer} ms longer");
        world.faults.no_records = false;
        ends_well(&mut world, LAST, 120_000);
    }
    assert!(met > 0, "office was always given up after the answer");
}
