//! Jobs that wait for others: which may start, and which are cancelled with one that they need.
//! Pure: a function of the waiting jobs and of what is known of those that they name.

use super::JobId;
use std::collections::BTreeMap;

/// How a waiting job stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// Something that it needs is not done yet.
    Waits,
    /// All that it needs is done.
    Ready,
    /// Something that it needs, directly or through others, is cancelled, and so is it.
    Cancelled,
    /// It can't be told: of something that it needs nothing is known.
    Unknown,
}

/// What is known of a job that does not wait itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Awaited {
    Open,
    Done,
    Cancelled,
    Unknown,
}

/// The waiting jobs with what each awaits.
pub type Waiting<'a> = BTreeMap<&'a JobId, &'a [JobId]>;

/// The waiting jobs in an order in which each comes after those that it awaits, with how it stands.
/// Jobs that wait for each other in a circle, which no submission can make, are left out.
pub fn standings<'a>(
    waiting: &Waiting<'a>,
    known: impl Fn(&JobId) -> Awaited,
) -> Vec<(&'a JobId, Standing)> {
    let mut missing: BTreeMap<&JobId, usize> = BTreeMap::new();
    let mut needed_by: BTreeMap<&JobId, Vec<&'a JobId>> = BTreeMap::new();
    let mut next = Vec::new();
    for (id, awaits) in waiting {
        let steps = awaits.iter().filter(|a| waiting.contains_key(a));
        let count = steps.map(|a| needed_by.entry(a).or_default().push(id));
        match count.count() {
            0 => next.push(*id),
            count => {
                missing.insert(id, count);
            }
        }
    }
    let mut order = Vec::new();
    let mut standing_of: BTreeMap<&JobId, Standing> = BTreeMap::new();
    while let Some(id) = next.pop() {
        let awaited = waiting[id].iter().map(|a| match standing_of.get(a) {
            Some(Standing::Cancelled) => Awaited::Cancelled,
            Some(Standing::Unknown) => Awaited::Unknown,
            Some(_) => Awaited::Open,
            None => known(a),
        });
        let standing = awaited.fold(Standing::Ready, after);
        standing_of.insert(id, standing);
        order.push((id, standing));
        for later in needed_by.remove(id).into_iter().flatten() {
            if let Some(count) = missing.get_mut(later) {
                *count -= 1;
                if *count == 0 {
                    next.push(later);
                }
            }
        }
    }
    order
}

/// How a job stands that stood so before one more that it awaits was looked at.
fn after(standing: Standing, awaited: Awaited) -> Standing {
    match (standing, awaited) {
        (Standing::Cancelled, _) | (_, Awaited::Cancelled) => Standing::Cancelled,
        (Standing::Unknown, _) | (_, Awaited::Unknown) => Standing::Unknown,
        (Standing::Waits, _) | (_, Awaited::Open) => Standing::Waits,
        (Standing::Ready, Awaited::Done) => Standing::Ready,
    }
}

/// What each job that the waiting ones need is lent by them: the highest of their `worth`s as
/// `better` has it. `order` is that of [`standings`].
pub fn lend<T: Copy>(
    waiting: &Waiting<'_>,
    order: &[(&JobId, Standing)],
    worth: impl Fn(&JobId) -> Option<T>,
    better: impl Fn(T, T) -> T,
) -> BTreeMap<JobId, T> {
    let mut lent: BTreeMap<JobId, T> = BTreeMap::new();
    for (id, standing) in order.iter().rev() {
        let Some(own) = worth(id).filter(|_| *standing != Standing::Cancelled) else {
            continue;
        };
        let all = lent.get(*id).map_or(own, |from| better(own, *from));
        for awaited in waiting[*id] {
            let best = lent.get(awaited).map_or(all, |from| better(all, *from));
            lent.insert(awaited.clone(), best);
        }
    }
    lent
}

#[cfg(test)]
mod tests;
