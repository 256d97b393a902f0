use super::*;
use hyper::Method;

#[test]
fn each_call_has_the_path_of_the_protocol() {
    let list = |after: Option<&str>| StoreCall::List {
        prefix: "live/".into(),
        after: after.map(Into::into),
    };
    let get = StoreCall::Get {
        key: "live/lead".into(),
    };
    let watch = StoreCall::Watch {
        prefix: "live/".into(),
        after: 7,
        wait_ms: 1000,
    };
    for (call, method, path) in [
        (get, Method::GET, "/store/live/lead"),
        (list(None), Method::GET, "/store?under=live/&page=200"),
        (
            list(Some("live/x")),
            Method::GET,
            "/store?under=live/&after=live/x&page=200",
        ),
        (
            StoreCall::Commit(Default::default()),
            Method::POST,
            "/commit",
        ),
        (
            StoreCall::GrantLease { ttl_ms: 4000 },
            Method::POST,
            "/holds",
        ),
        (
            StoreCall::KeepAlive { lease: 3 },
            Method::POST,
            "/holds/3/touch",
        ),
        (
            StoreCall::RevokeLease { lease: 3 },
            Method::DELETE,
            "/holds/3",
        ),
        (
            watch,
            Method::GET,
            "/changes?under=live/&after=7&block_ms=1000",
        ),
    ] {
        let request = request(&call);
        assert_eq!((request.method, &*request.path), (method, path));
    }
}

#[test]
fn a_watch_may_take_longer_than_other_calls() {
    let watch = StoreCall::Watch {
        prefix: "live/".into(),
        after: 7,
        wait_ms: 1000,
    };
    let lease = StoreCall::KeepAlive { lease: 3 };
    assert_eq!(
        timeout(&watch),
        Duration::from_secs(1) + constants::WATCH_SLACK
    );
    assert_eq!(timeout(&lease), constants::STORE_TIMEOUT);
}
