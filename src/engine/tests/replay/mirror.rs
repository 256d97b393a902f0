//! Between the engine's types and those of a script: the only file here that names the engine's.

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

fn body(message: &impl Serialize) -> Body {
    Body::new(encode(message))
}

fn message<T: DeserializeOwned>(body: &Body) -> T {
    decode(body.bytes()).unwrap()
}

fn texts<T: ToString>(items: &[T]) -> Vec<String> {
    items.iter().map(ToString::to_string).collect()
}

/// Lets the engine take a step of the script.
pub(super) fn step(engine: &mut Engine, step: &script::Step) -> script::Outcome {
    let commands: Vec<Command> = step.commands.iter().map(command_of).collect();
    let effects = engine.step(
        Duration::from_millis(step.now),
        UnixTime::from_millis(step.unix_time),
        commands,
    );
    outcome(&effects, &engine.status())
}

/// What a step has produced.
pub(super) fn outcome(effects: &[Effect], status: &EngineStatus) -> script::Outcome {
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

/// A command as it is kept in a script.
pub(super) fn record_command(command: &Command) -> script::Command {
    match command {
        Command::Heartbeat { heartbeat, reply } => script::Command::Heartbeat {
            body: body(heartbeat),
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
        Command::PeerAnnounced(said) => script::Command::Announcement(script::Announcement {
            node: said.node.clone(),
            term: said.term,
            store_ok: said.store_reachable,
        }),
        Command::JobCancelled(job) => script::Command::JobCancelled(job.to_string()),
        Command::QueryBlockedJob { job, reply } => script::Command::BlockedJobState {
            job: job.to_string(),
            reply: *reply,
        },
        Command::FindUnknownJobs { jobs, reply } => script::Command::UnknownJobs {
            jobs: texts(jobs),
            reply: *reply,
        },
    }
}

fn command_of(command: &script::Command) -> Command {
    match command {
        script::Command::Heartbeat { body, reply } => Command::Heartbeat {
            heartbeat: message(body),
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
        script::Command::Announcement(said) => Command::PeerAnnounced(Announcement {
            node: said.node.clone(),
            term: said.term,
            store_reachable: said.store_ok,
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
        Ok(StoreReply::Item(item)) => Answer::Item(item.as_ref().map(body)),
        Ok(StoreReply::Listing(listing)) => Answer::Listing(body(listing)),
        Ok(StoreReply::Committed { revision }) => Answer::Committed {
            revision: *revision,
        },
        Ok(StoreReply::LeaseGranted { lease }) => Answer::LeaseGranted { lease: *lease },
        Ok(StoreReply::LeaseUpdated) => Answer::Done,
        Ok(StoreReply::Changes(changes)) => Answer::Changes(body(changes)),
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
        Answer::Item(item) => Ok(StoreReply::Item(item.as_ref().map(message))),
        Answer::Listing(listing) => Ok(StoreReply::Listing(message(listing))),
        Answer::Committed { revision } => Ok(StoreReply::Committed {
            revision: *revision,
        }),
        Answer::LeaseGranted { lease } => Ok(StoreReply::LeaseGranted { lease: *lease }),
        Answer::Done => Ok(StoreReply::LeaseUpdated),
        Answer::Changes(changes) => Ok(StoreReply::Changes(message(changes))),
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
        Ok(CloudReply::MachineTypes(types)) => Answer::Types(body(types)),
        Ok(CloudReply::Rented(machines)) => Answer::Rented(machines.clone()),
        Ok(CloudReply::Returned) => Answer::Returned,
        Ok(CloudReply::MachinePage(list)) => Answer::Listed(body(list)),
        Err(CloudError::NoCapacity) => Answer::NoCapacity,
        Err(CloudError::Failed(reason)) => Answer::Failed(reason.to_string()),
    }
}

fn cloud_result(answer: &script::CloudAnswer) -> Result<CloudReply, CloudError> {
    use script::CloudAnswer as Answer;
    match answer {
        Answer::Types(types) => Ok(CloudReply::MachineTypes(message(types))),
        Answer::Rented(machines) => Ok(CloudReply::Rented(machines.clone())),
        Answer::Returned => Ok(CloudReply::Returned),
        Answer::Listed(list) => Ok(CloudReply::MachinePage(message(list))),
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
            body: body(commands),
        },
    }
}

fn record_reply(reply: &Reply) -> script::Reply {
    match reply {
        Reply::HeartbeatAccepted(commands) => script::Reply::HeartbeatAnswer(body(commands)),
        Reply::RedirectToLeader(node) => script::Reply::Redirect(node.clone()),
        Reply::Unavailable => script::Reply::Unavailable,
        Reply::TaskCounts { completed, running } => script::Reply::TaskCounts {
            done: *completed,
            running: *running,
        },
        Reply::BlockedJobState(state) => script::Reply::BlockedJobState(state.as_ref().map(body)),
        Reply::UnknownJobs(jobs) => script::Reply::UnknownJobs(texts(jobs)),
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
        StoreCall::Commit(txn) => Request::Commit(body(txn)),
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
        CloudCall::Rent(rent) => Request::Rent(body(rent)),
        CloudCall::Return(machines) => Request::Return(machines.clone()),
        CloudCall::ListMachines { after } => Request::List {
            after: after.clone(),
        },
    }
}
