//! Request bodies: read within the protocol's size, a bounded time, and a bounded amount of memory.
//!
//! All bodies that are held at one time share a budget that follows from the machine's memory. Users'
//! requests may take only a part of it: a flood of large submissions is refused while workers'
//! reports, which keep tasks alive, still find room.

use super::responses::{Answer, refuse, unavailable};
use crate::constants;
use axum::body::Body;
use axum::http::{HeaderValue, StatusCode};
use http_body_util::BodyExt;
use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Who sends a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Sender {
    User,
    Worker,
}

/// The memory that bodies may take at one time.
#[derive(Debug)]
pub(super) struct BodyBudget {
    /// Bytes for bodies of any sender.
    all: Arc<Semaphore>,
    /// Bytes for users' bodies, which count among all as well.
    users: Arc<Semaphore>,
}

/// A body that was read. Its memory counts until this is dropped.
#[derive(Debug, Default)]
pub(super) struct ReceivedBody {
    pub bytes: Vec<u8>,
    held: Vec<OwnedSemaphorePermit>,
}

/// Why a body was not read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BodyError {
    /// Longer than the protocol allows.
    TooLong,
    /// So much longer that reading stopped, or broken off by its sender.
    Unreadable,
    /// The sender took too long.
    TooSlow,
    /// The budget is used up.
    NoMemory,
}

impl BodyBudget {
    /// A budget of so many bytes.
    pub fn new(bytes: usize) -> Self {
        BodyBudget {
            all: Arc::new(Semaphore::new(bytes)),
            users: Arc::new(Semaphore::new(bytes / constants::USER_BODY_DIVISOR)),
        }
    }

    /// Reads a body, or says what its sender is told instead.
    pub async fn read(&self, body: Body, sender: Sender) -> Result<ReceivedBody, Answer> {
        let read = tokio::time::timeout(constants::BODY_TIMEOUT, self.read_whole(body, sender));
        let error = match read.await {
            Ok(Ok(body)) => return Ok(body),
            Ok(Err(error)) => error,
            Err(_) => BodyError::TooSlow,
        };
        Err(error.answer())
    }

    async fn read_whole(&self, mut body: Body, sender: Sender) -> Result<ReceivedBody, BodyError> {
        let mut received = ReceivedBody::default();
        let mut length = 0;
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| BodyError::Unreadable)?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            length += data.len();
            // A little more is read than allowed, to tell "too long" from "can't be read"; it is
            // not kept.
            if length > constants::MAX_BODY_BYTES_READ {
                return Err(BodyError::Unreadable);
            }
            if length > constants::MAX_BODY_BYTES {
                received = ReceivedBody::default();
                continue;
            }
            self.hold(&mut received, data.len(), sender)?;
            received.bytes.extend_from_slice(&data);
        }
        match length {
            0..=constants::MAX_BODY_BYTES => Ok(received),
            _ => Err(BodyError::TooLong),
        }
    }

    /// Takes the memory for more of a body.
    fn hold(
        &self,
        received: &mut ReceivedBody,
        bytes: usize,
        sender: Sender,
    ) -> Result<(), BodyError> {
        // A piece is at most as long as a body.
        let permits = u32::try_from(bytes).map_err(|_| BodyError::TooLong)?;
        let users = (sender == Sender::User).then_some(&self.users);
        for budget in users.into_iter().chain([&self.all]) {
            let permit = budget.clone().try_acquire_many_owned(permits);
            let permit = permit.map_err(|_| BodyError::NoMemory)?;
            received.held.push(permit);
        }
        Ok(())
    }
}

impl BodyError {
    fn answer(self) -> Answer {
        match self {
            BodyError::TooLong => refuse(StatusCode::BAD_REQUEST, "body over 64 KiB"),
            BodyError::Unreadable => refuse(StatusCode::PAYLOAD_TOO_LARGE, "body can't be read"),
            // Not 400: it may be the repeat of an accepted submission, held up on its way.
            BodyError::TooSlow => {
                let why = "body did not arrive in time";
                let mut answer = refuse(StatusCode::PAYLOAD_TOO_LARGE, why);
                let close = HeaderValue::from_static("close");
                answer.headers_mut().insert("connection", close);
                answer
            }
            BodyError::NoMemory => unavailable("busy"),
        }
    }
}

#[cfg(test)]
mod tests;
