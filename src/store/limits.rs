//! Limits the rate of calls to this node's share of the state service's published rates.

use super::{CallPriority, NotExecutedCause, StoreCall, StoreError};
use crate::constants;
use crate::rate_limit::RateLimiter;
use crate::settings::Settings;

/// Rate limiters for calls and for mutations.
#[derive(Debug)]
pub(super) struct CallLimits {
    calls: RateLimiter,
    mutations: RateLimiter,
    /// Limits the mutations that are reserved for users. Users need their own share because the
    /// leader may temporarily take all tokens of `mutations`.
    user_mutations: RateLimiter,
}

impl CallLimits {
    /// Creates limiters with this node's share of the rates that the settings give for the service.
    pub(super) fn new(settings: &Settings) -> Self {
        let service = &settings.cluster.state;
        // The token bucket must be large enough for a transaction of the maximum size.
        let largest_transaction = service.txn_ops as f64 / constants::STORE_RATE_SHARE;
        let mutation_rate = service.write_rps.max(largest_transaction);
        CallLimits {
            calls: RateLimiter::new(
                service.rps * constants::STORE_RATE_SHARE,
                constants::STORE_BURST_S,
            ),
            mutations: RateLimiter::new(
                mutation_rate * constants::STORE_RATE_SHARE,
                constants::STORE_BURST_S,
            ),
            user_mutations: RateLimiter::new(
                service.write_rps * constants::USER_WRITE_SHARE,
                constants::USER_WRITE_BURST_S,
            ),
        }
    }

    /// Takes one token for the call and one for each of its mutations.
    ///
    /// [`CallPriority::Engine`] waits for missing tokens; the other priorities never wait.
    ///
    /// # Errors
    ///
    /// [`StoreError::NotExecuted`] if too few tokens are available for a user's call.
    pub(super) async fn admit(
        &self,
        call: &StoreCall,
        priority: CallPriority,
    ) -> Result<(), StoreError> {
        acquire(&self.calls, 1.0, priority).await?;
        match call {
            StoreCall::Commit(transaction) if !transaction.mutations.is_empty() => {
                let mutations = transaction.mutations.len() as f64;
                self.admit_mutations(mutations, priority).await
            }
            _ => Ok(()),
        }
    }

    /// Takes a token for each mutation. A user's call tries the tokens reserved for users first.
    async fn admit_mutations(
        &self,
        mutations: f64,
        priority: CallPriority,
    ) -> Result<(), StoreError> {
        if priority == CallPriority::User && self.user_mutations.try_acquire(mutations, 0.0) {
            return Ok(());
        }
        acquire(&self.mutations, mutations, priority).await
    }
}

/// Takes `amount` tokens from a limiter in the way that the priority requires.
async fn acquire(
    limiter: &RateLimiter,
    amount: f64,
    priority: CallPriority,
) -> Result<(), StoreError> {
    match priority {
        CallPriority::Leadership => limiter.acquire_unconditionally(amount),
        CallPriority::Engine => limiter.acquire(amount, 0.0).await,
        CallPriority::User => {
            if !limiter.try_acquire(amount, constants::RESERVED_RATE_SHARE) {
                return Err(NotExecutedCause::NoTokens.into());
            }
        }
    }
    Ok(())
}

#[cfg(test)]
mod tests;
