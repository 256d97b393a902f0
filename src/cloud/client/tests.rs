use super::*;
use crate::wire::encode;
use crate::wire::user::Refusal;
use hyper::Method;

fn response(status: u16, body: Vec<u8>) -> HttpResponse {
    HttpResponse {
        status,
        body: body.into(),
    }
}

fn refused(status: u16, error: &str) -> CloudError {
    refusal(&response(status, encode(&Refusal { error })))
}

#[test]
fn only_the_protocols_text_tells_that_there_is_no_capacity() {
    assert!(matches!(
        refused(503, "no capacity"),
        CloudError::NoCapacity
    ));
    for (error, text) in [
        (refused(503, "trouble"), "status 503 trouble"),
        (refused(429, "no capacity"), "status 429 no capacity"),
        (refusal(&response(500, Vec::new())), "status 500 "),
    ] {
        assert!(matches!(error, CloudError::Failed(_)));
        assert_eq!(error.to_string(), text);
    }
}

#[test]
fn an_unreadable_response_is_a_failure() {
    let error = read(&CloudCall::ListMachineTypes, &response(200, vec![0])).unwrap_err();
    assert_eq!(
        error.to_string(),
        "unreadable answer: body is not a MessagePack map"
    );
}

#[test]
fn each_call_has_the_path_of_the_protocol() {
    let list = |after: Option<&str>| CloudCall::ListMachines {
        after: after.map(Into::into),
    };
    let names = vec!["host-1".to_owned()];
    for (call, method, path) in [
        (CloudCall::ListMachineTypes, Method::GET, "/flavors"),
        (CloudCall::Return(names), Method::POST, "/machines/return"),
        (list(None), Method::GET, "/machines?page=500"),
        (
            list(Some("host-1")),
            Method::GET,
            "/machines?after=host-1&page=500",
        ),
    ] {
        let request = request(&call);
        assert_eq!((request.method, &*request.path), (method, path));
    }
}

#[test]
fn the_reserve_is_for_returns() {
    assert_eq!(rate_reserve(&CloudCall::Return(Vec::new())), 0.0);
    assert_eq!(
        rate_reserve(&CloudCall::ListMachineTypes),
        constants::RESERVED_RATE_SHARE
    );
}
