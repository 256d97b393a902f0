//! Errors of calls to the state service, by what they tell of the call's execution.

use crate::http::{HttpError, SendError};
use crate::wire::DecodeError;

/// Why a call to the state service failed.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// Comparisons failed on these keys: not executed.
    #[error("conflict on {0:?}")]
    Conflict(Vec<String>),
    /// The lease has expired or was revoked.
    #[error("no such lease")]
    LeaseNotFound,
    /// The watch asks for changes that are no longer kept, or for more than is read at once.
    #[error("changes no longer kept, or too many")]
    Compacted,
    /// Refused, certainly not executed.
    #[error("not executed: {0}")]
    NotExecuted(#[from] NotExecutedCause),
    /// No response: the call may have been executed, or may still be.
    #[error("no answer: {0}")]
    UnknownOutcome(#[from] UnknownOutcomeCause),
    /// The service calls the request malformed, or what it sent does not fit the call.
    #[error("bad request or answer: {0}")]
    Malformed(#[from] MalformedCause),
}

/// Why a call was certainly not executed.
#[derive(Debug, thiserror::Error)]
pub enum NotExecutedCause {
    /// The rate limit leaves no token for a user's call.
    #[error("no token left for users")]
    NoTokens,
    /// The service refused the call with this status code.
    #[error("status {0}")]
    Status(u16),
    /// The request was not sent.
    #[error(transparent)]
    NotSent(#[from] SendError),
    /// A job's record has moved between two reads.
    #[error("changing")]
    RecordMoved,
    /// The newest changes can't be read.
    #[error("changes can't be read")]
    ChangesUnreadable,
    /// A refusal of a simulated service.
    #[cfg(test)]
    #[error("{0}")]
    Simulated(String),
}

#[cfg(test)]
impl From<&str> for NotExecutedCause {
    fn from(text: &str) -> Self {
        NotExecutedCause::Simulated(text.to_owned())
    }
}

/// What does not fit in the exchange with the service.
#[derive(Debug, thiserror::Error)]
pub enum MalformedCause {
    /// The response has a status code that no such call gets; its body begins with this text.
    #[error("status {status}: {text}")]
    Status {
        /// The status code.
        status: u16,
        /// Beginning of the body.
        text: String,
    },
    /// The response is one of another call.
    #[error("unexpected answer")]
    UnexpectedResponse,
    /// A final record has an unknown form.
    #[error("final record of {job} can't be read")]
    UnreadableFinalRecord {
        /// Id of the job.
        job: String,
    },
    /// A complaint of a simulated service.
    #[cfg(test)]
    #[error("{0}")]
    Simulated(String),
}

#[cfg(test)]
impl From<&str> for MalformedCause {
    fn from(text: &str) -> Self {
        MalformedCause::Simulated(text.to_owned())
    }
}

/// Why it is unknown whether a call was executed.
#[derive(Debug, thiserror::Error)]
pub enum UnknownOutcomeCause {
    /// The request got no response.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// The response can't be decoded.
    #[error("unreadable answer: {0}")]
    Undecodable(#[from] DecodeError),
    /// A failure that a simulated service reports.
    #[cfg(test)]
    #[error("{0}")]
    Simulated(String),
}

#[cfg(test)]
impl From<&str> for UnknownOutcomeCause {
    fn from(text: &str) -> Self {
        UnknownOutcomeCause::Simulated(text.to_owned())
    }
}

#[cfg(test)]
mod tests;
