//! The protocol between controller nodes: small frames, each with one answer.
//!
//! Messages from peers are hints, on which the safety of the cluster must not depend: they make a
//! superseded leader step down sooner, stop cancelled tasks sooner, and supply task counts for
//! display. Safety depends on the state service alone.

mod frame;
mod link;
mod message;

pub use frame::{PeerError, read_frame, write_frame};
pub use link::Link;
pub use message::{Announcement, Message};

#[cfg(test)]
mod tests;
