//! Reads request bodies within limits on their size, the time to receive them, and their memory.
//!
//! All bodies in memory share one budget, which is derived from the machine's memory. Users'
//! requests may take only part of that budget: when large submissions exceed it, they are refused,
//! while workers' heartbeats, which renew the workers' leases, are still read.

use super::responses::{HttpResponse, error_response, service_unavailable, set_connection_close};
use crate::constants;
use axum::body::Body;
use axum::http::StatusCode;
use http_body_util::BodyExt;
use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// The sender of a body, which decides how much of the budget the body may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum BodySender {
    /// A user, whose bodies may take only the users' share of the budget.
    User,
    /// A worker, whose bodies may take the whole budget.
    Worker,
}

/// A budget for the memory that all request bodies together may take.
#[derive(Debug)]
pub(super) struct BodyBudget {
    /// Bytes available to bodies of any sender.
    total: Arc<Semaphore>,
    /// Bytes available to users' bodies, which also count towards the total.
    user_share: Arc<Semaphore>,
}

/// A body that was read. Its bytes count towards the budget until it is dropped.
#[derive(Debug, Default)]
pub(super) struct ReceivedBody {
    bytes: Vec<u8>,
    permits: Vec<OwnedSemaphorePermit>,
}

impl ReceivedBody {
    /// Returns the whole body.
    pub(super) fn bytes(&self) -> &[u8] {
        &self.bytes
    }
}

/// Reasons why a body was not read. The texts are sent to the body's sender.
#[derive(Debug, thiserror::Error)]
enum BodyError {
    /// The body is longer than [`constants::MAX_BODY_BYTES`], the protocol's limit.
    #[error("body over 64 KiB")]
    TooLong,
    /// The body is longer than [`constants::MAX_BODY_BYTES_READ`], at which reading stops.
    #[error("body can't be read")]
    ReadLimitExceeded,
    /// The sender closed the connection before the end of the body, or the body is not valid HTTP.
    #[error("body can't be read")]
    Unreadable(#[source] axum::Error),
    /// The body did not arrive within [`constants::BODY_TIMEOUT`].
    #[error("body did not arrive in time")]
    Timeout,
    /// The body does not fit into the memory that is left in the budget.
    #[error("busy")]
    BudgetExhausted,
}

impl BodyBudget {
    /// Creates a budget of `bytes` bytes.
    pub(super) fn new(bytes: usize) -> Self {
        BodyBudget {
            total: Arc::new(Semaphore::new(bytes)),
            user_share: Arc::new(Semaphore::new(bytes / constants::USER_BODY_MEMORY_DIVISOR)),
        }
    }

    /// Reads a whole body.
    ///
    /// # Errors
    ///
    /// Returns the response to send if the body is longer than allowed, can't be read, does not
    /// arrive in time, or exceeds the budget.
    pub(super) async fn read(
        &self,
        body: Body,
        sender: BodySender,
    ) -> Result<ReceivedBody, HttpResponse> {
        let read = self.read_to_end(body, sender);
        let result = match tokio::time::timeout(constants::BODY_TIMEOUT, read).await {
            Ok(result) => result,
            Err(_) => Err(BodyError::Timeout),
        };
        result.map_err(|error| error.to_response())
    }

    /// Reads a whole body, without a timeout.
    async fn read_to_end(
        &self,
        mut body: Body,
        sender: BodySender,
    ) -> Result<ReceivedBody, BodyError> {
        let mut received = ReceivedBody::default();
        let mut length = 0;
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(BodyError::Unreadable)?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            length += data.len();
            // Reading continues somewhat past the allowed size to tell a body that is too long from
            // one that can't be read. The bytes of such a body are discarded.
            if length > constants::MAX_BODY_BYTES_READ {
                return Err(BodyError::ReadLimitExceeded);
            }
            if length > constants::MAX_BODY_BYTES {
                received = ReceivedBody::default();
                continue;
            }
            self.reserve(&mut received, data.len(), sender)?;
            received.bytes.extend_from_slice(&data);
        }
        match length {
            0..=constants::MAX_BODY_BYTES => Ok(received),
            _ => Err(BodyError::TooLong),
        }
    }

    /// Reserves memory for the next `bytes` bytes of a body, and adds the permits to `received`.
    fn reserve(
        &self,
        received: &mut ReceivedBody,
        bytes: usize,
        sender: BodySender,
    ) -> Result<(), BodyError> {
        // The caller has checked that the body is within its size limit, so this never fails.
        let permits = u32::try_from(bytes).map_err(|_| BodyError::TooLong)?;
        let user_share = (sender == BodySender::User).then_some(&self.user_share);
        for budget in user_share.into_iter().chain([&self.total]) {
            let permit = budget.clone().try_acquire_many_owned(permits);
            let permit = permit.map_err(|_| BodyError::BudgetExhausted)?;
            received.permits.push(permit);
        }
        Ok(())
    }
}

impl BodyError {
    /// Builds the response that tells the sender why the body was not read.
    fn to_response(&self) -> HttpResponse {
        let reason = self.to_string();
        match self {
            BodyError::TooLong => error_response(StatusCode::BAD_REQUEST, &reason),
            BodyError::ReadLimitExceeded | BodyError::Unreadable(_) => {
                error_response(StatusCode::PAYLOAD_TOO_LARGE, &reason)
            }
            // The status is not 400, which would tell a user that the job is refused: the body may
            // be a delayed repetition of a submission that was already accepted.
            BodyError::Timeout => {
                let mut response = error_response(StatusCode::PAYLOAD_TOO_LARGE, &reason);
                set_connection_close(&mut response);
                response
            }
            BodyError::BudgetExhausted => service_unavailable(&reason),
        }
    }
}

#[cfg(test)]
mod tests;
