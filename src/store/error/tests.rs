use super::*;
use crate::http::ResponseError;

/// The error texts appear in log lines, which operators search.
#[test]
fn error_texts_include_the_outcome_and_the_cause() {
    let timeout = HttpError::NoResponse(ResponseError::Timeout);
    let undecodable = UnknownOutcomeCause::Undecodable(DecodeError::NotAMap);
    let cases: [(StoreError, &str); 7] = [
        (
            StoreError::Conflict(vec!["live/lead".into()]),
            "conflict on [\"live/lead\"]",
        ),
        (
            NotExecutedCause::NoTokens.into(),
            "not executed: no rate-limit token left for a user's call",
        ),
        (
            NotExecutedCause::Status(503).into(),
            "not executed: status 503",
        ),
        (
            NotExecutedCause::from("changing").into(),
            "not executed: changing",
        ),
        (
            UnknownOutcomeCause::from(timeout).into(),
            "outcome unknown: no complete response: timed out",
        ),
        (
            undecodable.into(),
            "outcome unknown: unreadable response: body is not a MessagePack map",
        ),
        (
            StoreError::Malformed("status 400: no".into()),
            "malformed request or unexpected response: status 400: no",
        ),
    ];
    for (error, text) in cases {
        assert_eq!(error.to_string(), text);
    }
}

#[test]
fn source_of_a_store_error_is_its_cause() {
    let error = StoreError::from(NotExecutedCause::Status(429));
    let cause = std::error::Error::source(&error).unwrap();
    assert_eq!(cause.to_string(), "status 429");
}
