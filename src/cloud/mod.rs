//! The cloud, which rents machines: its calls, and the client that makes them.

mod client;

pub use client::CloudClient;

use crate::http::HttpError;
use crate::wire::DecodeError;
use crate::wire::cloud::{MachinePage, MachineTypeList, RentRequest};

/// One call to the cloud.
#[derive(Debug, Clone, PartialEq)]
pub enum CloudCall {
    /// Reads the machine types.
    ListMachineTypes,
    /// Rents machines.
    Rent(RentRequest),
    /// Returns the machines with these names.
    Return(Vec<String>),
    /// Reads a page of the machine list.
    ListMachines {
        /// The last machine of the page before; none for the first page.
        after: Option<String>,
    },
}

/// The cloud's reply to a call that succeeded.
#[derive(Debug, Clone, PartialEq)]
pub enum CloudReply {
    /// All machine types.
    MachineTypes(MachineTypeList),
    /// Names of the machines that were rented.
    Rented(Vec<String>),
    /// The machines, and everything on them, are gone.
    Returned,
    /// A page of the machine list.
    MachinePage(MachinePage),
}

/// Why a call to the cloud failed.
#[derive(Debug, thiserror::Error)]
pub enum CloudError {
    /// None of this machine type, zone and kind is to be had.
    #[error("no capacity")]
    NoCapacity,
    /// Not executed, or not known to be: the same request may be sent again.
    #[error("{0}")]
    Failed(#[from] CloudFailure),
}

/// Why it is not known whether a call was executed.
#[derive(Debug, thiserror::Error)]
pub enum CloudFailure {
    /// The request got no response.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// The response can't be decoded.
    #[error("unreadable answer: {0}")]
    Undecodable(#[from] DecodeError),
    /// The cloud refused the call.
    #[error("status {status} {reason}")]
    Status {
        /// The status code.
        status: u16,
        /// The reason that the cloud gives; empty if it gives none.
        reason: String,
    },
    /// A failure that a simulated cloud reports.
    #[cfg(test)]
    #[error("{0}")]
    Simulated(String),
}

#[cfg(test)]
impl From<&str> for CloudFailure {
    fn from(text: &str) -> Self {
        CloudFailure::Simulated(text.to_owned())
    }
}
