//! Conversions between the engine's types and those of a script. No other file of the replay tests
//! depends on the variants of the engine's types.

use super::script;
use super::script::Body;
use crate::cloud::{CloudCall, CloudError, CloudReply};
use crate::engine::{Command, Effect, Engine, EngineStatus, Reply};
use crate::model::{UnixTime, whole_millis};
use crate::peer::Announcement;
use crate::store::{NotExecutedCause, StoreCall, StoreError, StoreReply};
use crate::wire::{decode, encode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::time::Duration;

fn encode_body(message: &impl Serialize) -> Body {
    Body::new(encode(message))
}

fn decode_body<T: DeserializeOwned>(body: &Body) -> T {
    decode(body.bytes()).unwrap()
}

fn to_strings<T: ToString>(items: &[T]) -> Vec<String> {
    items.iter().map(ToString::to_string).collect()
}

/// Lets the engine take a recorded step and returns the outcome.
pub(super) fn replay_step(engine: &mut Engine, step: &script::Step) -> script::Outcome {
    let commands: Vec<Command> = step.commands.iter().map(engine_command).collect();
    let effects = engine.step(
        Duration::from_millis(step.now),
        UnixTime::from_millis(step.unix_time),
        commands,
    );
    record_outcome(&effects, &engine.status())
}

/// Converts the result of an engine's step to the script's format.
pub(super) fn record_outcome(effects: &[Effect], status: &EngineStatus) -> script::Outcome {
    script::Outcome {
        effects: effects.iter().map(record_effect).collect(),
        status: script::Status {
            ready: status.ready,
            leading: status.leading,
            term: status.term,
            leader: status.leader.clone(),
            types_known: status.machine_types.is_some(),
            store_ok: status.store_reachable,
        },
    }
}

/// Converts a command to the script's format.
pub(super) fn record_command(command: &Command) -> script::Command {
    match command {
        Command::Heartbeat { heartbeat, reply } => script::Command::Heartbeat {
            body: encode_body(heartbeat),
            reply: *reply,
        },
        Command::CountTasks { job, reply } => script::Command::TaskCounts {
            job: job.to_string(),
            reply: *reply,
        },
        Command::StoreCallCompleted { call_id, result } => script::Command::StoreAnswer {
            call: *call_id,
            answer: record_store_answer(result),
        },
        Command::CloudCallCompleted { call_id, result } => script::Command::CloudAnswer {
            call: *call_id,
            answer: record_cloud_answer(result),
        },
        Command::PeerAnnounced(announcement) => {
            script::Command::Announcement(script::Announcement {
                node: announcement.node.clone(),
                term: announcement.term,
                store_ok: announcement.store_reachable,
            })
        }
        Command::JobCancelled(job) => script::Command::JobCancelled(job.to_string()),
        Command::QueryBlockedJob { job, reply } => script::Command::BlockedJobState {
            job: job.to_string(),
            reply: *reply,
        },
        Command::FindUnknownJobs { jobs, reply } => script::Command::UnknownJobs {
            jobs: to_strings(jobs),
            reply: *reply,
        },
    }
}

/// Converts a recorded command back to a command to the engine.
fn engine_command(command: &script::Command) -> Command {
    match command {
        script::Command::Heartbeat { body, reply } => Command::Heartbeat {
            heartbeat: decode_body(body),
            reply: *reply,
        },
        script::Command::TaskCounts { job, reply } => Command::CountTasks {
            job: job.as_str().into(),
            reply: *reply,
        },
        script::Command::StoreAnswer { call, answer } => Command::StoreCallCompleted {
            call_id: *call,
            result: store_result(answer),
        },
        script::Command::CloudAnswer { call, answer } => Command::CloudCallCompleted {
            call_id: *call,
            result: cloud_result(answer),
        },
        script::Command::Announcement(announcement) => Command::PeerAnnounced(Announcement {
            node: announcement.node.clone(),
            term: announcement.term,
            store_reachable: announcement.store_ok,
        }),
        script::Command::JobCancelled(job) => Command::JobCancelled(job.as_str().into()),
        script::Command::BlockedJobState { job, reply } => Command::QueryBlockedJob {
            job: job.as_str().into(),
            reply: *reply,
        },
        script::Command::UnknownJobs { jobs, reply } => Command::FindUnknownJobs {
            jobs: jobs.iter().map(|job| job.as_str().into()).collect(),
            reply: *reply,
        },
    }
}

fn record_store_answer(result: &Result<StoreReply, StoreError>) -> script::StoreAnswer {
    use script::StoreAnswer as Answer;
    match result {
        Ok(StoreReply::Item(item)) => Answer::Item(item.as_ref().map(encode_body)),
        Ok(StoreReply::Listing(listing)) => Answer::Listing(encode_body(listing)),
        Ok(StoreReply::Committed { revision }) => Answer::Committed {
            revision: *revision,
        },
        Ok(StoreReply::LeaseGranted { lease }) => Answer::LeaseGranted { lease: *lease },
        Ok(StoreReply::LeaseUpdated) => Answer::Done,
        Ok(StoreReply::Changes(changes)) => Answer::Changes(encode_body(changes)),
        Err(StoreError::Conflict(keys)) => Answer::Conflict(keys.clone()),
        Err(StoreError::LeaseNotFound) => Answer::NoLease,
        Err(StoreError::Compacted) => Answer::TooOld,
        Err(StoreError::NotExecuted(reason)) => Answer::Refused(reason.to_string()),
        Err(StoreError::UnknownOutcome(reason)) => Answer::Unknown(reason.to_string()),
        Err(StoreError::Malformed(reason)) => Answer::Bad(reason.to_string()),
    }
}

fn store_result(answer: &script::StoreAnswer) -> Result<StoreReply, StoreError> {
    use script::StoreAnswer as Answer;
    match answer {
        Answer::Item(item) => Ok(StoreReply::Item(item.as_ref().map(decode_body))),
        Answer::Listing(listing) => Ok(StoreReply::Listing(decode_body(listing))),
        Answer::Committed { revision } => Ok(StoreReply::Committed {
            revision: *revision,
        }),
        Answer::LeaseGranted { lease } => Ok(StoreReply::LeaseGranted { lease: *lease }),
        Answer::Done => Ok(StoreReply::LeaseUpdated),
        Answer::Changes(changes) => Ok(StoreReply::Changes(decode_body(changes))),
        Answer::Conflict(keys) => Err(StoreError::Conflict(keys.clone())),
        Answer::NoLease => Err(StoreError::LeaseNotFound),
        Answer::TooOld => Err(StoreError::Compacted),
        Answer::Refused(reason) => Err(NotExecutedCause::from(reason.as_str()).into()),
        Answer::Unknown(reason) => Err(StoreError::UnknownOutcome(reason.as_str().into())),
        Answer::Bad(reason) => Err(StoreError::Malformed(reason.as_str().into())),
    }
}

fn record_cloud_answer(result: &Result<CloudReply, CloudError>) -> script::CloudAnswer {
    use script::CloudAnswer as Answer;
    match result {
        Ok(CloudReply::MachineTypes(types)) => Answer::Types(encode_body(types)),
        Ok(CloudReply::Rented(machines)) => Answer::Rented(machines.clone()),
        Ok(CloudReply::Returned) => Answer::Returned,
        Ok(CloudReply::MachinePage(page)) => Answer::Listed(encode_body(page)),
        Err(CloudError::NoCapacity) => Answer::NoCapacity,
        Err(CloudError::Failed(reason)) => Answer::Failed(reason.to_string()),
    }
}

fn cloud_result(answer: &script::CloudAnswer) -> Result<CloudReply, CloudError> {
    use script::CloudAnswer as Answer;
    match answer {
        Answer::Types(types) => Ok(CloudReply::MachineTypes(decode_body(types))),
        Answer::Rented(machines) => Ok(CloudReply::Rented(machines.clone())),
        Answer::Returned => Ok(CloudReply::Returned),
        Answer::Listed(page) => Ok(CloudReply::MachinePage(decode_body(page))),
        Answer::NoCapacity => Err(CloudError::NoCapacity),
        Answer::Failed(reason) => Err(CloudError::Failed(reason.as_str().into())),
    }
}

fn record_effect(effect: &Effect) -> script::Effect {
    match effect {
        Effect::Reply { to, reply } => script::Effect::Reply {
            to: *to,
            reply: record_reply(reply),
        },
        Effect::CallStore {
            call_id,
            call,
            urgent,
        } => script::Effect::Store {
            call: *call_id,
            urgent: *urgent,
            request: record_store_request(call),
        },
        Effect::CallCloud { call_id, call } => script::Effect::Cloud {
            call: *call_id,
            request: record_cloud_request(call),
        },
        Effect::SendCommands { address, commands } => script::Effect::WorkerCommands {
            address: address.to_string(),
            body: encode_body(commands),
        },
    }
}

fn record_reply(reply: &Reply) -> script::Reply {
    match reply {
        Reply::HeartbeatAccepted(commands) => script::Reply::HeartbeatAnswer(encode_body(commands)),
        Reply::RedirectToLeader(node) => script::Reply::Redirect(node.clone()),
        Reply::Unavailable => script::Reply::Unavailable,
        Reply::TaskCounts { completed, running } => script::Reply::TaskCounts {
            done: *completed,
            running: *running,
        },
        Reply::BlockedJobState(state) => {
            script::Reply::BlockedJobState(state.as_ref().map(encode_body))
        }
        Reply::UnknownJobs(jobs) => script::Reply::UnknownJobs(to_strings(jobs)),
    }
}

fn record_store_request(call: &StoreCall) -> script::StoreRequest {
    use script::StoreRequest as Request;
    match call {
        StoreCall::Get { key } => Request::Get { key: key.clone() },
        StoreCall::List { prefix, after } => Request::List {
            prefix: prefix.clone(),
            after: after.clone(),
        },
        StoreCall::Commit(transaction) => Request::Commit(encode_body(transaction)),
        StoreCall::GrantLease { ttl } => Request::GrantLease {
            ttl_ms: whole_millis(*ttl),
        },
        StoreCall::KeepAlive { lease } => Request::RenewLease { lease: *lease },
        StoreCall::RevokeLease { lease } => Request::EndLease { lease: *lease },
        StoreCall::Watch {
            prefix,
            after,
            wait,
        } => Request::Watch {
            prefix: prefix.clone(),
            after: *after,
            wait_ms: whole_millis(*wait),
        },
    }
}

fn record_cloud_request(call: &CloudCall) -> script::CloudRequest {
    use script::CloudRequest as Request;
    match call {
        CloudCall::ListMachineTypes => Request::Types,
        CloudCall::Rent(request) => Request::Rent(encode_body(request)),
        CloudCall::Return(machines) => Request::Return(machines.clone()),
        CloudCall::ListMachines { after } => Request::List {
            after: after.clone(),
        },
    }
}
