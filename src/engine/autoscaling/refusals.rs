//! Tracks the offers for which the cloud had no capacity, and how long each is not requested.

use super::MachineOffer;
use crate::constants;
use crate::model::Timestamp;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The pause in requests for an offer for which the cloud had no capacity.
#[derive(Debug, Clone, Copy)]
struct Refusal {
    /// Time until which the offer is not requested.
    until: Timestamp,
    /// Length of the pause. The next one is twice as long, up to
    /// [`constants::REFUSED_OFFER_MAX_PAUSE`].
    pause: Duration,
}

/// The offers that were refused. An offer is removed when a rental of it succeeds or one of its
/// machines is returned.
#[derive(Debug, Default)]
pub(super) struct RefusedOffers {
    refusals: BTreeMap<MachineOffer, Refusal>,
}

impl RefusedOffers {
    /// Returns the offers that are not to be requested at the time `now`.
    pub(super) fn active_at(&self, now: Timestamp) -> BTreeSet<MachineOffer> {
        self.refusals
            .iter()
            .filter(|(_, refusal)| now < refusal.until)
            .map(|(offer, _)| offer.clone())
            .collect()
    }

    /// Records that the cloud had no capacity for the offer, which is then not requested for a
    /// pause that doubles with each consecutive refusal. Returns the pause.
    pub(super) fn record(&mut self, offer: MachineOffer, now: Timestamp) -> Duration {
        let last = self.refusals.get(&offer);
        let last_pause = last.map_or(Duration::ZERO, |refusal| refusal.pause);
        let pause = (last_pause * 2).clamp(
            constants::REFUSED_OFFER_INITIAL_PAUSE,
            constants::REFUSED_OFFER_MAX_PAUSE,
        );
        let until = now + pause;
        self.refusals.insert(offer, Refusal { until, pause });
        pause
    }

    /// Removes the record of the offer's refusals, so that the offer may be requested immediately.
    pub(super) fn clear(&mut self, offer: &MachineOffer) {
        self.refusals.remove(offer);
    }
}

#[cfg(test)]
mod tests;
