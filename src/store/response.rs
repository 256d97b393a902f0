//! Decoding of the state service's HTTP responses.

use super::{
    MalformedCause, NotExecutedCause, Record, StoreCall, StoreError, StoreReply,
    UnknownOutcomeCause,
};
use crate::constants;
use crate::http::HttpResponse;
use crate::wire::decode;
use crate::wire::store::{Conflict, Item, LeaseGranted, Revision};
use serde::de::DeserializeOwned;

/// Decodes the response to `call`.
///
/// # Errors
///
/// The error that the status code stands for; [`StoreError::UnknownOutcome`] if the body cannot be
/// decoded; [`StoreError::Malformed`] for any other status code.
pub(super) fn decode_response(
    call: &StoreCall,
    response: &HttpResponse,
) -> Result<StoreReply, StoreError> {
    match (call, response.status) {
        (_, status @ (429 | 503)) => Err(NotExecutedCause::Status(status).into()),
        (StoreCall::Get { .. }, 200) => Ok(StoreReply::Item(Some(decode_body(response)?))),
        (StoreCall::Get { .. }, 404) => Ok(StoreReply::Item(None)),
        (StoreCall::List { .. }, 200) => Ok(StoreReply::Listing(decode_body(response)?)),
        (StoreCall::Commit(_), 200) => {
            let Revision { revision } = decode_body(response)?;
            Ok(StoreReply::Committed { revision })
        }
        (StoreCall::Commit(_), 409) => {
            let Conflict { failed_keys } = decode_body(response)?;
            Err(StoreError::Conflict(failed_keys))
        }
        (StoreCall::GrantLease { .. }, 200) => {
            let LeaseGranted { lease } = decode_body(response)?;
            Ok(StoreReply::LeaseGranted { lease })
        }
        (StoreCall::KeepAlive { .. } | StoreCall::RevokeLease { .. }, 200 | 204) => {
            Ok(StoreReply::LeaseUpdated)
        }
        (StoreCall::KeepAlive { .. } | StoreCall::RevokeLease { .. }, 404) => {
            Err(StoreError::LeaseNotFound)
        }
        (StoreCall::Watch { .. }, 200) => Ok(StoreReply::Changes(decode_body(response)?)),
        (StoreCall::Watch { .. }, 410) => Err(StoreError::Compacted),
        _ => Err(unexpected_status(response)),
    }
}

/// Decodes the response to a read of one key as a record of type `T`; returns `None` if the key
/// does not exist, and [`Record::Unreadable`] if its value has another form.
///
/// # Errors
///
/// The errors of [`decode_response`], and [`StoreError::Malformed`] if `call` does not read a key.
pub(super) fn decode_record<T: DeserializeOwned>(
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
    match decode_response(call, response)? {
        StoreReply::Item(None) => Ok(None),
        StoreReply::Item(Some(item)) => Ok(Some(Record::Unreadable {
            version: item.version,
        })),
        _ => Err(MalformedCause::UnexpectedResponse.into()),
    }
}

/// Decodes the body of a response.
fn decode_body<T: DeserializeOwned>(response: &HttpResponse) -> Result<T, StoreError> {
    decode(&response.body).map_err(|error| UnknownOutcomeCause::from(error).into())
}

/// Returns the error for a status code that is not expected for the call.
fn unexpected_status(response: &HttpResponse) -> StoreError {
    let status = response.status;
    let text = String::from_utf8_lossy(&response.body);
    let text: String = text.chars().take(constants::MAX_ERROR_BODY_CHARS).collect();
    MalformedCause::Status { status, text }.into()
}

#[cfg(test)]
mod tests;
