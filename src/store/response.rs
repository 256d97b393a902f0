//! Reads the responses of the state service.

use super::{
    MalformedCause, NotExecutedCause, Record, StoreCall, StoreError, StoreReply,
    UnknownOutcomeCause,
};
use crate::constants;
use crate::http::HttpResponse;
use crate::wire::decode;
use crate::wire::store::{Conflict, Item, LeaseGranted, Revision};
use serde::de::DeserializeOwned;

/// Reads the response to `call`.
pub(super) fn read(call: &StoreCall, response: &HttpResponse) -> Result<StoreReply, StoreError> {
    match (call, response.status) {
        (_, status @ (429 | 503)) => Err(NotExecutedCause::Status(status).into()),
        (StoreCall::Get { .. }, 200) => Ok(StoreReply::Item(Some(body(response)?))),
        (StoreCall::Get { .. }, 404) => Ok(StoreReply::Item(None)),
        (StoreCall::List { .. }, 200) => Ok(StoreReply::Listing(body(response)?)),
        (StoreCall::Commit(_), 200) => {
            let Revision { revision } = body(response)?;
            Ok(StoreReply::Committed { revision })
        }
        (StoreCall::Commit(_), 409) => {
            let Conflict { failed_keys } = body(response)?;
            Err(StoreError::Conflict(failed_keys))
        }
        (StoreCall::GrantLease { .. }, 200) => {
            let LeaseGranted { lease } = body(response)?;
            Ok(StoreReply::LeaseGranted { lease })
        }
        (StoreCall::KeepAlive { .. } | StoreCall::RevokeLease { .. }, 200 | 204) => {
            Ok(StoreReply::LeaseUpdated)
        }
        (StoreCall::KeepAlive { .. } | StoreCall::RevokeLease { .. }, 404) => {
            Err(StoreError::NoLease)
        }
        (StoreCall::Watch { .. }, 200) => Ok(StoreReply::Changes(body(response)?)),
        (StoreCall::Watch { .. }, 410) => Err(StoreError::Compacted),
        _ => Err(unexpected(response)),
    }
}

/// Reads the response to a call for one key as a record of the expected form; `None` if the key
/// does not exist.
pub(super) fn read_record<T: DeserializeOwned>(
    call: &StoreCall,
    response: &HttpResponse,
) -> Result<Option<Record<T>>, StoreError> {
    if response.status == 200
        && let Ok(item) = decode::<Item<T>>(&response.body)
    {
        return Ok(Some(Record::Read {
            record: item.value,
            version: item.version,
        }));
    }
    match read(call, response)? {
        StoreReply::Item(None) => Ok(None),
        StoreReply::Item(Some(item)) => Ok(Some(Record::Unreadable {
            version: item.version,
        })),
        _ => Err(MalformedCause::UnexpectedResponse.into()),
    }
}

fn body<T: DeserializeOwned>(response: &HttpResponse) -> Result<T, StoreError> {
    decode(&response.body).map_err(|error| UnknownOutcomeCause::from(error).into())
}

fn unexpected(response: &HttpResponse) -> StoreError {
    let status = response.status;
    let text = String::from_utf8_lossy(&response.body);
    let text: String = text.chars().take(constants::MAX_ERROR_BODY_CHARS).collect();
    MalformedCause::Status { status, text }.into()
}

#[cfg(test)]
mod tests;
