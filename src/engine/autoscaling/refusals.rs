//! Offers for which the cloud had no capacity, and how long each is left alone.

use super::MachineOffer;
use crate::constants;
use crate::model::Timestamp;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// How long an offer is left alone after the cloud had no capacity for it.
#[derive(Debug, Clone, Copy)]
struct Refusal {
    /// Time until which the offer is not asked for.
    until: Timestamp,
    /// Length of that pause; the next one is twice as long.
    pause: Duration,
}

/// The offers that were refused, until one is granted or a machine of theirs is returned.
#[derive(Debug, Default)]
pub(super) struct RefusedOffers {
    refusals: BTreeMap<MachineOffer, Refusal>,
}

impl RefusedOffers {
    /// Offers that are left alone at the moment.
    pub(super) fn at(&self, now: Timestamp) -> BTreeSet<MachineOffer> {
        self.refusals
            .iter()
            .filter(|(_, refusal)| now < refusal.until)
            .map(|(offer, _)| offer.clone())
            .collect()
    }

    /// The cloud had no capacity: the offer is left alone for a time that doubles with each refusal
    /// in a row. Returns that time.
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

    /// The offer may be asked for at once.
    pub(super) fn clear(&mut self, offer: &MachineOffer) {
        self.refusals.remove(offer);
    }
}

#[cfg(test)]
mod tests;
