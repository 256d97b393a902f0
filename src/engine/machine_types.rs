//! The machine types that the cloud offers, read again from time to time.

use super::context::Context;
use super::retry::Retry;
use crate::cloud::{CloudError, CloudReply};
use crate::constants;
use crate::model::{MachineType, MachineTypes, Timestamp};
use std::sync::Arc;

/// The machine types as last read.
#[derive(Debug, Default)]
pub(super) struct MachineTypeCatalog {
    types: Option<Arc<MachineTypes>>,
    retry: Retry,
}

impl MachineTypeCatalog {
    /// All types, once the cloud has told them.
    pub(super) fn types(&self) -> Option<&Arc<MachineTypes>> {
        self.types.as_ref()
    }

    /// Whether the types are known.
    pub(super) fn is_known(&self) -> bool {
        self.types.is_some()
    }

    /// The type of that name.
    pub(super) fn get(&self, name: &str) -> Option<&MachineType> {
        self.types.as_ref().and_then(|types| types.get(name))
    }

    /// Begins a read if one is due; whether it did. Spot prices move, which matters to a leader
    /// only; the others need the types once.
    pub(super) fn begin_read_if_due(&mut self, now: Timestamp, leading: bool) -> bool {
        let due = self.retry.is_due(now) && (leading || self.types.is_none());
        if due {
            self.retry.begin();
        }
        due
    }

    /// The outcome of a read.
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
