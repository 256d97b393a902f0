//! What users, workers and the load balancer reach on `front`.
//!
//! Users' requests need no leader: any node answers them from a fresh read of the state service,
//! or writes a submission or cancellation there under a condition. Only a final state, which
//! cannot change, is answered from memory.

mod limit;

pub use limit::{Connections, LimitedListener};

use crate::constants as k;
use crate::engine::{self, Command, FinalRecord, JobRecord, Reply, View};
use crate::model::{JobId, Resources, Spec, Types};
use crate::node::{Commands, wall_ms};
use crate::peer::{Link, Message};
use crate::recent::Recent;
use crate::settings::Settings;
use crate::store::{StoreCall, StoreClient, StoreError, StoreReply, Urgency};
use crate::wire::store::Txn;
use crate::wire::user::{self, JobState, JobStatus, Kind};
use crate::wire::worker::{Elsewhere, Report};
use crate::wire::{DecodeError, decode, encode};
use axum::Router;
use axum::body::{Body, to_bytes};
use axum::extract::{DefaultBodyLimit, Path, State};
use axum::http::{Response, StatusCode};
use axum::middleware::map_response;
use axum::routing::{get, post};
use std::sync::{Arc, Mutex};
use tokio::sync::{Semaphore, watch};

pub struct Api {
    pub settings: Arc<Settings>,
    pub store: Arc<StoreClient>,
    pub commands: Commands,
    pub view: watch::Receiver<View>,
    pub peers: Arc<Vec<Link>>,
    /// Final states seen here: they never change, so they need no fresh read.
    finals: Mutex<Recent<String, (JobState, u64)>>,
    calls: Semaphore,
    /// For cancellations that other nodes are being told of.
    telling: Arc<Semaphore>,
}

/// A job as the state service has it.
enum Known {
    Never,
    Open {
        record: Box<JobRecord>,
        version: u64,
    },
    /// Accepted and not over, but its record can't be read.
    Unreadable {
        version: u64,
    },
    Final(JobState, u64),
}

type Answer = Response<Body>;

impl Api {
    pub fn new(
        settings: Arc<Settings>,
        store: Arc<StoreClient>,
        commands: Commands,
        view: watch::Receiver<View>,
        peers: Arc<Vec<Link>>,
    ) -> Arc<Self> {
        Arc::new(Api {
            settings,
            store,
            commands,
            view,
            peers,
            finals: Mutex::new(Recent::new(k::FINAL_CACHE)),
            calls: Semaphore::new(k::USER_CALLS),
            telling: Arc::new(Semaphore::new(k::TELLING)),
        })
    }

    pub fn router(self: Arc<Self>, connections: Connections) -> Router {
        let leave = move |mut response: Answer| {
            if connections.crowded() {
                let close = axum::http::HeaderValue::from_static("close");
                response.headers_mut().insert("connection", close);
            }
            std::future::ready(response)
        };
        Router::new()
            .route("/submissions", post(submit))
            .route("/submissions/{id}", get(poll))
            .route("/submissions/{id}/cancel", post(cancel))
            .route("/ready", get(ready))
            .route("/v1/report", post(report))
            .layer(DefaultBodyLimit::disable())
            .layer(map_response(leave))
            .with_state(self)
    }

    async fn call(&self, call: StoreCall) -> Result<StoreReply, StoreError> {
        self.store.call(&call, Urgency::User).await
    }

    async fn get(&self, key: String) -> Result<Option<crate::wire::store::Item>, StoreError> {
        match self.call(StoreCall::Get { key }).await? {
            StoreReply::Got(item) => Ok(item),
            _ => Err(StoreError::Bad("unexpected answer".into())),
        }
    }

    /// What is known of a job, by a fresh read. The live record is read first: a job moves from
    /// there to the final ones in one transaction, so whoever misses it in both reads never
    /// was accepted before the first.
    async fn look_up(&self, id: &str) -> Result<Known, StoreError> {
        if let Some((state, tasks)) = self.remembered(id) {
            return Ok(Known::Final(state, tasks));
        }
        if let Some(item) = self.get(engine::job_key(id)).await? {
            let version = item.version;
            let Some(record) = engine::read_job(item.value) else {
                // It was accepted, and is not over: all that its user can be told.
                tracing::error!("record of {id} can't be read");
                return Ok(Known::Unreadable { version });
            };
            if record.cancelled {
                self.remember(id, JobState::Cancelled, record.job.tasks);
                return Ok(Known::Final(JobState::Cancelled, record.job.tasks));
            }
            return Ok(Known::Open {
                record: Box::new(record),
                version,
            });
        }
        let Some(item) = self.get(engine::final_key(id)).await? else {
            return Ok(Known::Never);
        };
        let record = engine::read_final(item.value)
            .ok_or_else(|| StoreError::Bad(format!("final record of {id} can't be read")))?;
        self.remember(id, record.state, record.tasks);
        Ok(Known::Final(record.state, record.tasks))
    }

    fn remembered(&self, id: &str) -> Option<(JobState, u64)> {
        let finals = self.finals.lock().unwrap_or_else(|e| e.into_inner());
        finals.get(id).copied()
    }

    fn remember(&self, id: &str, state: JobState, tasks: u64) {
        let mut finals = self.finals.lock().unwrap_or_else(|e| e.into_inner());
        finals.insert(id.to_owned(), (state, tasks));
    }

    async fn status(&self, id: &str, known: &Known) -> Result<Option<JobStatus>, StoreError> {
        let (state, done, running) = match known {
            Known::Never => return Ok(None),
            Known::Final(state @ JobState::Done, tasks) => (*state, *tasks, 0),
            Known::Final(state, _) => (*state, 0, 0),
            Known::Unreadable { .. } => (JobState::Queued, 0, 0),
            Known::Open { record, .. } if record.waits() => {
                (self.step_state(id, record.job.tasks).await?, 0, 0)
            }
            Known::Open { .. } => {
                let (done, running) = self.counts(id).await;
                let state = if running > 0 {
                    JobState::Running
                } else {
                    JobState::Queued
                };
                (state, done, running)
            }
        };
        Ok(Some(JobStatus {
            id: id.into(),
            state,
            done: Some(done),
            running: Some(running),
        }))
    }

    /// The state of a job whose record says that it waits for others: cancelled if one of them is,
    /// by changes read after the question came.
    async fn step_state(&self, id: &str, tasks: u64) -> Result<JobState, StoreError> {
        let ask = |reply| Command::Step {
            job: id.into(),
            reply,
        };
        match self.commands.ask(ask).await {
            Some(Reply::Step(Some(state))) => {
                if state == JobState::Cancelled {
                    self.remember(id, state, tasks);
                }
                Ok(state)
            }
            // Since its record was read it has begun, or is over.
            Some(Reply::Step(None)) => match self.look_up(id).await? {
                Known::Open { record, .. } if !record.waits() => Ok(JobState::Queued),
                Known::Final(state, _) => Ok(state),
                _ => Err(StoreError::Refused("changing".into())),
            },
            _ => Err(StoreError::Refused("changes can't be read".into())),
        }
    }

    /// Finished and running tasks, for display: from this node if it leads, else from the
    /// leader, else nothing.
    async fn counts(&self, id: &str) -> (u64, u64) {
        let view = self.view.borrow().clone();
        if view.leading {
            let count = |reply| Command::Count {
                job: JobId::from(id),
                reply,
            };
            if let Some(Reply::Counts { done, running }) = self.commands.ask(count).await {
                return (done, running);
            }
        }
        let link = self
            .peers
            .iter()
            .find(|p| Some(&p.node) == view.leader.as_ref());
        if let Some(link) = link
            && let Ok(Message::Counts { done, running }) =
                link.exchange(&Message::Count { job: id.into() }).await
        {
            return (done, running);
        }
        (0, 0)
    }

    /// Runs a user's request within bounds: one of a limited number at once, for a limited
    /// time. What can't be served is answered 503 at once.
    async fn bounded(
        &self,
        work: impl Future<Output = Result<Answer, StoreError>> + Send,
    ) -> Answer {
        let Ok(_permit) = self.calls.try_acquire() else {
            return unavailable("busy");
        };
        match tokio::time::timeout(k::USER_TIMEOUT, work).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(e)) => {
                if let StoreError::Bad(why) = &e {
                    tracing::error!("{why}");
                }
                unavailable("the state service can't be asked")
            }
            Err(_) => unavailable("the state service does not answer"),
        }
    }

    async fn submit(&self, body: &[u8]) -> Result<Answer, StoreError> {
        let job = match decode::<user::Job>(body) {
            Ok(job) => job,
            Err(e) => return self.malformed(body, &e.to_string()).await,
        };
        if let Err(why) = job.check() {
            return self.malformed(body, &why).await;
        }
        let record = JobRecord::new(job, wall_ms());
        let (job, id) = (&record.job, &record.job.id);
        let value = engine::job_value(&record);
        if engine::json_size(&value) + k::RECORD_SPARE > self.settings.value_max() {
            let why = "models and awaits: too long together";
            return self.malformed(body, why).await;
        }
        let Some(types) = self.view.borrow().types.clone() else {
            return Ok(unavailable("machine types are not known yet"));
        };
        let refusal = match can_run(job, &self.settings, &types) {
            Err(why) => Some(why),
            Ok(()) => self.never_accepted(job).await?,
        };
        if let Some(why) = refusal {
            // A job that was accepted stays accepted, whatever its repetition says.
            return match self.look_up(id).await? {
                Known::Never => Ok(refuse(StatusCode::UNPROCESSABLE_ENTITY, &why)),
                known => self.accepted(id, &known).await,
            };
        }
        if let Some((state, tasks)) = self.remembered(id) {
            return self.accepted(id, &Known::Final(state, tasks)).await;
        }
        let (live, last) = (engine::job_key(id), engine::final_key(id));
        let txn = Txn::default().when(&live, 0).when(last, 0).put(live, value);
        match self.call(StoreCall::Commit(txn)).await {
            Ok(_) => {
                let status = JobStatus {
                    id: id.clone(),
                    state: JobState::Queued,
                    done: None,
                    running: None,
                };
                Ok(answer(StatusCode::CREATED, &status))
            }
            Err(StoreError::Conflict(_)) => {
                let known = self.look_up(id).await?;
                self.accepted(id, &known).await
            }
            Err(e) => Err(e),
        }
    }

    /// Refuses a malformed body, unless it names a job that was accepted before: that one must
    /// not be disowned.
    async fn malformed(&self, body: &[u8], why: &str) -> Result<Answer, StoreError> {
        #[derive(serde::Deserialize)]
        struct Named {
            uid: String,
        }
        if let Ok(named) = decode::<Named>(body)
            && user::valid_id(&named.uid)
        {
            match self.look_up(&named.uid).await? {
                Known::Never => {}
                known => return self.accepted(&named.uid, &known).await,
            }
        }
        Ok(refuse(StatusCode::BAD_REQUEST, why))
    }

    async fn accepted(&self, id: &str, known: &Known) -> Result<Answer, StoreError> {
        Ok(match self.status(id, known).await? {
            Some(status) => answer(StatusCode::OK, &status),
            // It was there a moment ago and a read missed it: ask again.
            None => unavailable("changing"),
        })
    }

    /// Why a job can't wait for what it awaits, if it names itself or one never accepted. One that
    /// was accepted stays so: what the engine knows needs no fresh read.
    async fn never_accepted(&self, job: &user::Job) -> Result<Option<String>, StoreError> {
        if job.awaits.contains(&job.id) {
            return Ok(Some("awaits: names the job itself".into()));
        }
        if job.awaits.is_empty() {
            return Ok(None);
        }
        let jobs: Vec<JobId> = job.awaits.iter().map(|id| (&**id).into()).collect();
        let named = |reply| Command::Named {
            jobs: jobs.clone(),
            reply,
        };
        let unknown = match self.commands.ask(named).await {
            Some(Reply::NotKnown(unknown)) => unknown,
            _ => jobs.clone(),
        };
        for id in unknown {
            if !self.was_accepted(&id.0).await? {
                return Ok(Some(format!("awaits: {id} was never accepted")));
            }
        }
        Ok(None)
    }

    /// Most that the engine does not know are over: their final record is looked for first, and
    /// again after the live one, from which a job moves there.
    async fn was_accepted(&self, id: &str) -> Result<bool, StoreError> {
        let over =
            self.remembered(id).is_some() || self.get(engine::final_key(id)).await?.is_some();
        Ok(over || !matches!(self.look_up(id).await?, Known::Never))
    }

    async fn poll(&self, id: &str) -> Result<Answer, StoreError> {
        let known = self.look_up(id).await?;
        Ok(match self.status(id, &known).await? {
            Some(status) => answer(StatusCode::OK, &status),
            None => refuse(StatusCode::NOT_FOUND, "no such job"),
        })
    }

    /// Tells all engines of a durable cancellation, so that a leader whom the state service refuses
    /// stops the job's tasks at once. Nothing rests on it, so past its bound it is left out.
    fn tell_of_cancellation(&self, id: &str) {
        let Ok(permit) = self.telling.clone().try_acquire_owned() else {
            return;
        };
        let (commands, peers) = (self.commands.clone(), self.peers.clone());
        let job = id.to_owned();
        tokio::spawn(async move {
            commands.send(Command::Cancelled((&*job).into())).await;
            let said = Message::Cancelled { job };
            for peer in peers.iter() {
                if let Err(e) = peer.exchange(&said).await {
                    tracing::debug!(peer = peer.node, "peer: {e}");
                }
            }
            drop(permit);
        });
    }

    async fn cancel(&self, id: &str) -> Result<Answer, StoreError> {
        // Again if someone changed the record between read and write.
        for _ in 0..3 {
            let (record, version) = match self.look_up(id).await? {
                Known::Open { record, version } => (Some(record), version),
                Known::Unreadable { version } => (None, version),
                known => {
                    return Ok(match self.status(id, &known).await? {
                        Some(status) => answer(StatusCode::OK, &status),
                        None => refuse(StatusCode::NOT_FOUND, "no such job"),
                    });
                }
            };
            let tasks = record.as_ref().map_or(0, |r| r.job.tasks);
            let last = FinalRecord {
                state: JobState::Cancelled,
                tasks,
            };
            let live = engine::job_key(id);
            let txn = Txn::default().when(&live, version);
            let txn = match record {
                Some(record) => {
                    let record = record.cancelled();
                    txn.put(live, engine::job_value(&record))
                }
                // Nothing of a job whose record can't be read is ever started.
                None => txn.delete(live),
            };
            let txn = txn.put(engine::final_key(id), engine::final_value(&last));
            match self.call(StoreCall::Commit(txn)).await {
                Ok(_) => {
                    self.remember(id, JobState::Cancelled, tasks);
                    self.tell_of_cancellation(id);
                    let known = Known::Final(JobState::Cancelled, tasks);
                    return self.accepted(id, &known).await;
                }
                Err(StoreError::Conflict(_)) => {}
                Err(e) => return Err(e),
            }
        }
        Ok(unavailable("changing"))
    }
}

/// Whether the job could ever run: its team exists, a task fits an allowed machine type, and
/// the least it needs at once is within the team's limit.
fn can_run(job: &user::Job, settings: &Settings, types: &Types) -> Result<(), String> {
    let Some(team) = settings.team(&job.team) else {
        return Err(format!("crew: no team {:?}", job.team));
    };
    let spec = Spec::read(job);
    let fits = types.values().any(|t| {
        let zone_ok = t
            .zones
            .iter()
            .any(|zone| spec.zone.as_ref().is_none_or(|z| z == zone));
        let type_ok = spec
            .types
            .as_ref()
            .is_none_or(|names| names.contains(&t.name));
        zone_ok && type_ok && spec.need.fits_in(t.size)
    });
    if !fits {
        return Err("a task fits no allowed machine type".into());
    }
    let least: Resources = spec.least();
    if !team.limit().holds(least) {
        let what = if job.kind == Kind::Array {
            "a task"
        } else {
            "the job"
        };
        return Err(format!(
            "{what} needs more than the limit of team {:?}",
            job.team
        ));
    }
    Ok(())
}

fn answer<T: serde::Serialize>(status: StatusCode, message: &T) -> Answer {
    let mut response = Response::new(Body::from(encode(message)));
    *response.status_mut() = status;
    let kind = axum::http::HeaderValue::from_static("application/msgpack");
    response.headers_mut().insert("content-type", kind);
    response
}

fn refuse(status: StatusCode, why: &str) -> Answer {
    let short: String = why.chars().take(200).collect();
    answer(status, &user::Refusal { error: &short })
}

fn unavailable(why: &str) -> Answer {
    let mut response = refuse(StatusCode::SERVICE_UNAVAILABLE, why);
    response
        .headers_mut()
        .insert("retry-after", k::RETRY_AFTER_S.into());
    response
}

/// Reads a body of at most the protocol's size.
async fn read_body(body: Body) -> Result<bytes::Bytes, Answer> {
    // A little more is read than allowed, to tell "too long" (400) from "can't be read" (413).
    match to_bytes(body, 4 * k::BODY_MAX).await {
        Ok(bytes) if bytes.len() <= k::BODY_MAX => Ok(bytes),
        Ok(_) => Err(refuse(StatusCode::BAD_REQUEST, "body over 64 KiB")),
        Err(_) => Err(refuse(StatusCode::PAYLOAD_TOO_LARGE, "body can't be read")),
    }
}

async fn submit(State(api): State<Arc<Api>>, body: Body) -> Answer {
    match read_body(body).await {
        Ok(body) => api.bounded(api.submit(&body)).await,
        Err(refusal) => refusal,
    }
}

async fn poll(State(api): State<Arc<Api>>, Path(id): Path<String>) -> Answer {
    if !user::valid_id(&id) {
        return refuse(StatusCode::NOT_FOUND, "no such job");
    }
    api.bounded(api.poll(&id)).await
}

async fn cancel(State(api): State<Arc<Api>>, Path(id): Path<String>) -> Answer {
    if !user::valid_id(&id) {
        return refuse(StatusCode::NOT_FOUND, "no such job");
    }
    api.bounded(api.cancel(&id)).await
}

async fn ready(State(api): State<Arc<Api>>) -> Answer {
    if api.view.borrow().ready {
        answer(
            StatusCode::OK,
            &std::collections::BTreeMap::<String, bool>::new(),
        )
    } else {
        unavailable("not ready")
    }
}

async fn report(State(api): State<Arc<Api>>, body: Body) -> Answer {
    let body = match read_body(body).await {
        Ok(body) => body,
        Err(refusal) => return refusal,
    };
    let report: Report = match decode(&body) {
        Ok(report) => report,
        Err(e @ (DecodeError::NotAMap | DecodeError::Invalid(_))) => {
            return refuse(StatusCode::BAD_REQUEST, &e.to_string());
        }
    };
    match api
        .commands
        .ask(|reply| Command::Report { report, reply })
        .await
    {
        Some(Reply::Orders(orders)) => answer(StatusCode::OK, &orders),
        Some(Reply::Elsewhere(report_to)) => {
            answer(StatusCode::MISDIRECTED_REQUEST, &Elsewhere { report_to })
        }
        _ => unavailable("no right to act"),
    }
}
