//! Carries out calls to the state service, within its published limits.

use super::{CallPriority, Record, StoreCall, StoreError, StoreReply};
use crate::constants;
use crate::http::{Answer, CallError, HttpClient};
use crate::rate_limit::TokenBucket;
use crate::settings::Settings;
use crate::wire::store as w;
use crate::wire::{decode, encode};
use hyper::Method;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;
use tokio::time::Instant;

pub struct StoreClient {
    http: HttpClient,
    addr: SocketAddr,
    calls: Mutex<TokenBucket>,
    writes: Mutex<TokenBucket>,
    /// Kept for users: the leader's rounds and ends may use up all others for a while.
    user_writes: Mutex<TokenBucket>,
    started: Instant,
}

impl StoreClient {
    pub fn new(http: HttpClient, settings: &Settings) -> Self {
        let state = &settings.cluster.state;
        let bucket = |rate: f64| Mutex::new(TokenBucket::new(rate * constants::RATE_SHARE, 1.0));
        StoreClient {
            http,
            addr: settings.services.state,
            calls: bucket(state.rps),
            writes: bucket(
                state
                    .write_rps
                    .max(state.txn_ops as f64 / constants::RATE_SHARE),
            ),
            user_writes: Mutex::new(TokenBucket::new(
                state.write_rps * constants::USER_WRITE_SHARE,
                constants::USER_WRITE_BURST_S,
            )),
            started: Instant::now(),
        }
    }

    /// Takes a token for the call and one for each write, waiting if that urgency may wait.
    async fn admit(&self, call: &StoreCall, priority: CallPriority) -> Result<(), StoreError> {
        let writes = match call {
            StoreCall::Commit(txn) => txn.mutations.len() as f64,
            _ => 0.0,
        };
        let take = |bucket: &Mutex<TokenBucket>, amount, reserve| {
            let mut bucket = bucket.lock().unwrap_or_else(|e| e.into_inner());
            bucket.take(amount, reserve, self.started.elapsed())
        };
        let buckets = [
            (&self.calls, 1.0, None),
            (&self.writes, writes, Some(&self.user_writes)),
        ];
        for (bucket, amount, users) in buckets {
            if amount == 0.0 {
                continue;
            }
            loop {
                let wait = match priority {
                    CallPriority::Leadership => {
                        let mut bucket = bucket.lock().unwrap_or_else(|e| e.into_inner());
                        bucket.force(amount, self.started.elapsed());
                        None
                    }
                    CallPriority::Engine => take(bucket, amount, 0.0),
                    CallPriority::User => match users.map(|own| take(own, amount, 0.0)) {
                        Some(None) => None,
                        _ => take(bucket, amount, constants::RESERVED_RATE_SHARE),
                    },
                };
                match (wait, priority) {
                    (None, _) => break,
                    (Some(_), CallPriority::User) => {
                        return Err(StoreError::NotExecuted("no token left for users".into()));
                    }
                    (Some(wait), _) => tokio::time::sleep(wait).await,
                }
            }
        }
        Ok(())
    }

    /// Makes the call and reads its answer.
    pub async fn call(
        &self,
        call: &StoreCall,
        priority: CallPriority,
    ) -> Result<StoreReply, StoreError> {
        let answer = self.exchange(call, priority).await?;
        read(call, &answer)
    }

    /// Reads the record under a key, on behalf of a user. It is decoded where it stands in the answer:
    /// by way of a value of any form, each poll cost a quarter more.
    pub async fn get_record<T: DeserializeOwned>(
        &self,
        key: String,
    ) -> Result<Option<Record<T>>, StoreError> {
        let call = StoreCall::Get { key };
        let answer = self.exchange(&call, CallPriority::User).await?;
        read_record(&call, &answer)
    }

    /// Makes the call once its tokens are there.
    async fn exchange(
        &self,
        call: &StoreCall,
        priority: CallPriority,
    ) -> Result<Answer, StoreError> {
        self.admit(call, priority).await?;
        let mut timeout = constants::STORE_TIMEOUT;
        let (method, path, body) = match call {
            StoreCall::Get { key } => (Method::GET, format!("/store/{key}"), None),
            StoreCall::List { prefix, after } => {
                let after = after
                    .as_ref()
                    .map_or(String::new(), |a| format!("&after={a}"));
                let path = format!(
                    "/store?under={prefix}{after}&page={}",
                    constants::STORE_LIST_PAGE_ITEMS
                );
                (Method::GET, path, None)
            }
            StoreCall::Commit(txn) => (Method::POST, "/commit".into(), Some(encode(txn))),
            StoreCall::GrantLease { ttl_ms } => (
                Method::POST,
                "/holds".into(),
                Some(encode(&w::GrantLeaseRequest { ttl_ms: *ttl_ms })),
            ),
            StoreCall::KeepAlive { lease } => (Method::POST, format!("/holds/{lease}/touch"), None),
            StoreCall::RevokeLease { lease } => (Method::DELETE, format!("/holds/{lease}"), None),
            StoreCall::Watch {
                prefix,
                after,
                wait_ms,
            } => {
                timeout = Duration::from_millis(*wait_ms) + constants::WATCH_SLACK;
                let path = format!("/changes?under={prefix}&after={after}&block_ms={wait_ms}");
                (Method::GET, path, None)
            }
        };
        self.http
            .call(method, self.addr, &path, body, timeout)
            .await
            .map_err(|e| match (e, call) {
                (CallError::NotSent(why), _) => StoreError::NotExecuted(why),
                // More has changed than is read at once: the records are read again, in pages.
                (CallError::TooLong, StoreCall::Watch { .. }) => StoreError::Compacted,
                (e, _) => StoreError::Unknown(e.to_string()),
            })
    }
}

/// Reads the answer to a call for one key as a record of the expected form.
fn read_record<T: DeserializeOwned>(
    call: &StoreCall,
    answer: &Answer,
) -> Result<Option<Record<T>>, StoreError> {
    if answer.status == 200
        && let Ok(item) = decode::<w::Item<T>>(&answer.body)
    {
        return Ok(Some(Record::Read {
            record: item.value,
            version: item.version,
        }));
    }
    match read(call, answer)? {
        StoreReply::Item(None) => Ok(None),
        StoreReply::Item(Some(item)) => Ok(Some(Record::Unreadable {
            version: item.version,
        })),
        _ => Err(StoreError::Malformed("unexpected answer".into())),
    }
}

/// Reads an answer to `call`.
fn read(call: &StoreCall, answer: &Answer) -> Result<StoreReply, StoreError> {
    fn body<T: DeserializeOwned>(answer: &Answer) -> Result<T, StoreError> {
        decode(&answer.body).map_err(|e| StoreError::Unknown(format!("unreadable answer: {e}")))
    }
    match (call, answer.status) {
        (_, 429 | 503) => Err(StoreError::NotExecuted(format!("status {}", answer.status))),
        (StoreCall::Get { .. }, 200) => Ok(StoreReply::Item(Some(body(answer)?))),
        (StoreCall::Get { .. }, 404) => Ok(StoreReply::Item(None)),
        (StoreCall::List { .. }, 200) => Ok(StoreReply::Listing(body(answer)?)),
        (StoreCall::Commit(_), 200) => {
            let at: w::Revision = body(answer)?;
            Ok(StoreReply::Committed {
                revision: at.revision,
            })
        }
        (StoreCall::Commit(_), 409) => {
            let conflict: w::Conflict = body(answer)?;
            Err(StoreError::Conflict(conflict.failed_keys))
        }
        (StoreCall::GrantLease { .. }, 200) => {
            let held: w::LeaseGranted = body(answer)?;
            Ok(StoreReply::LeaseGranted { lease: held.lease })
        }
        (StoreCall::KeepAlive { .. } | StoreCall::RevokeLease { .. }, 200 | 204) => {
            Ok(StoreReply::LeaseUpdated)
        }
        (StoreCall::KeepAlive { .. } | StoreCall::RevokeLease { .. }, 404) => {
            Err(StoreError::NoLease)
        }
        (StoreCall::Watch { .. }, 200) => Ok(StoreReply::Changes(body(answer)?)),
        (StoreCall::Watch { .. }, 410) => Err(StoreError::Compacted),
        (_, status) => {
            let text = String::from_utf8_lossy(&answer.body);
            let text: String = text.chars().take(100).collect();
            Err(StoreError::Malformed(format!("status {status}: {text}")))
        }
    }
}
