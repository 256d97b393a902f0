//! The cloud: the calls there are, and the client that carries them out within its limit.

use crate::constants;
use crate::http::{Answer, CallError, HttpClient};
use crate::rate_limit::TokenBucket;
use crate::settings::Settings;
use crate::wire::cloud as w;
use crate::wire::{decode, encode};
use hyper::Method;
use std::net::SocketAddr;
use std::sync::Mutex;
use tokio::time::Instant;

#[derive(Debug, Clone, PartialEq)]
pub enum CloudCall {
    /// Reads the machine types.
    ListMachineTypes,
    /// Rents machines.
    Rent(w::RentRequest),
    /// Returns the machines with these names.
    Return(Vec<String>),
    /// Reads a page of the machine list.
    ListMachines {
        /// The last machine of the page before; none for the first page.
        after: Option<String>,
    },
}

#[derive(Debug, Clone, PartialEq)]
pub enum CloudReply {
    /// All machine types.
    MachineTypes(w::MachineTypeList),
    /// Names of the machines that were rented.
    Rented(Vec<String>),
    /// The machines, and everything on them, are gone.
    Returned,
    /// A page of the machine list.
    MachinePage(w::MachinePage),
}

#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CloudError {
    /// None of this type, zone and kind to be had.
    #[error("no capacity")]
    NoCapacity,
    /// Not executed, or not known to be: the same request may be sent again.
    #[error("{0}")]
    Failed(String),
}

pub struct CloudClient {
    http: HttpClient,
    addr: SocketAddr,
    calls: Mutex<TokenBucket>,
    started: Instant,
}

impl CloudClient {
    pub fn new(http: HttpClient, settings: &Settings) -> Self {
        CloudClient {
            http,
            addr: settings.services.cloud,
            calls: Mutex::new(TokenBucket::new(
                settings.cluster.cloud.rps,
                constants::CLOUD_BURST_S,
            )),
            started: Instant::now(),
        }
    }

    pub async fn call(&self, call: &CloudCall) -> Result<CloudReply, CloudError> {
        // A return proves tasks gone that have to run elsewhere: it finds a token first.
        let reserve = match call {
            CloudCall::Return(_) => 0.0,
            _ => constants::RESERVED_RATE_SHARE,
        };
        loop {
            let wait = {
                let mut bucket = self.calls.lock().unwrap_or_else(|e| e.into_inner());
                bucket.take(1.0, reserve, self.started.elapsed())
            };
            match wait {
                None => break,
                Some(wait) => tokio::time::sleep(wait).await,
            }
        }
        let (method, path, body) = match call {
            CloudCall::ListMachineTypes => (Method::GET, "/flavors".into(), None),
            CloudCall::Rent(rent) => (Method::POST, "/machines".into(), Some(encode(rent))),
            CloudCall::Return(machines) => (
                Method::POST,
                "/machines/return".into(),
                Some(encode(&w::MachineNames {
                    machines: machines.clone(),
                })),
            ),
            CloudCall::ListMachines { after } => {
                let after = after
                    .as_ref()
                    .map_or(String::new(), |a| format!("after={a}&"));
                let path = format!(
                    "/machines?{after}page={}",
                    constants::MACHINE_LIST_PAGE_ITEMS
                );
                (Method::GET, path, None)
            }
        };
        let answer = self
            .http
            .call(method, self.addr, &path, body, constants::CLOUD_TIMEOUT)
            .await
            .map_err(|e: CallError| CloudError::Failed(e.to_string()))?;
        read(call, &answer)
    }
}

fn read(call: &CloudCall, answer: &Answer) -> Result<CloudReply, CloudError> {
    fn body<T: serde::de::DeserializeOwned>(answer: &Answer) -> Result<T, CloudError> {
        decode(&answer.body).map_err(|e| CloudError::Failed(format!("unreadable answer: {e}")))
    }
    if answer.status != 200 {
        #[derive(serde::Deserialize)]
        struct Reason {
            error: String,
        }
        let reason = decode::<Reason>(&answer.body).map_or(String::new(), |r| r.error);
        // The protocol tells a refusal from an outage by this text alone.
        if answer.status == 503 && reason == "no capacity" {
            return Err(CloudError::NoCapacity);
        }
        return Err(CloudError::Failed(format!(
            "status {} {reason}",
            answer.status
        )));
    }
    match call {
        CloudCall::ListMachineTypes => Ok(CloudReply::MachineTypes(body(answer)?)),
        CloudCall::Rent(_) => Ok(CloudReply::Rented(
            body::<w::MachineNames>(answer)?.machines,
        )),
        CloudCall::Return(_) => Ok(CloudReply::Returned),
        CloudCall::ListMachines { .. } => Ok(CloudReply::MachinePage(body(answer)?)),
    }
}
