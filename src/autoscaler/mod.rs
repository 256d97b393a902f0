//! Autoscaling: pure functions that decide which machines to rent for waiting and expected jobs.
//!
//! [`scaling_plan`] simulates the placement of the waiting tasks, first on machines that are up or
//! expected to come up, then on new machines of the cheapest [`MachineOffer`]. [`ArrivalHistory`]
//! predicts the jobs that arrive while a machine boots. The plan treats them like waiting jobs.

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
