//! The client of the state service.

use super::limits::CallLimits;
use super::request::{http_request, response_timeout};
use super::response::{decode_record, decode_response};
use super::{
    CallPriority, NotExecutedCause, Record, StoreCall, StoreError, StoreReply, UnknownOutcomeCause,
};
use crate::http::{HttpClient, HttpError, HttpResponse};
use crate::settings::Settings;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;

/// A client of the state service that stays within this node's share of the service's rate
/// limits.
#[derive(Debug)]
pub struct StoreClient {
    http: HttpClient,
    address: SocketAddr,
    limits: CallLimits,
}

impl StoreClient {
    /// Creates a client for the state service at the address given in the settings.
    pub fn new(http: HttpClient, settings: &Settings) -> Self {
        StoreClient {
            http,
            address: settings.services.state,
            limits: CallLimits::new(settings),
        }
    }

    /// Makes the call and decodes its response.
    ///
    /// # Errors
    ///
    /// - [`StoreError::Conflict`] if comparisons of a transaction failed,
    /// - [`StoreError::LeaseNotFound`] if the lease to renew or revoke does not exist,
    /// - [`StoreError::Compacted`] if a watch cannot return all changes,
    /// - [`StoreError::NotExecuted`] if the service refused the call, the request was not sent, or
    ///   too few rate-limit tokens are left for a user's call,
    /// - [`StoreError::UnknownOutcome`] if no readable response arrived,
    /// - [`StoreError::Malformed`] if the response has an unexpected status code.
    pub async fn call(
        &self,
        call: &StoreCall,
        priority: CallPriority,
    ) -> Result<StoreReply, StoreError> {
        let response = self.exchange(call, priority).await?;
        decode_response(call, &response)
    }

    /// Reads the record under a key on behalf of a user; returns `None` if the key does not exist.
    ///
    /// The record is decoded directly, without an intermediate [`rmpv::Value`], because most calls
    /// of a node are of this kind.
    ///
    /// # Errors
    ///
    /// The errors of [`StoreClient::call`].
    pub async fn get_record<T: DeserializeOwned>(
        &self,
        key: String,
    ) -> Result<Option<Record<T>>, StoreError> {
        let call = StoreCall::Get { key };
        let response = self.exchange(&call, CallPriority::User).await?;
        decode_record(&call, &response)
    }

    /// Sends the call once the rate limits admit it, and returns its HTTP response.
    async fn exchange(
        &self,
        call: &StoreCall,
        priority: CallPriority,
    ) -> Result<HttpResponse, StoreError> {
        self.limits.admit(call, priority).await?;
        self.http
            .send(self.address, http_request(call), response_timeout(call))
            .await
            .map_err(|error| store_error(call, error))
    }
}

/// Converts the HTTP client's error to the error of the call.
fn store_error(call: &StoreCall, error: HttpError) -> StoreError {
    match (error, call) {
        (HttpError::NotSent(cause), _) => NotExecutedCause::from(cause).into(),
        // The response exceeds the body limit because too much has changed. Reporting a compacted
        // watch makes the engine list all records again, in pages.
        (HttpError::ResponseTooLong, StoreCall::Watch { .. }) => StoreError::Compacted,
        (error, _) => UnknownOutcomeCause::from(error).into(),
    }
}
