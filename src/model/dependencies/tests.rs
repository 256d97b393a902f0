use super::*;

fn id(n: usize) -> JobId {
    JobId::from(&*format!("run-{n:03}"))
}

/// A pipeline of a hundred steps in a row, and one step that awaits all of them.
fn chain() -> BTreeMap<JobId, Vec<JobId>> {
    let mut jobs: BTreeMap<JobId, Vec<JobId>> =
        (1..100).map(|n| (id(n), vec![id(n - 1)])).collect();
    jobs.insert(id(100), (0..100).map(id).collect());
    jobs
}

fn stand(jobs: &BTreeMap<JobId, Vec<JobId>>, first: Awaited) -> BTreeMap<JobId, Standing> {
    let waiting: Waiting<'_> = jobs.iter().map(|(id, a)| (id, a.as_slice())).collect();
    let order = standings(&waiting, |_| first);
    order.into_iter().map(|(id, s)| (id.clone(), s)).collect()
}

#[test]
fn a_cancellation_goes_forward_through_any_number_of_steps() {
    let jobs = chain();
    let all = |awaited| stand(&jobs, awaited).into_values().collect::<Vec<_>>();
    assert_eq!(all(Awaited::Cancelled), vec![Standing::Cancelled; 100]);
    assert_eq!(all(Awaited::Unknown), vec![Standing::Unknown; 100]);
    assert_eq!(all(Awaited::Open), vec![Standing::Waits; 100]);
    let done = stand(&jobs, Awaited::Done);
    let ready = |n: usize| done[&id(n)] == Standing::Ready;
    assert_eq!((1..=100).filter(|n| ready(*n)).collect::<Vec<_>>(), [1]);
}

/// What is not known must not count as done, nor hide that something else is cancelled.
#[test]
fn the_worst_of_what_a_job_awaits_decides() {
    let jobs = BTreeMap::from([(id(9), (0..3).map(id).collect())]);
    let stands = |states: [Awaited; 3]| {
        let waiting: Waiting<'_> = jobs
            .iter()
            .map(|(id, a): (_, &Vec<_>)| (id, a.as_slice()))
            .collect();
        let of = |a: &JobId| states[(0..3).find(|n| id(*n) == *a).unwrap()];
        standings(&waiting, of)[0].1
    };
    use Awaited::*;
    assert_eq!(stands([Done, Done, Done]), Standing::Ready);
    assert_eq!(stands([Done, Open, Done]), Standing::Waits);
    assert_eq!(stands([Open, Unknown, Done]), Standing::Unknown);
    assert_eq!(stands([Unknown, Cancelled, Open]), Standing::Cancelled);
}

#[test]
fn the_last_steps_worth_flows_back_to_the_first() {
    let jobs = chain();
    let waiting: Waiting<'_> = jobs.iter().map(|(id, a)| (id, a.as_slice())).collect();
    let order = standings(&waiting, |_| Awaited::Open);
    let worth = |job: &JobId| Some(if *job == id(100) { 7 } else { 1 });
    let lent = lend(&waiting, &order, worth, u32::max);
    assert_eq!(lent.len(), 100);
    assert!(lent.values().all(|worth| *worth == 7));
}
