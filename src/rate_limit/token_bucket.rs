//! A token bucket without a clock: callers pass the current time to each call.

use crate::constants;
use std::time::Duration;

/// The bucket does not hold the requested tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("not enough tokens, retry after {retry_after:?}")]
pub(super) struct InsufficientTokens {
    /// Time until the bucket holds enough tokens, provided that no other call takes any.
    pub(super) retry_after: Duration,
}

/// A token bucket that refills at `rate` tokens per second up to `capacity`.
///
/// A new bucket holds only the tokens of one second, because the previous process on this node may
/// just have used up the others.
#[derive(Debug)]
pub(super) struct TokenBucket {
    /// Tokens added per second.
    rate: f64,
    /// Number of tokens in a full bucket, at least one.
    capacity: f64,
    /// Number of tokens in the bucket. Negative after more tokens were taken than the bucket held,
    /// until the difference is refilled.
    tokens: f64,
    /// Time of the last refill, counted from the creation of the bucket.
    refilled_at: Duration,
}

impl TokenBucket {
    /// Creates a bucket whose capacity is the tokens of `burst_s` seconds, at least one token.
    pub(super) fn new(rate: f64, burst_s: f64) -> Self {
        TokenBucket {
            rate,
            capacity: (rate * burst_s).max(1.0),
            tokens: rate,
            refilled_at: Duration::ZERO,
        }
    }

    /// Takes `amount` tokens if at least the share `reserved_share` of a full bucket is left then.
    /// If the amount and the reserve together exceed the capacity, a full bucket is sufficient.
    ///
    /// # Errors
    ///
    /// Returns the time after which to retry if the bucket does not hold enough tokens.
    pub(super) fn try_take(
        &mut self,
        amount: f64,
        reserved_share: f64,
        now: Duration,
    ) -> Result<(), InsufficientTokens> {
        self.refill(now);
        let required = (amount + reserved_share * self.capacity).min(self.capacity);
        if self.tokens >= required {
            self.tokens -= amount;
            return Ok(());
        }
        let wait_s = (required - self.tokens) / self.rate;
        let retry_after = Duration::from_secs_f64(wait_s.max(constants::MIN_TOKEN_WAIT_S));
        Err(InsufficientTokens { retry_after })
    }

    /// Takes `amount` tokens even if the bucket does not hold them.
    pub(super) fn take_unconditionally(&mut self, amount: f64, now: Duration) {
        self.refill(now);
        self.tokens -= amount;
    }

    /// Adds the tokens for the time since the last refill. Adds none if `now` is before that.
    fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        self.tokens = (self.tokens + elapsed * self.rate).min(self.capacity);
    }
}

#[cfg(test)]
mod tests;
