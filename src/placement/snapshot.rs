//! What placement knows of a machine.

use super::PERMILLE;
use super::constraints::{TasksByZone, is_eligible, zone_headroom};
use crate::model::{JobSpec, MachineId, Resources};
use crate::wire::user::JobKind;
use std::sync::Arc;

/// A machine, rented or only considered, with the resources that are available on it.
#[derive(Debug, Clone, PartialEq)]
pub struct MachineSnapshot {
    /// The machine; empty for one that is not rented yet.
    pub id: MachineId,
    /// Name of its type.
    pub machine_type: Arc<str>,
    /// Its zone.
    pub zone: Arc<str>,
    /// Whether it is a spot instance.
    pub spot: bool,
    /// All of its resources.
    pub capacity: Resources,
    /// Resources that no task holds.
    pub available: Resources,
    /// How many more tasks its heartbeats can list.
    pub free_task_slots: u32,
    /// Resources held by tasks that do not end by themselves (services).
    pub used_by_services: Resources,
    /// Images in its cache.
    pub images: Vec<Arc<str>>,
    /// Images that it fetches, or will fetch for tasks that are about to start.
    pub fetching: Vec<PendingFetch>,
    /// GB of images that it fetches in the time in which another machine of its type boots.
    pub boot_gb: f64,
}

/// An image that a machine has yet to fetch.
#[derive(Debug, Clone, PartialEq)]
pub struct PendingFetch {
    /// Name of the image.
    pub image: Arc<str>,
    /// GB of it that are left to fetch.
    pub remaining_gb: f64,
}

/// How soon a task would have its image on a machine; the smallest is the soonest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ImageReadiness {
    /// The image is in the cache.
    Cached,
    /// The image is being fetched.
    Fetching,
    /// The image would be fetched, and share the machine's rate with other fetches.
    Missing {
        /// Number of the other fetches.
        other_fetches: usize,
    },
}

impl MachineSnapshot {
    /// Allocates the resources of `count` tasks of a job, and the fetch of their image.
    pub fn allocate(&mut self, spec: &JobSpec, count: u32) {
        let request = spec.request.times(u64::from(count));
        self.available = self.available - request;
        self.free_task_slots = self.free_task_slots.saturating_sub(count);
        if spec.kind == JobKind::Service {
            self.used_by_services += request;
        }
        if !self.has_image_of(spec) && !self.is_fetching(&spec.image) {
            self.fetching.push(PendingFetch {
                image: spec.image.clone(),
                remaining_gb: spec.image_gb,
            });
        }
    }

    /// How many of `max_count` more tasks of a job fit, given its placed tasks by zone.
    pub fn max_tasks(&self, spec: &JobSpec, placed: &TasksByZone, max_count: u32) -> u32 {
        max_count
            .min(self.available.max_multiple(spec.request))
            .min(self.free_task_slots)
            .min(zone_headroom(spec, placed, &self.zone))
    }

    /// Whether a job may use this machine at all, apart from the room on it.
    pub(super) fn is_eligible_for(&self, spec: &JobSpec) -> bool {
        is_eligible(spec, &self.machine_type, &self.zone, self.spot)
    }

    /// Whether a task of a job would start here without fetching an image.
    pub(super) fn has_image_of(&self, spec: &JobSpec) -> bool {
        spec.image_gb <= 0.0 || self.images.contains(&spec.image)
    }

    /// Whether a task has its image here sooner than on a machine that has yet to boot. Fetches on
    /// one machine share its rate: with more than a boot's worth of other images ahead, a new
    /// machine is faster.
    pub(super) fn has_image_before_new_machine_boots(&self, image: &Arc<str>) -> bool {
        self.images.contains(image)
            || self.is_fetching(image)
            || self.pending_fetch_gb() <= self.boot_gb
    }

    /// How soon a task would have its image here.
    pub(super) fn image_readiness(&self, image: &Arc<str>) -> ImageReadiness {
        if self.images.contains(image) {
            ImageReadiness::Cached
        } else if self.is_fetching(image) {
            ImageReadiness::Fetching
        } else {
            ImageReadiness::Missing {
                other_fetches: self.fetching.len(),
            }
        }
    }

    /// Resources that tasks hold.
    pub(super) fn used(&self) -> Resources {
        self.capacity - self.available
    }

    /// The part of the machine that tasks hold, in thousandths of its scarcest resource.
    pub(super) fn used_permille(&self) -> u64 {
        self.used().permille_of(self.capacity)
    }

    /// The part of the machine that is idle, in thousandths.
    pub(super) fn idle_permille(&self) -> u64 {
        PERMILLE - self.used_permille().min(PERMILLE)
    }

    /// Resources that are available once every task but services has ended.
    pub(super) fn capacity_without_services(&self) -> Resources {
        self.capacity - self.used_by_services
    }

    /// Whether tasks of services are on it.
    pub(super) fn has_services(&self) -> bool {
        self.used_by_services != Resources::default()
    }

    fn is_fetching(&self, image: &Arc<str>) -> bool {
        self.fetching.iter().any(|fetch| fetch.image == *image)
    }

    fn pending_fetch_gb(&self) -> f64 {
        self.fetching
            .iter()
            .map(|fetch| fetch.remaining_gb)
            .sum::<f64>()
    }
}
