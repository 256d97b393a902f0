//! Constraints of a job on the machines for its tasks: machine types, zone, spot instances, and the
//! distribution of the tasks over zones.

use crate::model::JobSpec;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Number of a job's placed tasks in each zone.
pub type TasksByZone = BTreeMap<Arc<str>, u32>;

/// Adds `count` tasks to the number in a zone.
pub(crate) fn add_tasks(tasks_by_zone: &mut TasksByZone, zone: &Arc<str>, count: u32) {
    *tasks_by_zone.entry(zone.clone()).or_insert(0) += count;
}

/// Reports whether a job's constraints allow machines of this type, zone and purchase option.
pub(crate) fn is_eligible(
    spec: &JobSpec,
    machine_type: &Arc<str>,
    zone: &Arc<str>,
    spot: bool,
) -> bool {
    (!spot || spec.allows_spot)
        && spec
            .machine_types
            .as_ref()
            .is_none_or(|types| types.contains(machine_type))
        && spec.zone.as_ref().is_none_or(|required| required == zone)
}

/// Returns how many more tasks of a job may be placed in `zone`, given the number of its placed
/// tasks in each zone.
pub(crate) fn zone_headroom(spec: &JobSpec, placed: &TasksByZone, zone: &Arc<str>) -> u32 {
    let in_zone = placed.get(zone).copied().unwrap_or(0);
    let in_other_zones = placed
        .iter()
        .any(|(other, count)| other != zone && *count > 0);
    if spec.single_zone && in_other_zones {
        0
    } else {
        spec.max_tasks_per_zone().saturating_sub(in_zone)
    }
}
