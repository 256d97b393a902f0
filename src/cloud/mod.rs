//! The cloud that machines are rented from: its calls, their replies and errors, and the client.

mod client;

pub use client::CloudClient;

use crate::http::HttpError;
use crate::wire::DecodeError;
use crate::wire::cloud::{MachinePage, MachineTypeList, RentRequest};

/// A call to the cloud.
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
        /// The last machine of the previous page; `None` for the first page.
        after: Option<String>,
    },
}

/// The cloud's reply to a call that succeeded.
#[derive(Debug, Clone, PartialEq)]
pub enum CloudReply {
    /// All machine types.
    MachineTypes(MachineTypeList),
    /// The names of the machines that were rented.
    Rented(Vec<String>),
    /// The machines were returned; they and everything on them are gone.
    Returned,
    /// A page of the machine list.
    MachinePage(MachinePage),
}

/// Why a call to the cloud failed.
#[derive(Debug, thiserror::Error)]
pub enum CloudError {
    /// The cloud has no capacity for this machine type and zone, as spot or on-demand as requested.
    #[error("no capacity")]
    NoCapacity,
    /// The call failed, and may or may not have been executed. The same request may be sent again.
    #[error("{0}")]
    Failed(#[from] CloudFailure),
}

/// The cause of a failure after which it is not known whether the call was executed.
#[derive(Debug, thiserror::Error)]
pub enum CloudFailure {
    /// The request got no response.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// The response can't be decoded.
    #[error("unreadable response: {0}")]
    Undecodable(#[from] DecodeError),
    /// The response has a status other than 200.
    #[error("status {status} {reason}")]
    Status {
        /// The status code.
        status: u16,
        /// The cloud's error text; empty if the response has none.
        reason: String,
    },
    /// A failure reported by a simulated cloud.
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
