//! Request bodies: read within the protocol's size, a bounded time, and a bounded amount of memory.
//!
//! All bodies that are held at one time share a budget that follows from the machine's memory. Users'
//! requests may take only a part of it: a flood of large submissions is refused while workers'
//! heartbeats, which renew their leases, are still read.

use super::responses::{HttpResponse, close_connection, refuse, unavailable};
use crate::constants;
use axum::body::Body;
use axum::http::StatusCode;
use http_body_util::BodyExt;
use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Who sends a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum BodySender {
    /// A user: may take a part of the budget.
    User,
    /// A worker: may take all of it.
    Worker,
}

/// The memory that bodies may take at one time.
#[derive(Debug)]
pub(super) struct BodyBudget {
    /// Bytes for bodies of any sender.
    total: Arc<Semaphore>,
    /// Bytes for users' bodies, which count in the total as well.
    users: Arc<Semaphore>,
}

/// A body that was read. Its memory counts until this is dropped.
#[derive(Debug, Default)]
pub(super) struct ReceivedBody {
    bytes: Vec<u8>,
    permits: Vec<OwnedSemaphorePermit>,
}

impl ReceivedBody {
    /// The whole body.
    pub(super) fn bytes(&self) -> &[u8] {
        &self.bytes
    }
}

/// Why a body was not read. Senders see the texts.
#[derive(Debug, thiserror::Error)]
enum BodyError {
    /// Longer than the protocol allows.
    #[error("body over 64 KiB")]
    TooLong,
    /// So much longer that reading stopped.
    #[error("body can't be read")]
    FarTooLong,
    /// Broken off by its sender, or not well-formed HTTP.
    #[error("body can't be read")]
    Unreadable(#[source] axum::Error),
    /// The sender took too long.
    #[error("body did not arrive in time")]
    Timeout,
    /// The budget is used up.
    #[error("busy")]
    NoMemory,
}

impl BodyBudget {
    /// A budget of that many bytes.
    pub(super) fn new(bytes: usize) -> Self {
        BodyBudget {
            total: Arc::new(Semaphore::new(bytes)),
            users: Arc::new(Semaphore::new(bytes / constants::USER_BODY_MEMORY_DIVISOR)),
        }
    }

    /// Reads a body.
    ///
    /// # Errors
    ///
    /// The response that tells the sender why the body was not read.
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
            // A little more is read than allowed, to tell "too long" from "can't be read"; it is
            // not kept.
            if length > constants::MAX_BODY_BYTES_READ {
                return Err(BodyError::FarTooLong);
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

    /// Reserves the memory for the next bytes of a body.
    fn reserve(
        &self,
        received: &mut ReceivedBody,
        bytes: usize,
        sender: BodySender,
    ) -> Result<(), BodyError> {
        // The caller has checked that the bytes are no more than those of a whole body.
        let permits = u32::try_from(bytes).map_err(|_| BodyError::TooLong)?;
        let users = (sender == BodySender::User).then_some(&self.users);
        for budget in users.into_iter().chain([&self.total]) {
            let permit = budget.clone().try_acquire_many_owned(permits);
            let permit = permit.map_err(|_| BodyError::NoMemory)?;
            received.permits.push(permit);
        }
        Ok(())
    }
}

impl BodyError {
    /// What the sender is told.
    fn to_response(&self) -> HttpResponse {
        let reason = self.to_string();
        match self {
            BodyError::TooLong => refuse(StatusCode::BAD_REQUEST, &reason),
            BodyError::FarTooLong | BodyError::Unreadable(_) => {
                refuse(StatusCode::PAYLOAD_TOO_LARGE, &reason)
            }
            // Not 400: it may repeat a submission that was accepted, and was only delayed.
            BodyError::Timeout => {
                let mut response = refuse(StatusCode::PAYLOAD_TOO_LARGE, &reason);
                close_connection(&mut response);
                response
            }
            BodyError::NoMemory => unavailable(&reason),
        }
    }
}

#[cfg(test)]
mod tests;
