use super::*;
use crate::wire::encode;
use std::time::Duration;

fn response(status: u16, body: Vec<u8>) -> HttpResponse {
    HttpResponse {
        status,
        body: body.into(),
    }
}

fn get() -> StoreCall {
    StoreCall::Get {
        key: "live/job/run-1".into(),
    }
}

#[test]
fn missing_key_is_read_as_none() {
    let reply = decode_response(&get(), &response(404, Vec::new())).unwrap();
    assert_eq!(reply, StoreReply::Item(None));
}

#[test]
fn conflict_contains_the_failed_keys() {
    let conflict = Conflict {
        failed_keys: vec!["live/lead".into()],
    };
    let commit = StoreCall::Commit(Default::default());
    let error = decode_response(&commit, &response(409, encode(&conflict))).unwrap_err();
    assert!(matches!(error, StoreError::Conflict(keys) if keys == ["live/lead"]));
}

#[test]
fn missing_lease_and_compacted_watch_have_distinct_errors() {
    let keep_alive = StoreCall::KeepAlive { lease: 7 };
    let watch = StoreCall::Watch {
        prefix: "live/".into(),
        after: 1,
        wait: Duration::from_secs(1),
    };
    assert!(matches!(
        decode_response(&keep_alive, &response(404, Vec::new())),
        Err(StoreError::LeaseNotFound)
    ));
    assert!(matches!(
        decode_response(&watch, &response(410, Vec::new())),
        Err(StoreError::Compacted)
    ));
}

#[test]
fn errors_distinguish_refused_calls_from_unknown_outcomes() {
    let refused = decode_response(&get(), &response(503, Vec::new())).unwrap_err();
    assert_eq!(refused.to_string(), "not executed: status 503");
    let unreadable = decode_response(&get(), &response(200, vec![0])).unwrap_err();
    assert!(matches!(unreadable, StoreError::UnknownOutcome(_)));
    let malformed = decode_response(&get(), &response(400, vec![b'x'; 200])).unwrap_err();
    let shown = "x".repeat(constants::MAX_ERROR_BODY_CHARS);
    assert_eq!(
        malformed.to_string(),
        format!("malformed request or unexpected response: status 400: {shown}")
    );
}

#[test]
fn unreadable_record_keeps_its_version() {
    let item = Item {
        key: "live/job/run-1".into(),
        value: rmpv::Value::from("text"),
        version: 9,
    };
    let response = response(200, encode(&item));
    assert_eq!(
        decode_record::<String>(&get(), &response).unwrap(),
        Some(Record::Read {
            record: "text".into(),
            version: 9
        })
    );
    assert_eq!(
        decode_record::<u64>(&get(), &response).unwrap(),
        Some(Record::Unreadable { version: 9 })
    );
}
