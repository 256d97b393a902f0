//! Serves heartbeats on a node that does not lead: a worker is redirected to the leader, or, while
//! that is unreachable, answered in its place.

use crate::engine::Engine;
use crate::engine::messages::Reply;
use crate::model::{FencingToken, MachineId};
use crate::wire::worker::{Heartbeat, HeartbeatResponse};

impl Engine {
    /// The reply of a node that does not lead.
    pub(super) fn respond_as_follower(&mut self, heartbeat: &Heartbeat) -> Reply {
        let seen = FencingToken(heartbeat.fencing_token);
        let unreachable = self.unreachable_leader();
        let term = unreachable.map(|leader| leader.term);
        let term = term.filter(|term| seen.term() <= *term);
        if let Some(term) = term
            && self.serves_in_place_of_leader(&heartbeat.machine, seen.term() == term)
        {
            let fencing_token = seen.max(FencingToken::first_of_term(term)).0;
            return Reply::HeartbeatAccepted(HeartbeatResponse {
                fencing_token,
                commands: self.stops_of_cancelled_jobs(heartbeat),
            });
        }
        let own_node = &self.context.settings().node;
        match self.leadership.other_leader(own_node) {
            Some(leader) => Reply::RedirectToLeader(Some(leader.node.clone())),
            None => Reply::Unavailable,
        }
    }

    fn serves_in_place_of_leader(&mut self, machine: &str, knows_term: bool) -> bool {
        let now = self.context.now();
        let lease = self.context.timing().worker_lease;
        self.redirects
            .serves(MachineId::from(machine), knows_term, now, lease)
    }
}
