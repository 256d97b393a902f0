//! Carries out calls to the state service, within its published limits.

use super::{Record, StoreCall, StoreError, StoreReply, Urgency};
use crate::constants as k;
use crate::http::{Answer, CallError, HttpClient};
use crate::settings::Settings;
use crate::tokens::TokenBucket;
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
        let bucket = |rate: f64| Mutex::new(TokenBucket::new(rate * k::RATE_SHARE, 1.0));
        StoreClient {
            http,
            addr: settings.services.state,
            calls: bucket(state.rps),
            writes: bucket(state.write_rps.max(state.txn_ops as f64 / k::RATE_SHARE)),
            user_writes: Mutex::new(TokenBucket::new(
                state.write_rps * k::USER_WRITE_SHARE,
                k::USER_WRITE_BURST_S,
            )),
            started: Instant::now(),
        }
    }

    /// Takes a token for the call and one for each write, waiting if that urgency may wait.
    async fn admit(&self, call: &StoreCall, urgency: Urgency) -> Result<(), StoreError> {
        let writes = match call {
            StoreCall::Commit(txn) => txn.writes.len() as f64,
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
                let wait = match urgency {
                    Urgency::Lease => {
                        let mut bucket = bucket.lock().unwrap_or_else(|e| e.into_inner());
                        bucket.force(amount, self.started.elapsed());
                        None
                    }
                    Urgency::Engine => take(bucket, amount, 0.0),
                    Urgency::User => match users.map(|own| take(own, amount, 0.0)) {
                        Some(None) => None,
                        _ => take(bucket, amount, k::RATE_RESERVE),
                    },
                };
                match (wait, urgency) {
                    (None, _) => break,
                    (Some(_), Urgency::User) => {
                        return Err(StoreError::Refused("no token left for users".into()));
                    }
                    (Some(wait), _) => tokio::time::sleep(wait).await,
                }
            }
        }
        Ok(())
    }

    /// Makes the call and reads its answer.
    pub async fn call(&self, call: &StoreCall, urgency: Urgency) -> Result<StoreReply, StoreError> {
        let answer = self.exchange(call, urgency).await?;
        read(call, &answer)
    }

    /// Reads the record under a key, on behalf of a user. It is decoded where it stands in the answer:
    /// by way of a value of any form, each poll cost a quarter more.
    pub async fn get_record<T: DeserializeOwned>(
        &self,
        key: String,
    ) -> Result<Option<Record<T>>, StoreError> {
        let call = StoreCall::Get { key };
        let answer = self.exchange(&call, Urgency::User).await?;
        read_record(&call, &answer)
    }

    /// Makes the call once its tokens are there.
    async fn exchange(&self, call: &StoreCall, urgency: Urgency) -> Result<Answer, StoreError> {
        self.admit(call, urgency).await?;
        let mut timeout = k::STORE_TIMEOUT;
        let (method, path, body) = match call {
            StoreCall::Get { key } => (Method::GET, format!("/store/{key}"), None),
            StoreCall::List { prefix, after } => {
                let after = after
                    .as_ref()
                    .map_or(String::new(), |a| format!("&after={a}"));
                let path = format!("/store?under={prefix}{after}&page={}", k::LIST_PAGE);
                (Method::GET, path, None)
            }
            StoreCall::Commit(txn) => (Method::POST, "/commit".into(), Some(encode(txn))),
            StoreCall::Hold { ttl_ms } => (
                Method::POST,
                "/holds".into(),
                Some(encode(&w::TouchBody { ttl_ms: *ttl_ms })),
            ),
            StoreCall::Touch { lease } => (Method::POST, format!("/holds/{lease}/touch"), None),
            StoreCall::Drop { lease } => (Method::DELETE, format!("/holds/{lease}"), None),
            StoreCall::Watch {
                prefix,
                after,
                wait_ms,
            } => {
                timeout = Duration::from_millis(*wait_ms) + k::WATCH_SLACK;
                let path = format!("/changes?under={prefix}&after={after}&block_ms={wait_ms}");
                (Method::GET, path, None)
            }
        };
        self.http
            .call(method, self.addr, &path, body, timeout)
            .await
            .map_err(|e| match (e, call) {
                (CallError::NotSent(why), _) => StoreError::Refused(why),
                // More has changed than is read at once: the records are read again, in pages.
                (CallError::TooLong, StoreCall::Watch { .. }) => StoreError::TooOld,
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
        StoreReply::Got(None) => Ok(None),
        StoreReply::Got(Some(item)) => Ok(Some(Record::Unreadable {
            version: item.version,
        })),
        _ => Err(StoreError::Bad("unexpected answer".into())),
    }
}

/// Reads an answer to `call`.
fn read(call: &StoreCall, answer: &Answer) -> Result<StoreReply, StoreError> {
    fn body<T: DeserializeOwned>(answer: &Answer) -> Result<T, StoreError> {
        decode(&answer.body).map_err(|e| StoreError::Unknown(format!("unreadable answer: {e}")))
    }
    match (call, answer.status) {
        (_, 429 | 503) => Err(StoreError::Refused(format!("status {}", answer.status))),
        (StoreCall::Get { .. }, 200) => Ok(StoreReply::Got(Some(body(answer)?))),
        (StoreCall::Get { .. }, 404) => Ok(StoreReply::Got(None)),
        (StoreCall::List { .. }, 200) => Ok(StoreReply::Listed(body(answer)?)),
        (StoreCall::Commit(_), 200) => {
            let at: w::Revision = body(answer)?;
            Ok(StoreReply::Committed {
                revision: at.revision,
            })
        }
        (StoreCall::Commit(_), 409) => {
            let conflict: w::Conflict = body(answer)?;
            Err(StoreError::Conflict(conflict.failed))
        }
        (StoreCall::Hold { .. }, 200) => {
            let held: w::Lease = body(answer)?;
            Ok(StoreReply::Held { lease: held.lease })
        }
        (StoreCall::Touch { .. } | StoreCall::Drop { .. }, 200 | 204) => Ok(StoreReply::Ok),
        (StoreCall::Touch { .. } | StoreCall::Drop { .. }, 404) => Err(StoreError::NoLease),
        (StoreCall::Watch { .. }, 200) => Ok(StoreReply::Changed(body(answer)?)),
        (StoreCall::Watch { .. }, 410) => Err(StoreError::TooOld),
        (_, status) => {
            let text = String::from_utf8_lossy(&answer.body);
            let text: String = text.chars().take(100).collect();
            Err(StoreError::Bad(format!("status {status}: {text}")))
        }
    }
}
