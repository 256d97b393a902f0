//! Quotas of the teams while a round is planned.

use crate::model::Resources;
use crate::settings::Limit;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Resources that each team uses, and each team's limit. A team whose limit was not set may use
/// nothing.
#[derive(Debug, Clone, Default)]
pub struct QuotaUsage {
    used: BTreeMap<Arc<str>, Resources>,
    limits: BTreeMap<Arc<str>, Limit>,
}

impl QuotaUsage {
    /// Sets the limit of a team.
    pub fn set_limit(&mut self, team: Arc<str>, limit: Limit) {
        self.limits.insert(team, limit);
    }

    /// Adds resources to those that a team uses.
    pub fn add_usage(&mut self, team: &Arc<str>, resources: Resources) {
        *self.used.entry(team.clone()).or_default() += resources;
    }

    /// Reserves `request` for a team up to `max_count` times, as far as the team's limit allows,
    /// and returns the number of requests reserved.
    pub(super) fn reserve(&mut self, team: &Arc<str>, request: Resources, max_count: u32) -> u32 {
        let used = self.used_by(team);
        let remaining = self.limits.get(team).map(|limit| limit.remaining(used));
        let count = remaining.map_or(0, |remaining| {
            remaining.max_multiple(request).min(max_count)
        });
        if count > 0 {
            self.used
                .insert(team.clone(), used + request.times(u64::from(count)));
        }
        count
    }

    /// Releases resources that were reserved for a team.
    pub(super) fn release(&mut self, team: &Arc<str>, resources: Resources) {
        let used = self.used_by(team) - resources;
        self.used.insert(team.clone(), used);
    }

    fn used_by(&self, team: &str) -> Resources {
        self.used.get(team).copied().unwrap_or_default()
    }
}
