//! Controller nodes <-> controller nodes: small frames, one answer to each.
//!
//! What a peer says is a hint and no ground for a decision: it makes a superseded leader step
//! down sooner, has cancelled tasks stopped sooner, and fills in numbers for display. Safety rests
//! on the state service alone.

mod frame;
mod link;
mod message;

pub use frame::{PeerError, read_frame, write_frame};
pub use link::Link;
pub use message::{Announcement, Message};

#[cfg(test)]
mod tests;
