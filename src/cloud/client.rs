//! The client that makes calls to the cloud.

use super::{CloudCall, CloudError, CloudFailure, CloudReply};
use crate::constants;
use crate::http::{HttpClient, HttpRequest, HttpResponse};
use crate::rate_limit::RateLimiter;
use crate::settings::Settings;
use crate::wire::cloud::MachineNames;
use crate::wire::decode;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;

/// A client of the cloud that keeps to the cloud's rate limit.
#[derive(Debug)]
pub struct CloudClient {
    http: HttpClient,
    address: SocketAddr,
    limiter: RateLimiter,
}

impl CloudClient {
    /// Creates a client for the cloud address in the settings.
    pub fn new(http: HttpClient, settings: &Settings) -> Self {
        CloudClient {
            http,
            address: settings.services.cloud,
            limiter: RateLimiter::new(settings.cluster.cloud.rps, constants::CLOUD_BURST_S),
        }
    }

    /// Makes the call once the rate limit allows it, and returns the cloud's reply.
    ///
    /// # Errors
    ///
    /// Returns [`CloudError::NoCapacity`] if the cloud reports that it has no capacity for a
    /// rental, and [`CloudError::Failed`] if the request gets no response, the response has another
    /// error status, or the body can't be decoded.
    pub async fn call(&self, call: &CloudCall) -> Result<CloudReply, CloudError> {
        self.limiter.acquire(1.0, rate_reserve(call)).await;
        let response = self
            .http
            .send(self.address, request(call), constants::CLOUD_TIMEOUT)
            .await
            .map_err(CloudFailure::from)?;
        decode_response(call, &response)
    }
}

/// Returns the share of the rate limiter's tokens that the call must leave. The reserve is kept for
/// returns, because a return proves that tasks are gone that have to run on other machines.
fn rate_reserve(call: &CloudCall) -> f64 {
    match call {
        CloudCall::Return(_) => 0.0,
        _ => constants::RESERVED_RATE_SHARE,
    }
}

/// Returns the HTTP request for the call, as the platform's protocol defines it.
fn request(call: &CloudCall) -> HttpRequest {
    match call {
        CloudCall::ListMachineTypes => HttpRequest::get("/flavors"),
        CloudCall::Rent(rental) => HttpRequest::post("/machines", rental),
        CloudCall::Return(machines) => {
            let machines = machines.clone();
            HttpRequest::post("/machines/return", &MachineNames { machines })
        }
        CloudCall::ListMachines { after } => {
            let after = after
                .as_ref()
                .map_or(String::new(), |machine| format!("after={machine}&"));
            HttpRequest::get(format!(
                "/machines?{after}page={}",
                constants::MACHINE_LIST_PAGE_ITEMS
            ))
        }
    }
}

/// Decodes the response to `call`.
///
/// # Errors
///
/// Returns the errors of [`CloudClient::call`], except for a missing response.
fn decode_response(call: &CloudCall, response: &HttpResponse) -> Result<CloudReply, CloudError> {
    if response.status != 200 {
        return Err(error_from_response(response));
    }
    match call {
        CloudCall::ListMachineTypes => Ok(CloudReply::MachineTypes(decode_body(response)?)),
        CloudCall::Rent(_) => {
            let MachineNames { machines } = decode_body(response)?;
            Ok(CloudReply::Rented(machines))
        }
        CloudCall::Return(_) => Ok(CloudReply::Returned),
        CloudCall::ListMachines { .. } => Ok(CloudReply::MachinePage(decode_body(response)?)),
    }
}

/// Decodes the body of a response.
///
/// # Errors
///
/// Returns [`CloudError::Failed`] if the body can't be decoded.
fn decode_body<T: DeserializeOwned>(response: &HttpResponse) -> Result<T, CloudError> {
    decode(&response.body).map_err(|error| CloudFailure::from(error).into())
}

/// Returns the error that a response with a status other than 200 stands for.
fn error_from_response(response: &HttpResponse) -> CloudError {
    /// The body of an error response.
    #[derive(Deserialize)]
    struct Refusal {
        error: String,
    }
    let reason = decode::<Refusal>(&response.body).map_or(String::new(), |refusal| refusal.error);
    // In the protocol, only this text distinguishes a lack of capacity from an outage.
    if response.status == 503 && reason == "no capacity" {
        return CloudError::NoCapacity;
    }
    let status = response.status;
    CloudFailure::Status { status, reason }.into()
}

#[cfg(test)]
mod tests;
