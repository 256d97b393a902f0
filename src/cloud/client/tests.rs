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

fn error_for(status: u16, error: &str) -> CloudError {
    error_from_response(&response(status, encode(&Refusal { error })))
}

#[test]
fn status_503_with_the_protocol_text_means_no_capacity_and_other_errors_mean_failure() {
    assert!(matches!(
        error_for(503, "no capacity"),
        CloudError::NoCapacity
    ));
    for (error, text) in [
        (error_for(503, "trouble"), "status 503 trouble"),
        (error_for(429, "no capacity"), "status 429 no capacity"),
        (
            error_from_response(&response(500, Vec::new())),
            "status 500 ",
        ),
    ] {
        assert!(matches!(error, CloudError::Failed(_)));
        assert_eq!(error.to_string(), text);
    }
}

#[test]
fn undecodable_response_is_a_failure() {
    let error = decode_response(&CloudCall::ListMachineTypes, &response(200, vec![0])).unwrap_err();
    assert_eq!(
        error.to_string(),
        "unreadable response: body is not a MessagePack map"
    );
}

#[test]
fn calls_have_the_methods_and_paths_of_the_protocol() {
    let list_machines = |after: Option<&str>| CloudCall::ListMachines {
        after: after.map(Into::into),
    };
    let names = vec!["host-1".to_owned()];
    for (call, method, path) in [
        (CloudCall::ListMachineTypes, Method::GET, "/flavors"),
        (CloudCall::Return(names), Method::POST, "/machines/return"),
        (list_machines(None), Method::GET, "/machines?page=500"),
        (
            list_machines(Some("host-1")),
            Method::GET,
            "/machines?after=host-1&page=500",
        ),
    ] {
        let request = request(&call);
        assert_eq!((request.method, &*request.path), (method, path));
    }
}

#[test]
fn only_returns_may_use_the_rate_reserve() {
    assert_eq!(rate_reserve(&CloudCall::Return(Vec::new())), 0.0);
    assert_eq!(
        rate_reserve(&CloudCall::ListMachineTypes),
        constants::RESERVED_RATE_SHARE
    );
}
