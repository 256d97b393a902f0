//! Serving reports on a node that does not lead: a worker is redirected to the leader, or, while
//! that is unreachable, answered in its place.

use super::FencingToken;
use crate::constants;
use crate::engine::{Engine, Reply};
use crate::model::{MachineId, Ms};
use crate::wire::worker::{Heartbeat, HeartbeatResponse};

/// What a node has done with a worker of a leader that it can't reach.
#[derive(Debug, Clone, Copy, Default)]
pub(in crate::engine) struct Redirect {
    /// When the worker was last redirected to the leader, ms.
    redirected: Ms,
    /// Until when it is answered in the leader's place, ms.
    served_until: Ms,
}

impl Redirect {
    /// Whether it is to be remembered: for a worker's lease after either.
    fn is_recent(&self, now: Ms, lease: Ms) -> bool {
        now < self.redirected.max(self.served_until) + lease
    }
}

impl Engine {
    pub(super) fn answer_as_follower(&mut self, heartbeat: &Heartbeat) -> Reply {
        let seen = FencingToken(heartbeat.fencing_token);
        let term = self
            .unreachable_leader()
            .map(|h| h.term)
            .filter(|term| seen.term() <= *term);
        if let Some(term) = term
            && self.serves_for_leader(&heartbeat.machine, seen.term() == term)
        {
            return Reply::HeartbeatAccepted(HeartbeatResponse {
                fencing_token: seen.max(FencingToken::first_of_term(term)).0,
                commands: self.stops_of_cancelled_jobs(heartbeat),
            });
        }
        match &self.observed_leader {
            Some(h) if h.node != self.settings.node => {
                Reply::RedirectToLeader(Some(h.node.clone()))
            }
            _ => Reply::Unavailable,
        }
    }

    /// Whether to answer this worker in the place of a leader that can't be reached from here, or
    /// to redirect it to that leader once more. That we don't hear the leader does not mean that
    /// the worker can't: connections between nodes may be refused while all else works. (A node
    /// that answered whoever came kept new machines from their leader, which took them for dead.) A
    /// worker that knows the term has lost its leader; any other is redirected first, and
    /// answered when it comes back; and all are redirected again after half a lease.
    fn serves_for_leader(&mut self, machine: &str, knows_term: bool) -> bool {
        let (now, lease) = (self.now, self.timing.worker_lease);
        self.forget_old_redirects();
        let id = MachineId::from(machine);
        let known = self.redirects.get(&id).copied();
        let known = known.filter(|redirect| redirect.is_recent(now, lease));
        if known.is_some_and(|redirect| now < redirect.served_until) {
            return true;
        }
        // Redirected, and back before its lease could have ended; or never redirected by this node.
        let came_back = known.map_or(knows_term, |r| r.redirected > r.served_until);
        if self.redirects.len() >= constants::MAX_REDIRECTS_REMEMBERED && known.is_none() {
            return came_back;
        }
        let mut redirect = known.unwrap_or_default();
        if came_back {
            redirect.served_until = now + lease / 2;
        } else {
            redirect.redirected = now;
        }
        self.redirects.insert(id, redirect);
        came_back
    }

    /// Not at each report: there may be thousands of both.
    fn forget_old_redirects(&mut self) {
        let (now, lease) = (self.now, self.timing.worker_lease);
        if now >= self.next_redirect_cleanup {
            self.next_redirect_cleanup = now + constants::HOUSEKEEPING_INTERVAL_MS;
            self.redirects
                .retain(|_, redirect| redirect.is_recent(now, lease));
        }
    }
}
