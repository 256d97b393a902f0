//! Snapshots of machines, the input of placement.

use super::PERMILLE;
use super::constraints::{TasksByZone, is_eligible, zone_headroom};
use crate::model::{JobSpec, MachineId, Resources};
use crate::wire::user::JobKind;
use std::sync::Arc;

/// State of a machine that placement uses. The machine is either rented or only considered for
/// rental.
#[derive(Debug, Clone, PartialEq)]
pub struct MachineSnapshot {
    /// Id of the machine. Empty if the machine is not rented yet.
    pub id: MachineId,
    /// Name of the machine's type.
    pub machine_type: Arc<str>,
    /// Zone of the machine.
    pub zone: Arc<str>,
    /// Whether the machine is a spot instance.
    pub spot: bool,
    /// All resources of the machine.
    pub capacity: Resources,
    /// Resources that are not allocated to any task.
    pub available: Resources,
    /// Number of further tasks that the machine's heartbeats can list.
    pub free_task_slots: u32,
    /// Resources allocated to tasks of services, which run until they are stopped.
    pub used_by_services: Resources,
    /// Images in the machine's cache.
    pub images: Vec<Arc<str>>,
    /// Images that the machine is fetching, or will fetch for tasks that are about to start.
    pub fetching: Vec<PendingFetch>,
    /// GB of images that the machine can fetch in the time in which another machine of its type
    /// boots.
    pub boot_gb: f64,
}

/// An image that a machine has yet to fetch.
#[derive(Debug, Clone, PartialEq)]
pub struct PendingFetch {
    /// Name of the image.
    pub image: Arc<str>,
    /// GB of the image that are left to fetch.
    pub remaining_gb: f64,
}

/// How soon a task's image would be available on a machine. Smaller values are sooner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ImageReadiness {
    /// The image is in the cache.
    Cached,
    /// The image is being fetched.
    Fetching,
    /// The image has to be fetched, and its fetch would share the machine's fetch rate with others.
    Missing {
        /// Number of other images that are being fetched or will be fetched.
        other_fetches: usize,
    },
}

impl MachineSnapshot {
    /// Allocates the resources of `count` tasks of a job and adds the fetch of their image
    /// unless the image is cached or already being fetched.
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

    /// Returns how many more tasks of a job fit, at most `max_count`, given the number of the job's
    /// placed tasks in each zone.
    pub fn max_tasks(&self, spec: &JobSpec, placed: &TasksByZone, max_count: u32) -> u32 {
        max_count
            .min(self.available.max_multiple(spec.request))
            .min(self.free_task_slots)
            .min(zone_headroom(spec, placed, &self.zone))
    }

    /// Reports whether a job's constraints allow this machine, without regard to available
    /// resources.
    pub(super) fn is_eligible_for(&self, spec: &JobSpec) -> bool {
        is_eligible(spec, &self.machine_type, &self.zone, self.spot)
    }

    /// Reports whether a task of the job would start on this machine without fetching an image.
    pub(super) fn has_image_of(&self, spec: &JobSpec) -> bool {
        spec.image_gb <= 0.0 || self.images.contains(&spec.image)
    }

    /// Reports whether a task would have its image on this machine sooner than on a new machine
    /// that has yet to boot. Concurrent fetches share the machine's fetch rate: if the other
    /// pending fetches amount to more than `boot_gb`, a new machine is faster.
    pub(super) fn has_image_before_new_machine_boots(&self, image: &Arc<str>) -> bool {
        self.images.contains(image)
            || self.is_fetching(image)
            || self.pending_fetch_gb() <= self.boot_gb
    }

    /// Returns how soon the image would be available on this machine.
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

    /// Returns the resources that are allocated to tasks.
    pub(super) fn used(&self) -> Resources {
        self.capacity - self.available
    }

    /// Returns the part of the machine that is allocated to tasks, in thousandths of the machine's
    /// scarcest resource.
    pub(super) fn used_permille(&self) -> u64 {
        self.used().permille_of(self.capacity)
    }

    /// Returns the part of the machine that is idle, in thousandths.
    pub(super) fn idle_permille(&self) -> u64 {
        PERMILLE - self.used_permille().min(PERMILLE)
    }

    /// Returns the resources that are available once all tasks except services have ended.
    pub(super) fn capacity_without_services(&self) -> Resources {
        self.capacity - self.used_by_services
    }

    /// Reports whether resources of the machine are allocated to services.
    pub(super) fn has_services(&self) -> bool {
        self.used_by_services != Resources::default()
    }

    fn is_fetching(&self, image: &Arc<str>) -> bool {
        self.fetching.iter().any(|fetch| fetch.image == *image)
    }

    /// Returns the GB that are left to fetch of all images being fetched or about to be fetched.
    fn pending_fetch_gb(&self) -> f64 {
        self.fetching
            .iter()
            .map(|fetch| fetch.remaining_gb)
            .sum::<f64>()
    }
}
