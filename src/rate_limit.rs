//! Rate limits for calls to the state service and the cloud.

mod token_bucket;

use std::sync::{Mutex, MutexGuard, PoisonError};
use token_bucket::{InsufficientTokens, TokenBucket};
use tokio::time::Instant;

/// A token bucket with its clock, shared by concurrent calls.
#[derive(Debug)]
pub struct RateLimiter {
    bucket: Mutex<TokenBucket>,
    started: Instant,
}

impl RateLimiter {
    /// Allows `rate` tokens a second, and at once as many as come in `burst_s` seconds.
    pub fn new(rate: f64, burst_s: f64) -> Self {
        RateLimiter {
            bucket: Mutex::new(TokenBucket::new(rate, burst_s)),
            started: Instant::now(),
        }
    }

    /// Takes `amount` tokens, waiting until they are there beside the share `reserve` of a full
    /// bucket.
    pub async fn acquire(&self, amount: f64, reserve: f64) {
        while let Err(InsufficientTokens { retry_after }) = self.take(amount, reserve) {
            tokio::time::sleep(retry_after).await;
        }
    }

    /// Takes `amount` tokens if they are there beside the share `reserve` of a full bucket;
    /// returns whether it did.
    pub fn try_acquire(&self, amount: f64, reserve: f64) -> bool {
        self.take(amount, reserve).is_ok()
    }

    /// Takes `amount` tokens even if they are not there; later calls wait the longer.
    pub fn acquire_unconditionally(&self, amount: f64) {
        let mut bucket = self.bucket();
        bucket.force(amount, self.started.elapsed());
    }

    fn take(&self, amount: f64, reserve: f64) -> Result<(), InsufficientTokens> {
        let mut bucket = self.bucket();
        bucket.take(amount, reserve, self.started.elapsed())
    }

    fn bucket(&self) -> MutexGuard<'_, TokenBucket> {
        self.bucket.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
