//! A rate limiter for calls to the state service and the cloud.

mod token_bucket;

use std::sync::{Mutex, MutexGuard, PoisonError};
use token_bucket::{InsufficientTokens, TokenBucket};
use tokio::time::Instant;

/// A token bucket with a clock, which concurrent calls share.
#[derive(Debug)]
pub struct RateLimiter {
    bucket: Mutex<TokenBucket>,
    created_at: Instant,
}

impl RateLimiter {
    /// Creates a limiter that allows `rate` tokens per second on average, and bursts of up to the
    /// tokens of `burst_s` seconds.
    pub fn new(rate: f64, burst_s: f64) -> Self {
        RateLimiter {
            bucket: Mutex::new(TokenBucket::new(rate, burst_s)),
            created_at: Instant::now(),
        }
    }

    /// Takes `amount` tokens. Waits until the bucket holds them in addition to the reserve, which
    /// is the share `reserved_share` of a full bucket.
    pub async fn acquire(&self, amount: f64, reserved_share: f64) {
        while let Err(InsufficientTokens { retry_after }) = self.try_take(amount, reserved_share) {
            tokio::time::sleep(retry_after).await;
        }
    }

    /// Takes `amount` tokens if the bucket holds them in addition to the reserve, which is the
    /// share `reserved_share` of a full bucket. Reports whether the tokens were taken.
    pub fn try_acquire(&self, amount: f64, reserved_share: f64) -> bool {
        self.try_take(amount, reserved_share).is_ok()
    }

    /// Takes `amount` tokens without waiting, even if the bucket does not hold them. Later calls
    /// wait correspondingly longer.
    pub fn acquire_unconditionally(&self, amount: f64) {
        let mut bucket = self.lock_bucket();
        bucket.take_unconditionally(amount, self.created_at.elapsed());
    }

    fn try_take(&self, amount: f64, reserved_share: f64) -> Result<(), InsufficientTokens> {
        let mut bucket = self.lock_bucket();
        bucket.try_take(amount, reserved_share, self.created_at.elapsed())
    }

    fn lock_bucket(&self) -> MutexGuard<'_, TokenBucket> {
        self.bucket.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
