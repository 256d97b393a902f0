//! Between the engine's types and those of a script: the only file here that names the engine's.

use super::script;
use super::script::Body;
use crate::cloud::{CloudCall, CloudError, CloudReply};
use crate::engine::{Command, Effect, Engine, Reply, View};
use crate::peer::Announcement;
use crate::store::{StoreCall, StoreError, StoreReply};
use crate::wire::{decode, encode};
use serde::Serialize;
use serde::de::DeserializeOwned;

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
pub fn step(engine: &mut Engine, step: &script::Step) -> script::Outcome {
    let commands: Vec<Command> = step.commands.iter().map(command_of).collect();
    let effects = engine.step(step.now, step.unix_time, commands);
    outcome(&effects, &engine.view())
}

/// What a step has produced.
pub fn outcome(effects: &[Effect], view: &View) -> script::Outcome {
    script::Outcome {
        effects: effects.iter().map(record_effect).collect(),
        status: script::Status {
            ready: view.ready,
            leading: view.leading,
            term: view.term,
            leader: view.leader.clone(),
            types_known: view.types.is_some(),
            store_ok: view.store_ok,
        },
    }
}

/// A command as it is kept in a script.
pub fn record_command(command: &Command) -> script::Command {
    match command {
        Command::Report { report, reply } => script::Command::Heartbeat {
            body: body(report),
            reply: *reply,
        },
        Command::Count { job, reply } => script::Command::TaskCounts {
            job: job.to_string(),
            reply: *reply,
        },
        Command::StoreDone { op, result } => script::Command::StoreAnswer {
            call: *op,
            answer: record_store_answer(result),
        },
        Command::CloudDone { op, result } => script::Command::CloudAnswer {
            call: *op,
            answer: record_cloud_answer(result),
        },
        Command::Announced(said) => script::Command::Announcement(script::Announcement {
            node: said.node.clone(),
            term: said.term,
            store_ok: said.store_ok,
        }),
        Command::Cancelled(job) => script::Command::JobCancelled(job.to_string()),
        Command::Step { job, reply } => script::Command::BlockedJobState {
            job: job.to_string(),
            reply: *reply,
        },
        Command::Named { jobs, reply } => script::Command::UnknownJobs {
            jobs: texts(jobs),
            reply: *reply,
        },
    }
}

fn command_of(command: &script::Command) -> Command {
    match command {
        script::Command::Heartbeat { body, reply } => Command::Report {
            report: message(body),
            reply: *reply,
        },
        script::Command::TaskCounts { job, reply } => Command::Count {
            job: job.as_str().into(),
            reply: *reply,
        },
        script::Command::StoreAnswer { call, answer } => Command::StoreDone {
            op: *call,
            result: store_result(answer),
        },
        script::Command::CloudAnswer { call, answer } => Command::CloudDone {
            op: *call,
            result: cloud_result(answer),
        },
        script::Command::Announcement(said) => Command::Announced(Announcement {
            node: said.node.clone(),
            term: said.term,
            store_ok: said.store_ok,
        }),
        script::Command::JobCancelled(job) => Command::Cancelled(job.as_str().into()),
        script::Command::BlockedJobState { job, reply } => Command::Step {
            job: job.as_str().into(),
            reply: *reply,
        },
        script::Command::UnknownJobs { jobs, reply } => Command::Named {
            jobs: jobs.iter().map(|job| job.as_str().into()).collect(),
            reply: *reply,
        },
    }
}

fn record_store_answer(result: &Result<StoreReply, StoreError>) -> script::StoreAnswer {
    use script::StoreAnswer as Answer;
    match result {
        Ok(StoreReply::Got(item)) => Answer::Item(item.as_ref().map(body)),
        Ok(StoreReply::Listed(listing)) => Answer::Listing(body(listing)),
        Ok(StoreReply::Committed { revision }) => Answer::Committed {
            revision: *revision,
        },
        Ok(StoreReply::Held { lease }) => Answer::LeaseGranted { lease: *lease },
        Ok(StoreReply::Ok) => Answer::Done,
        Ok(StoreReply::Changed(changes)) => Answer::Changes(body(changes)),
        Err(StoreError::Conflict(keys)) => Answer::Conflict(keys.clone()),
        Err(StoreError::NoLease) => Answer::NoLease,
        Err(StoreError::TooOld) => Answer::TooOld,
        Err(StoreError::Refused(reason)) => Answer::Refused(reason.clone()),
        Err(StoreError::Unknown(reason)) => Answer::Unknown(reason.clone()),
        Err(StoreError::Bad(reason)) => Answer::Bad(reason.clone()),
    }
}

fn store_result(answer: &script::StoreAnswer) -> Result<StoreReply, StoreError> {
    use script::StoreAnswer as Answer;
    match answer {
        Answer::Item(item) => Ok(StoreReply::Got(item.as_ref().map(message))),
        Answer::Listing(listing) => Ok(StoreReply::Listed(message(listing))),
        Answer::Committed { revision } => Ok(StoreReply::Committed {
            revision: *revision,
        }),
        Answer::LeaseGranted { lease } => Ok(StoreReply::Held { lease: *lease }),
        Answer::Done => Ok(StoreReply::Ok),
        Answer::Changes(changes) => Ok(StoreReply::Changed(message(changes))),
        Answer::Conflict(keys) => Err(StoreError::Conflict(keys.clone())),
        Answer::NoLease => Err(StoreError::NoLease),
        Answer::TooOld => Err(StoreError::TooOld),
        Answer::Refused(reason) => Err(StoreError::Refused(reason.clone())),
        Answer::Unknown(reason) => Err(StoreError::Unknown(reason.clone())),
        Answer::Bad(reason) => Err(StoreError::Bad(reason.clone())),
    }
}

fn record_cloud_answer(result: &Result<CloudReply, CloudError>) -> script::CloudAnswer {
    use script::CloudAnswer as Answer;
    match result {
        Ok(CloudReply::Types(types)) => Answer::Types(body(types)),
        Ok(CloudReply::Rented(machines)) => Answer::Rented(machines.clone()),
        Ok(CloudReply::Returned) => Answer::Returned,
        Ok(CloudReply::Listed(list)) => Answer::Listed(body(list)),
        Err(CloudError::NoCapacity) => Answer::NoCapacity,
        Err(CloudError::Failed(reason)) => Answer::Failed(reason.clone()),
    }
}

fn cloud_result(answer: &script::CloudAnswer) -> Result<CloudReply, CloudError> {
    use script::CloudAnswer as Answer;
    match answer {
        Answer::Types(types) => Ok(CloudReply::Types(message(types))),
        Answer::Rented(machines) => Ok(CloudReply::Rented(machines.clone())),
        Answer::Returned => Ok(CloudReply::Returned),
        Answer::Listed(list) => Ok(CloudReply::Listed(message(list))),
        Answer::NoCapacity => Err(CloudError::NoCapacity),
        Answer::Failed(reason) => Err(CloudError::Failed(reason.clone())),
    }
}

fn record_effect(effect: &Effect) -> script::Effect {
    match effect {
        Effect::Reply { to, reply } => script::Effect::Reply {
            to: *to,
            reply: record_reply(reply),
        },
        Effect::Store { op, call, urgent } => script::Effect::Store {
            call: *op,
            urgent: *urgent,
            request: record_store_request(call),
        },
        Effect::Cloud { op, call } => script::Effect::Cloud {
            call: *op,
            request: record_cloud_request(call),
        },
        Effect::Orders { addr, orders } => script::Effect::WorkerCommands {
            address: addr.to_string(),
            body: body(orders),
        },
    }
}

fn record_reply(reply: &Reply) -> script::Reply {
    match reply {
        Reply::Orders(orders) => script::Reply::HeartbeatAnswer(body(orders)),
        Reply::Elsewhere(node) => script::Reply::Redirect(node.clone()),
        Reply::Unavailable => script::Reply::Unavailable,
        Reply::Counts { done, running } => script::Reply::TaskCounts {
            done: *done,
            running: *running,
        },
        Reply::Step(state) => script::Reply::BlockedJobState(state.as_ref().map(body)),
        Reply::NotKnown(jobs) => script::Reply::UnknownJobs(texts(jobs)),
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
        StoreCall::Hold { ttl_ms } => Request::GrantLease { ttl_ms: *ttl_ms },
        StoreCall::Touch { lease } => Request::RenewLease { lease: *lease },
        StoreCall::Drop { lease } => Request::EndLease { lease: *lease },
        StoreCall::Watch {
            prefix,
            after,
            wait_ms,
        } => Request::Watch {
            prefix: prefix.clone(),
            after: *after,
            wait_ms: *wait_ms,
        },
    }
}

fn record_cloud_request(call: &CloudCall) -> script::CloudRequest {
    use script::CloudRequest as Request;
    match call {
        CloudCall::Types => Request::Types,
        CloudCall::Rent(rent) => Request::Rent(body(rent)),
        CloudCall::Return(machines) => Request::Return(machines.clone()),
        CloudCall::List { after } => Request::List {
            after: after.clone(),
        },
    }
}
