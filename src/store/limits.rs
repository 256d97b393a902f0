//! Keeps calls within the state service's published rates.

use super::{CallPriority, NotExecutedCause, StoreCall, StoreError};
use crate::constants;
use crate::rate_limit::RateLimiter;
use crate::settings::Settings;

/// This node's share of the limits on calls and on mutations.
#[derive(Debug)]
pub(super) struct CallLimits {
    calls: RateLimiter,
    mutations: RateLimiter,
    /// Kept for users: the leader may use up all others for a while.
    user_mutations: RateLimiter,
}

impl CallLimits {
    /// The share of the rates that the settings give for the service.
    pub(super) fn new(settings: &Settings) -> Self {
        let service = &settings.cluster.state;
        // A transaction of the largest size must fit into the bucket.
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

    /// Takes a token for the call and one for each of its mutations, waiting for them if the
    /// priority allows.
    ///
    /// # Errors
    ///
    /// [`StoreError::NotExecuted`] if tokens are short for a user's call.
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

async fn acquire(
    limiter: &RateLimiter,
    amount: f64,
    priority: CallPriority,
) -> Result<(), StoreError> {
    match priority {
        CallPriority::Leadership => limiter.force(amount),
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
