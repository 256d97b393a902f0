//! Autoscaling decisions: which machines to rent for waiting and expected jobs. Pure functions.
//!
//! [`scaling_plan`] places waiting tasks on trial: first on machines that are up or expected, then
//! on new ones of the cheapest [`MachineOffer`]. [`ArrivalHistory`] predicts jobs that arrive while
//! a machine boots; they are planned for like waiting ones.

mod arrivals;
mod offers;
mod plan;
mod startup;
mod trial;

pub use arrivals::ArrivalHistory;
pub use offers::{MachineOffer, available_offers};
pub use plan::{ScalingPlan, WaitingJob, scaling_plan, try_allocate};

#[cfg(test)]
mod tests;
