//! Errors of calls to the state service, classified by whether the call was executed.

use crate::http::{HttpError, SendError};
use crate::wire::DecodeError;

/// Why a call to the state service failed.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// Comparisons of the transaction failed on these keys, so it was not executed.
    #[error("conflict on {0:?}")]
    Conflict(Vec<String>),
    /// The lease has expired or was revoked.
    #[error("no such lease")]
    LeaseNotFound,
    /// The service no longer keeps the changes that the watch asks for, or its response with them
    /// is longer than [`crate::constants::MAX_RESPONSE_BYTES`].
    #[error("changes are no longer kept or exceed the response limit")]
    Compacted,
    /// The call was certainly not executed.
    #[error("not executed: {0}")]
    NotExecuted(#[from] NotExecutedCause),
    /// No readable response arrived: the call may have been executed, or may still be executed
    /// later.
    #[error("outcome unknown: {0}")]
    UnknownOutcome(#[from] UnknownOutcomeCause),
    /// The service rejected the request as malformed, or its response is not one that the client
    /// expects.
    #[error("malformed request or unexpected response: {0}")]
    Malformed(#[from] MalformedCause),
}

/// Why a call was certainly not executed.
#[derive(Debug, thiserror::Error)]
pub enum NotExecutedCause {
    /// The rate limiter has no token left for a user's call.
    #[error("no rate-limit token left for a user's call")]
    NoTokens,
    /// The service refused the call with this HTTP status code: 429 or 503.
    #[error("status {0}")]
    Status(u16),
    /// The request was not sent.
    #[error(transparent)]
    NotSent(#[from] SendError),
    /// A job's record was moved or changed between two reads.
    #[error("changing")]
    RecordMoved,
    /// The newest changes cannot be read.
    #[error("changes can't be read")]
    ChangesUnreadable,
    /// A simulated service refused the call.
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

/// Why a request is considered malformed or its response unexpected.
#[derive(Debug, thiserror::Error)]
pub enum MalformedCause {
    /// The response has a status code that the client does not expect for the call, such as 400 for
    /// a malformed request.
    #[error("status {status}: {text}")]
    Status {
        /// The HTTP status code.
        status: u16,
        /// Beginning of the response body.
        text: String,
    },
    /// The response belongs to another kind of call.
    #[error("response does not match the call")]
    UnexpectedResponse,
    /// The final record of a job has an unknown form.
    #[error("final record of {job} can't be read")]
    UnreadableFinalRecord {
        /// Id of the job.
        job: String,
    },
    /// A simulated service rejected the request as malformed.
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
    /// The request got no complete response, or one that exceeds the size limit.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// The response cannot be decoded.
    #[error("unreadable response: {0}")]
    Undecodable(#[from] DecodeError),
    /// A simulated service failed without a response.
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
