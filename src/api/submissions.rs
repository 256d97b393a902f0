//! Submissions: checked, then written to the state service under the condition that they are new.

use super::Api;
use super::lookup::StoredJob;
use super::responses::{Answer, answer, refuse, unavailable};
use crate::constants;
use crate::engine::{self, Command, JobRecord, Reply};
use crate::model::{JobId, JobSpec, MachineTypes};
use crate::node::unix_time_ms;
use crate::settings::Settings;
use crate::store::{StoreCall, StoreError};
use crate::wire::decode;
use crate::wire::store::Transaction;
use crate::wire::user::{self, JobKind, JobState, JobStatus};
use axum::http::StatusCode;
use rmpv::Value;

impl Api {
    pub(super) async fn submit(&self, body: &[u8]) -> Result<Answer, StoreError> {
        let job = match read_job(body) {
            Ok(job) => job,
            Err(why) => return self.refuse_malformed(body, &why).await,
        };
        let record = JobRecord::new(job, unix_time_ms());
        let value = engine::job_value(&record);
        if engine::json_size(&value) + constants::RECORD_SPARE_BYTES
            > self.settings.max_value_bytes()
        {
            let why = "models and awaits: too long together";
            return self.refuse_malformed(body, why).await;
        }
        let Some(types) = self.view.borrow().machine_types.clone() else {
            return Ok(unavailable("machine types are not known yet"));
        };
        let id = &record.job.id;
        if let Some(why) = self.reason_to_refuse(&record.job, &types).await? {
            // A job that was accepted stays accepted, whatever its repetition says.
            return match self.look_up(id).await? {
                StoredJob::Never => Ok(refuse(StatusCode::UNPROCESSABLE_ENTITY, &why)),
                stored => self.accepted(id, &stored).await,
            };
        }
        if let Some((state, tasks)) = self.remembered(id) {
            return self.accepted(id, &StoredJob::Final(state, tasks)).await;
        }
        self.store_submission(id, value).await
    }

    /// Why a well-formed job is refused, if it is.
    async fn reason_to_refuse(
        &self,
        job: &user::JobSubmission,
        types: &MachineTypes,
    ) -> Result<Option<String>, StoreError> {
        match can_run(job, &self.settings, types) {
            Err(why) => Ok(Some(why)),
            Ok(()) => self.reason_to_refuse_awaits(job).await,
        }
    }

    /// Writes the record unless the job was accepted before.
    async fn store_submission(&self, id: &str, value: Value) -> Result<Answer, StoreError> {
        let (live, last) = (engine::job_key(id), engine::final_key(id));
        let txn = Transaction::default()
            .compare(&live, 0)
            .compare(last, 0)
            .put(live, value);
        match self.call(StoreCall::Commit(txn)).await {
            Ok(_) => {
                let status = JobStatus {
                    id: id.to_owned(),
                    state: JobState::Queued,
                    completed_tasks: None,
                    running_tasks: None,
                };
                Ok(answer(StatusCode::CREATED, &status))
            }
            Err(StoreError::Conflict(_)) => {
                let stored = self.look_up(id).await?;
                self.accepted(id, &stored).await
            }
            Err(e) => Err(e),
        }
    }

    /// Refuses a malformed body, unless it names a job that was accepted before: that one must
    /// not be disowned.
    async fn refuse_malformed(&self, body: &[u8], why: &str) -> Result<Answer, StoreError> {
        #[derive(serde::Deserialize)]
        struct Named {
            uid: String,
        }
        if let Ok(named) = decode::<Named>(body)
            && user::is_valid_id(&named.uid)
        {
            match self.look_up(&named.uid).await? {
                StoredJob::Never => {}
                known => return self.accepted(&named.uid, &known).await,
            }
        }
        Ok(refuse(StatusCode::BAD_REQUEST, why))
    }

    /// Answers with how a job stands that was accepted before.
    pub(super) async fn accepted(&self, id: &str, known: &StoredJob) -> Result<Answer, StoreError> {
        Ok(match self.status(id, known).await? {
            Some(status) => answer(StatusCode::OK, &status),
            // It was there a moment ago and a read missed it: ask again.
            None => unavailable("changing"),
        })
    }

    /// Why a job can't wait for what it awaits, if it names itself or one never accepted. One that
    /// was accepted stays so: what the engine knows needs no fresh read.
    async fn reason_to_refuse_awaits(
        &self,
        job: &user::JobSubmission,
    ) -> Result<Option<String>, StoreError> {
        if job.depends_on.contains(&job.id) {
            return Ok(Some("awaits: names the job itself".into()));
        }
        if job.depends_on.is_empty() {
            return Ok(None);
        }
        let jobs: Vec<JobId> = job.depends_on.iter().map(|id| (&**id).into()).collect();
        let named = |reply| Command::FindUnknownJobs {
            jobs: jobs.clone(),
            reply,
        };
        let unknown = match self.commands.ask(named).await {
            Some(Reply::UnknownJobs(unknown)) => unknown,
            _ => jobs.clone(),
        };
        for id in unknown {
            if !self.was_accepted(&id.0).await? {
                return Ok(Some(format!("awaits: {id} was never accepted")));
            }
        }
        Ok(None)
    }

    /// Whether a job was ever accepted. Most that the engine does not know are over: their final
    /// record is looked for first, and again after the live one, from which a job moves there.
    async fn was_accepted(&self, id: &str) -> Result<bool, StoreError> {
        let over = self.remembered(id).is_some() || self.has_final_record(id).await?;
        Ok(over || !matches!(self.look_up(id).await?, StoredJob::Never))
    }
}

/// Reads and checks the body of a submission; the error says what is wrong with it.
fn read_job(body: &[u8]) -> Result<user::JobSubmission, String> {
    let job = decode::<user::JobSubmission>(body).map_err(|e| e.to_string())?;
    job.validate().map_err(|e| e.to_string())?;
    Ok(job)
}

/// Whether the job could ever run: its team exists, a task fits an allowed machine type, and
/// the least it needs at once is within the team's limit.
fn can_run(
    job: &user::JobSubmission,
    settings: &Settings,
    types: &MachineTypes,
) -> Result<(), String> {
    let Some(team) = settings.team(&job.team) else {
        return Err(format!("crew: no team {:?}", job.team));
    };
    let spec = JobSpec::from(job);
    let fits = types.values().any(|t| {
        let zone_ok = t
            .zones
            .iter()
            .any(|zone| spec.zone.as_ref().is_none_or(|z| z == zone));
        let type_ok = spec
            .machine_types
            .as_ref()
            .is_none_or(|names| names.contains(&t.name));
        zone_ok && type_ok && spec.request.fits_in(t.capacity)
    });
    if !fits {
        return Err("a task fits no allowed machine type".into());
    }
    let least = spec.min_request();
    if !team.limit().allows(least) {
        let what = if job.kind == JobKind::Array {
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
