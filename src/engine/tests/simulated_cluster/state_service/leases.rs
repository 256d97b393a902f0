//! Leases, and the deletion of the keys that are attached to them.

use super::super::{Millis, SimulatedCluster};
use super::StateService;
use crate::store::{StoreError, StoreReply};

/// A lease. The expiry time of a revoked lease is 0.
pub(super) struct Lease {
    ttl: Millis,
    expires_at: Millis,
}

impl StateService {
    /// Grants a lease and returns its id.
    pub(super) fn grant_lease(&mut self, ttl: Millis, now: Millis) -> u64 {
        let id = self.leases.len() as u64 + 1;
        let expires_at = now + ttl;
        self.leases.insert(id, Lease { ttl, expires_at });
        id
    }

    /// Renews a lease for its full TTL.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::LeaseNotFound`] if the lease does not exist or has expired.
    pub(super) fn keep_alive(&mut self, id: u64, now: Millis) -> Result<StoreReply, StoreError> {
        let lease = self.leases.get_mut(&id);
        let Some(lease) = lease.filter(|lease| lease.expires_at > now) else {
            return Err(StoreError::LeaseNotFound);
        };
        lease.expires_at = now + lease.ttl;
        Ok(StoreReply::LeaseUpdated)
    }

    /// Revokes a lease; it counts as expired from then on.
    pub(super) fn revoke_lease(&mut self, id: u64) {
        if let Some(lease) = self.leases.get_mut(&id) {
            lease.expires_at = 0;
        }
    }

    /// Reports whether a lease does not exist or has expired.
    pub(super) fn is_expired(&self, id: u64, now: Millis) -> bool {
        let lease = self.leases.get(&id);
        lease.is_none_or(|lease| lease.expires_at <= now)
    }

    /// Renews all leases that were not revoked for their full TTL.
    fn renew_all_leases(&mut self, now: Millis) {
        let leases = self.leases.values_mut();
        for lease in leases.filter(|lease| lease.expires_at > 0) {
            lease.expires_at = now + lease.ttl;
        }
    }

    /// Returns the keys whose lease has expired.
    fn expired_keys(&self, now: Millis) -> Vec<String> {
        let is_expired = |key: &&String| {
            let lease = self.values[*key].lease.unwrap();
            self.is_expired(lease, now)
        };
        let keys = self.leased_keys.iter().filter(is_expired);
        keys.cloned().collect()
    }
}

impl SimulatedCluster {
    /// Deletes the keys whose lease has expired. Leases do not expire during an outage of the state
    /// service.
    pub(crate) fn expire_leases(&mut self) {
        if self.faults.store_unavailable {
            self.store.renew_all_leases(self.now);
        }
        for key in self.store.expired_keys(self.now) {
            self.store.revision += 1;
            let revision = self.store.revision;
            self.store.delete(&key, revision);
        }
        self.serve_watches();
    }
}
