//! Validates submissions and writes new jobs to the state service.
//!
//! The write succeeds only if the job has no record yet. Submissions are idempotent: a repeated
//! submission is answered with the status of the job.

use super::Api;
use super::lookup::StoredJob;
use super::responses::{HttpResponse, error_response, message_response, service_unavailable};
use super::submission_checks::{
    MalformedSubmission, RejectedSubmission, check_runnable, parse_submission,
};
use crate::clock::unix_time;
use crate::constants;
use crate::engine::{self, Command, JobRecord, Reply};
use crate::model::{JobId, MachineTypes};
use crate::store::{StoreCall, StoreError};
use crate::wire::decode;
use crate::wire::store::Transaction;
use crate::wire::user::{self, JobState, JobStatus, JobSubmission};
use axum::http::StatusCode;
use rmpv::Value;

impl Api {
    /// Accepts the job of a submission unless it was accepted before, and responds with its status.
    ///
    /// # Errors
    ///
    /// Returns an error if a call to the state service fails, or if the status of a job that was
    /// accepted before can't be determined.
    pub(super) async fn submit(&self, body: &[u8]) -> Result<HttpResponse, StoreError> {
        let job = match parse_submission(body) {
            Ok(job) => job,
            Err(error) => return self.refuse_malformed(body, &error).await,
        };
        let record = JobRecord::new(job, unix_time());
        let value = engine::job_value(&record);
        let record_bytes = engine::json_size(&value) + constants::JOB_RECORD_RESERVED_BYTES;
        if record_bytes > self.settings.max_value_bytes() {
            let error = MalformedSubmission::RecordTooLarge;
            return self.refuse_malformed(body, &error).await;
        }
        let Some(machine_types) = self.engine_status.borrow().machine_types.clone() else {
            return Ok(service_unavailable("machine types are not known yet"));
        };
        let id = &record.job.id;
        if let Some(rejection) = self.find_rejection(&record.job, &machine_types).await? {
            // A job that was accepted stays accepted, even if its repeated submission is rejected.
            return match self.look_up_job(id).await? {
                StoredJob::Unknown => Ok(error_response(
                    StatusCode::UNPROCESSABLE_ENTITY,
                    &rejection.to_string(),
                )),
                job => self.respond_to_accepted(id, &job).await,
            };
        }
        if let Some(final_state) = self.final_states.get(id) {
            let job = StoredJob::Final(final_state);
            return self.respond_to_accepted(id, &job).await;
        }
        self.store_submission(id, value).await
    }

    /// Writes the live record of a job unless the job was accepted before, and responds with the
    /// job's status.
    async fn store_submission(&self, id: &str, value: Value) -> Result<HttpResponse, StoreError> {
        let (live_key, final_key) = (engine::job_key(id), engine::final_key(id));
        let transaction = Transaction::default()
            .compare(&live_key, 0)
            .compare(final_key, 0)
            .put(live_key, value);
        match self.call_store(StoreCall::Commit(transaction)).await {
            Ok(_) => {
                let status = JobStatus {
                    id: id.to_owned(),
                    state: JobState::Queued,
                    completed_tasks: None,
                    running_tasks: None,
                };
                Ok(message_response(StatusCode::CREATED, &status))
            }
            Err(StoreError::Conflict(_)) => {
                let job = self.look_up_job(id).await?;
                self.respond_to_accepted(id, &job).await
            }
            Err(error) => Err(error),
        }
    }

    /// Refuses a malformed body unless it contains the id of a job that was accepted before: a user
    /// must not be told that an accepted job was refused.
    async fn refuse_malformed(
        &self,
        body: &[u8],
        error: &MalformedSubmission,
    ) -> Result<HttpResponse, StoreError> {
        #[derive(serde::Deserialize)]
        struct SubmissionId {
            #[serde(rename = "uid")]
            id: String,
        }
        if let Ok(SubmissionId { id }) = decode(body)
            && user::is_valid_job_id(&id)
        {
            match self.look_up_job(&id).await? {
                StoredJob::Unknown => {}
                job => return self.respond_to_accepted(&id, &job).await,
            }
        }
        Ok(error_response(StatusCode::BAD_REQUEST, &error.to_string()))
    }

    /// Returns the reason to reject a well-formed submission, or `None` if the job can be accepted.
    async fn find_rejection(
        &self,
        job: &JobSubmission,
        machine_types: &MachineTypes,
    ) -> Result<Option<RejectedSubmission>, StoreError> {
        match check_runnable(job, &self.settings, machine_types) {
            Err(rejection) => Ok(Some(rejection)),
            Ok(()) => self.find_rejected_dependency(job).await,
        }
    }

    /// Returns the reason to reject a job because of its dependencies, if there is one: the job
    /// depends on itself, or on a job that was never accepted.
    ///
    /// An accepted job stays accepted, so dependencies that the engine knows need no fresh read from
    /// the state service.
    async fn find_rejected_dependency(
        &self,
        submission: &JobSubmission,
    ) -> Result<Option<RejectedSubmission>, StoreError> {
        if submission.depends_on.contains(&submission.id) {
            return Ok(Some(RejectedSubmission::DependsOnItself));
        }
        if submission.depends_on.is_empty() {
            return Ok(None);
        }
        let dependencies: Vec<JobId> = submission
            .depends_on
            .iter()
            .map(|id| (&**id).into())
            .collect();
        let command = |reply| Command::FindUnknownJobs {
            jobs: dependencies.clone(),
            reply,
        };
        let unknown_jobs = match self.commands.request(command).await {
            Some(Reply::UnknownJobs(unknown_jobs)) => unknown_jobs,
            _ => dependencies.clone(),
        };
        for job in unknown_jobs {
            if !self.was_accepted(&job.0).await? {
                return Ok(Some(RejectedSubmission::UnknownDependency { job }));
            }
        }
        Ok(None)
    }
}
