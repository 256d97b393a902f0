//! The machine types that the cloud offers, which a leader reads again periodically.

use super::context::Context;
use super::retry::Retry;
use crate::cloud::{CloudError, CloudReply};
use crate::constants;
use crate::model::{MachineType, MachineTypes, Timestamp};
use std::sync::Arc;

/// The machine types as last read from the cloud.
#[derive(Debug, Default)]
pub(super) struct MachineTypeCatalog {
    types: Option<Arc<MachineTypes>>,
    retry: Retry,
}

impl MachineTypeCatalog {
    /// Returns all types, or `None` if no read has succeeded yet.
    pub(super) fn types(&self) -> Option<&Arc<MachineTypes>> {
        self.types.as_ref()
    }

    /// Reports whether a read has succeeded.
    pub(super) fn is_known(&self) -> bool {
        self.types.is_some()
    }

    /// Returns the type with the given name.
    pub(super) fn get(&self, name: &str) -> Option<&MachineType> {
        self.types.as_ref().and_then(|types| types.get(name))
    }

    /// Begins a read if one is due. Returns whether it began one. Only a leader reads the types
    /// repeatedly, because only a leader depends on the changing spot prices; a follower reads them
    /// once.
    pub(super) fn begin_read_if_due(&mut self, now: Timestamp, is_leader: bool) -> bool {
        let due = self.retry.is_due(now) && (is_leader || self.types.is_none());
        if due {
            self.retry.begin();
        }
        due
    }

    /// Handles the outcome of a read. A failed read leaves the types unchanged and is retried.
    pub(super) fn on_read(
        &mut self,
        result: Result<CloudReply, CloudError>,
        context: &mut Context,
    ) {
        match result {
            Ok(CloudReply::MachineTypes(list)) => {
                let types = list.machine_types.iter().map(MachineType::from);
                let by_name = types.map(|machine_type| (machine_type.name.clone(), machine_type));
                self.types = Some(Arc::new(by_name.collect()));
                self.retry
                    .record_success(context.now() + constants::MACHINE_TYPES_INTERVAL);
            }
            other => {
                if let Err(error) = other {
                    tracing::debug!(%error, "reading machine types failed");
                }
                self.retry.record_failure(context);
            }
        }
    }
}

#[cfg(test)]
mod tests;
