//! Makes calls to the cloud.

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

/// A client of the cloud that keeps to its limit on calls.
#[derive(Debug)]
pub struct CloudClient {
    http: HttpClient,
    address: SocketAddr,
    limiter: RateLimiter,
}

impl CloudClient {
    /// A client of the cloud that the settings name.
    pub fn new(http: HttpClient, settings: &Settings) -> Self {
        CloudClient {
            http,
            address: settings.services.cloud,
            limiter: RateLimiter::new(settings.cluster.cloud.rps, constants::CLOUD_BURST_S),
        }
    }

    /// Makes the call once the rate limit allows it, and reads its response.
    ///
    /// # Errors
    ///
    /// [`CloudError::NoCapacity`] if the cloud has no such machine, [`CloudError::Failed`] in all
    /// other cases.
    pub async fn call(&self, call: &CloudCall) -> Result<CloudReply, CloudError> {
        self.limiter.acquire(1.0, rate_reserve(call)).await;
        let response = self
            .http
            .send(self.address, request(call), constants::CLOUD_TIMEOUT)
            .await
            .map_err(CloudFailure::from)?;
        read(call, &response)
    }
}

/// The share of the tokens that the call has to leave. Returns prove that tasks are gone which
/// have to run elsewhere, so the reserve is for them.
fn rate_reserve(call: &CloudCall) -> f64 {
    match call {
        CloudCall::Return(_) => 0.0,
        _ => constants::RESERVED_RATE_SHARE,
    }
}

/// The request that makes the call, as the platform's protocol defines it.
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

/// Reads the response to `call`.
fn read(call: &CloudCall, response: &HttpResponse) -> Result<CloudReply, CloudError> {
    if response.status != 200 {
        return Err(refusal(response));
    }
    match call {
        CloudCall::ListMachineTypes => Ok(CloudReply::MachineTypes(body(response)?)),
        CloudCall::Rent(_) => {
            let MachineNames { machines } = body(response)?;
            Ok(CloudReply::Rented(machines))
        }
        CloudCall::Return(_) => Ok(CloudReply::Returned),
        CloudCall::ListMachines { .. } => Ok(CloudReply::MachinePage(body(response)?)),
    }
}

fn body<T: DeserializeOwned>(response: &HttpResponse) -> Result<T, CloudError> {
    decode(&response.body).map_err(|error| CloudFailure::from(error).into())
}

/// What a response that is no success means.
fn refusal(response: &HttpResponse) -> CloudError {
    /// The body of a refusal.
    #[derive(Deserialize)]
    struct Refusal {
        error: String,
    }
    let reason = decode::<Refusal>(&response.body).map_or(String::new(), |refusal| refusal.error);
    // The protocol tells a refusal from an outage by this text alone.
    if response.status == 503 && reason == "no capacity" {
        return CloudError::NoCapacity;
    }
    let status = response.status;
    CloudFailure::Status { status, reason }.into()
}

#[cfg(test)]
mod tests;
