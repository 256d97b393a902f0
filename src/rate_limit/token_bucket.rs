//! The token bucket itself, without a clock: each call tells the time.

use crate::constants;
use std::time::Duration;

/// There are fewer tokens than asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("too few tokens for {retry_after:?}")]
pub(super) struct InsufficientTokens {
    /// When there are enough, if nobody else takes some.
    pub(super) retry_after: Duration,
}

/// Refills at `rate` tokens a second up to `capacity`. Begins with one second's worth, since the
/// process that ran before may just have used up the rest.
#[derive(Debug)]
pub(super) struct TokenBucket {
    /// Tokens a second.
    rate: f64,
    /// Tokens in a full bucket, at least one.
    capacity: f64,
    /// Negative while forced calls are paid off.
    tokens: f64,
    /// Time of the last refill, since the bucket was made.
    refilled_at: Duration,
}

impl TokenBucket {
    /// A bucket that holds the tokens of `burst_s` seconds.
    pub(super) fn new(rate: f64, burst_s: f64) -> Self {
        TokenBucket {
            rate,
            capacity: (rate * burst_s).max(1.0),
            tokens: rate,
            refilled_at: Duration::ZERO,
        }
    }

    /// Takes `amount` and leaves at least the share `reserve` of a full bucket. An amount over the
    /// capacity needs no more than a full bucket.
    pub(super) fn take(
        &mut self,
        amount: f64,
        reserve: f64,
        now: Duration,
    ) -> Result<(), InsufficientTokens> {
        self.refill(now);
        let required = (amount + reserve * self.capacity).min(self.capacity);
        if self.tokens >= required {
            self.tokens -= amount;
            return Ok(());
        }
        let wait_s = (required - self.tokens) / self.rate;
        let retry_after = Duration::from_secs_f64(wait_s.max(constants::MIN_TOKEN_WAIT_S));
        Err(InsufficientTokens { retry_after })
    }

    /// Takes `amount` whatever is left.
    pub(super) fn force(&mut self, amount: f64, now: Duration) {
        self.refill(now);
        self.tokens -= amount;
    }

    fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        self.tokens = (self.tokens + elapsed * self.rate).min(self.capacity);
    }
}

#[cfg(test)]
mod tests;
