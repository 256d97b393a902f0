//! Token buckets for calls to the state service and the cloud.

use std::time::Duration;

/// Refills at `rate` tokens a second up to `full`; begins with one second's worth, since a
/// predecessor may just have used up the rest.
#[derive(Debug)]
pub struct TokenBucket {
    rate: f64,
    full: f64,
    tokens: f64,
    filled: Duration,
}

impl TokenBucket {
    /// Holds as many seconds' worth as the limited service allows at once.
    pub fn new(rate: f64, seconds: f64) -> Self {
        TokenBucket {
            rate,
            full: (rate * seconds).max(1.0),
            tokens: rate,
            filled: Duration::ZERO,
        }
    }

    fn refill(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.filled).as_secs_f64();
        self.filled = self.filled.max(now);
        self.tokens = (self.tokens + passed * self.rate).min(self.full);
    }

    /// Takes `amount`, leaving at least the share `reserve` of a full bucket; otherwise says
    /// how long to wait. Nobody waits for more than a full bucket holds.
    pub fn take(&mut self, amount: f64, reserve: f64, now: Duration) -> Option<Duration> {
        self.refill(now);
        let need = (amount + reserve * self.full).min(self.full);
        if self.tokens >= need {
            self.tokens -= amount;
            None
        } else {
            let wait = (need - self.tokens) / self.rate;
            Some(Duration::from_secs_f64(wait.max(0.001)))
        }
    }

    /// Takes `amount` whatever is left: later calls pay for it.
    pub fn force(&mut self, amount: f64, now: Duration) {
        self.refill(now);
        self.tokens -= amount;
    }
}

#[cfg(test)]
mod tests;
