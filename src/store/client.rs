//! Makes calls to the state service.

use super::limits::CallLimits;
use super::request::{request, timeout};
use super::response::{read, read_record};
use super::{
    CallPriority, NotExecutedCause, Record, StoreCall, StoreError, StoreReply, UnknownOutcomeCause,
};
use crate::http::{HttpClient, HttpError, HttpResponse};
use crate::settings::Settings;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;

/// A client of the state service that keeps to this node's share of the service's limits.
#[derive(Debug)]
pub struct StoreClient {
    http: HttpClient,
    address: SocketAddr,
    limits: CallLimits,
}

impl StoreClient {
    /// A client of the state service that the settings name.
    pub fn new(http: HttpClient, settings: &Settings) -> Self {
        StoreClient {
            http,
            address: settings.services.state,
            limits: CallLimits::new(settings),
        }
    }

    /// Makes the call and reads its response.
    ///
    /// # Errors
    ///
    /// If the service refuses the call, can't be reached, or its response can't be read.
    pub async fn call(
        &self,
        call: &StoreCall,
        priority: CallPriority,
    ) -> Result<StoreReply, StoreError> {
        let response = self.exchange(call, priority).await?;
        read(call, &response)
    }

    /// Reads the record under a key, on behalf of a user; `None` if the key does not exist. The
    /// record is decoded in place, without an [`rmpv::Value`] in between, since most calls of a
    /// node are of this kind.
    ///
    /// # Errors
    ///
    /// Those of [`StoreClient::call`].
    pub async fn get_record<T: DeserializeOwned>(
        &self,
        key: String,
    ) -> Result<Option<Record<T>>, StoreError> {
        let call = StoreCall::Get { key };
        let response = self.exchange(&call, CallPriority::User).await?;
        read_record(&call, &response)
    }

    /// Makes the call once the rate limits allow it.
    async fn exchange(
        &self,
        call: &StoreCall,
        priority: CallPriority,
    ) -> Result<HttpResponse, StoreError> {
        self.limits.admit(call, priority).await?;
        self.http
            .send(self.address, request(call), timeout(call))
            .await
            .map_err(|error| failure(call, error))
    }
}

/// What a call without a response means.
fn failure(call: &StoreCall, error: HttpError) -> StoreError {
    match (error, call) {
        (HttpError::NotSent(cause), _) => NotExecutedCause::from(cause).into(),
        // More has changed than is read at once: the records are read again, in pages.
        (HttpError::ResponseTooLong, StoreCall::Watch { .. }) => StoreError::Compacted,
        (error, _) => UnknownOutcomeCause::from(error).into(),
    }
}
