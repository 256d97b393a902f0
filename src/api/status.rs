//! What users are told of a job.

use super::Api;
use super::final_states::FinalState;
use super::lookup::StoredJob;
use super::responses::{HttpResponse, job_not_found, respond, unavailable};
use crate::engine::{Command, Reply};
use crate::model::JobId;
use crate::peer::Message;
use crate::store::{NotExecutedCause, StoreError};
use crate::wire::user::{JobState, JobStatus};
use axum::http::StatusCode;

/// Numbers of a job's tasks, for display.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct TaskCounts {
    completed: u64,
    running: u64,
}

impl Api {
    /// Responds to a question about a job.
    pub(super) async fn poll(&self, id: &str) -> Result<HttpResponse, StoreError> {
        let job = self.look_up(id).await?;
        self.respond_with_status(id, &job).await
    }

    /// Responds with a job's status, or that there is no such job.
    pub(super) async fn respond_with_status(
        &self,
        id: &str,
        job: &StoredJob,
    ) -> Result<HttpResponse, StoreError> {
        Ok(match self.status(id, job).await? {
            Some(status) => respond(StatusCode::OK, &status),
            None => job_not_found(),
        })
    }

    /// Responds with the status of a job that was accepted before.
    pub(super) async fn respond_to_accepted(
        &self,
        id: &str,
        job: &StoredJob,
    ) -> Result<HttpResponse, StoreError> {
        Ok(match self.status(id, job).await? {
            Some(status) => respond(StatusCode::OK, &status),
            // Its record moved between two reads; the user retries.
            None => unavailable("changing"),
        })
    }

    /// What a user is told of the job; `None` if it was never accepted.
    async fn status(&self, id: &str, job: &StoredJob) -> Result<Option<JobStatus>, StoreError> {
        let mut counts = TaskCounts::default();
        let state = match job {
            StoredJob::Unknown => return Ok(None),
            StoredJob::Final(final_state) => {
                if final_state.state == JobState::Done {
                    counts.completed = final_state.tasks;
                }
                final_state.state
            }
            // That it was accepted and is not over is all that is known of it.
            StoredJob::Unreadable { .. } => JobState::Queued,
            StoredJob::Active { record, .. } if record.is_blocked() => {
                self.blocked_state(id, record.job.tasks).await?
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

    /// The state of a job whose record says that it waits for its dependencies: cancelled if one of
    /// them is. The engine's answer rests on changes that were read after the question came.
    async fn blocked_state(&self, id: &str, tasks: u64) -> Result<JobState, StoreError> {
        let query = |reply| Command::QueryBlockedJob {
            job: id.into(),
            reply,
        };
        match self.commands.request(query).await {
            Some(Reply::BlockedJobState(Some(state))) => {
                if state == JobState::Cancelled {
                    self.final_states.insert(id, FinalState::cancelled(tasks));
                }
                Ok(state)
            }
            // Since its record was read it has been unblocked, or is over.
            Some(Reply::BlockedJobState(None)) => match self.look_up(id).await? {
                StoredJob::Active { record, .. } if !record.is_blocked() => Ok(JobState::Queued),
                StoredJob::Final(final_state) => Ok(final_state.state),
                _ => Err(NotExecutedCause::RecordMoved.into()),
            },
            _ => Err(NotExecutedCause::ChangesUnreadable.into()),
        }
    }

    /// Numbers of a job's tasks, for display: from this node if it leads, else from the leader, else
    /// zeros.
    async fn task_counts(&self, id: &str) -> TaskCounts {
        let status = self.engine_status.borrow().clone();
        if status.leading
            && let Some(counts) = self.own_task_counts(id).await
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

    async fn own_task_counts(&self, id: &str) -> Option<TaskCounts> {
        let query = |reply| Command::CountTasks {
            job: JobId::from(id),
            reply,
        };
        match self.commands.request(query).await {
            Some(Reply::TaskCounts { completed, running }) => {
                Some(TaskCounts { completed, running })
            }
            _ => None,
        }
    }
}
