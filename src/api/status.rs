//! Builds the job status that users receive.

use super::Api;
use super::final_states::FinalState;
use super::lookup::StoredJob;
use super::responses::{HttpResponse, job_not_found, message_response, service_unavailable};
use crate::engine::{Command, Reply};
use crate::model::JobId;
use crate::peer::Message;
use crate::store::{NotExecutedCause, StoreError};
use crate::wire::user::{JobState, JobStatus};
use axum::http::StatusCode;

/// Numbers of a job's tasks, for display only.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct TaskCounts {
    completed: u64,
    running: u64,
}

impl Api {
    /// Responds with the status of a job, or with a 404 if the job was never accepted.
    ///
    /// # Errors
    ///
    /// Returns an error if the state service or the engine can't provide the job's state.
    pub(super) async fn get_status(&self, id: &str) -> Result<HttpResponse, StoreError> {
        let job = self.look_up_job(id).await?;
        self.respond_with_status(id, &job).await
    }

    /// Responds with the status of a job that was looked up, or with a 404 if the job was never
    /// accepted.
    ///
    /// # Errors
    ///
    /// Returns an error if the state service or the engine can't provide the job's state.
    pub(super) async fn respond_with_status(
        &self,
        id: &str,
        job: &StoredJob,
    ) -> Result<HttpResponse, StoreError> {
        Ok(match self.job_status(id, job).await? {
            Some(status) => message_response(StatusCode::OK, &status),
            None => job_not_found(),
        })
    }

    /// Responds with the status of a job that is known to have been accepted.
    ///
    /// # Errors
    ///
    /// Returns an error if the state service or the engine can't provide the job's state.
    pub(super) async fn respond_to_accepted(
        &self,
        id: &str,
        job: &StoredJob,
    ) -> Result<HttpResponse, StoreError> {
        Ok(match self.job_status(id, job).await? {
            Some(status) => message_response(StatusCode::OK, &status),
            // The job's records changed between two reads, so the user has to retry.
            None => service_unavailable("changing"),
        })
    }

    /// Returns the status of a job, or `None` if the job was never accepted.
    async fn job_status(&self, id: &str, job: &StoredJob) -> Result<Option<JobStatus>, StoreError> {
        let mut counts = TaskCounts::default();
        let state = match job {
            StoredJob::Unknown => return Ok(None),
            StoredJob::Final(final_state) => {
                if final_state.state == JobState::Done {
                    counts.completed = final_state.tasks;
                }
                final_state.state
            }
            // The only known facts about this job are that it was accepted and has not ended.
            StoredJob::Unreadable { .. } => JobState::Queued,
            StoredJob::Active { record, .. } if record.is_blocked() => {
                self.blocked_job_state(id, record.job.tasks).await?
            }
            StoredJob::Active { .. } => {
                counts = self.task_counts(id).await;
                match counts.running {
                    0 => JobState::Queued,
                    _ => JobState::Running,
                }
            }
        };
        Ok(Some(JobStatus {
            id: id.into(),
            state,
            completed_tasks: Some(counts.completed),
            running_tasks: Some(counts.running),
        }))
    }

    /// Returns the state of a job whose record says that it waits for its dependencies. The job is
    /// cancelled if one of its dependencies is.
    ///
    /// The engine answers from changes that it read from the state service after it received the
    /// query, so the answer is never older than the request.
    async fn blocked_job_state(&self, id: &str, tasks: u64) -> Result<JobState, StoreError> {
        let command = |reply| Command::QueryBlockedJob {
            job: id.into(),
            reply,
        };
        match self.commands.request(command).await {
            Some(Reply::BlockedJobState(Some(state))) => {
                if state == JobState::Cancelled {
                    self.final_states.insert(id, FinalState::cancelled(tasks));
                }
                Ok(state)
            }
            // The job was unblocked or has ended since its record was read.
            Some(Reply::BlockedJobState(None)) => match self.look_up_job(id).await? {
                StoredJob::Active { record, .. } if !record.is_blocked() => Ok(JobState::Queued),
                StoredJob::Final(final_state) => Ok(final_state.state),
                _ => Err(NotExecutedCause::RecordMoved.into()),
            },
            _ => Err(NotExecutedCause::ChangesUnreadable.into()),
        }
    }

    /// Returns the numbers of a job's tasks for display: from this node's engine if this node is
    /// the leader, otherwise from the leader. The numbers are zero if neither answers.
    async fn task_counts(&self, id: &str) -> TaskCounts {
        let status = self.engine_status.borrow().clone();
        if status.leading
            && let Some(counts) = self.local_task_counts(id).await
        {
            return counts;
        }
        let is_leader = |node: &String| Some(node) == status.leader.as_ref();
        let leader = self.peers.iter().find(|peer| is_leader(&peer.node));
        if let Some(leader) = leader
            && let Ok(Message::Counts { done, running }) =
                leader.exchange(&Message::Count { job: id.into() }).await
        {
            return TaskCounts {
                completed: done,
                running,
            };
        }
        TaskCounts::default()
    }

    /// Returns the numbers of a job's tasks from this node's engine, if the engine has them.
    async fn local_task_counts(&self, id: &str) -> Option<TaskCounts> {
        let command = |reply| Command::CountTasks {
            job: JobId::from(id),
            reply,
        };
        match self.commands.request(command).await {
            Some(Reply::TaskCounts { completed, running }) => {
                Some(TaskCounts { completed, running })
            }
            _ => None,
        }
    }
}
