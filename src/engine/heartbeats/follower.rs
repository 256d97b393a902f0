//! Serves heartbeats on a follower: the worker is redirected to the leader or, while this node
//! can't reach the leader, served in the leader's place.

use crate::engine::Engine;
use crate::engine::messages::Reply;
use crate::model::{FencingToken, MachineId};
use crate::wire::worker::{Heartbeat, HeartbeatResponse};

impl Engine {
    /// Returns a follower's reply to a heartbeat: a response in the leader's place, a redirect, or
    /// [`Reply::Unavailable`] if no other node is known to lead.
    pub(super) fn respond_as_follower(&mut self, heartbeat: &Heartbeat) -> Reply {
        let worker_token = FencingToken(heartbeat.fencing_token);
        let unreachable_leader = self.unreachable_leader();
        let term = unreachable_leader.map(|leader| leader.term);
        let term = term.filter(|term| worker_token.term() <= *term);
        if let Some(term) = term
            && self.should_serve_in_place_of_leader(&heartbeat.machine, worker_token.term() == term)
        {
            let fencing_token = worker_token.max(FencingToken::first_of_term(term)).0;
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

    /// Reports whether this node responds to the worker's heartbeat in the leader's place.
    fn should_serve_in_place_of_leader(&mut self, machine: &str, has_seen_term: bool) -> bool {
        let now = self.context.now();
        let lease = self.context.timing().worker_lease;
        self.redirects
            .should_serve(MachineId::from(machine), has_seen_term, now, lease)
    }
}
