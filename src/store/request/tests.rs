use super::*;
use hyper::Method;
use std::time::Duration;

fn get() -> StoreCall {
    StoreCall::Get {
        key: "live/lead".into(),
    }
}

fn list(after: Option<&str>) -> StoreCall {
    StoreCall::List {
        prefix: "live/".into(),
        after: after.map(Into::into),
    }
}

fn watch() -> StoreCall {
    StoreCall::Watch {
        prefix: "live/".into(),
        after: 7,
        wait: Duration::from_secs(1),
    }
}

#[test]
fn calls_map_to_the_methods_and_paths_of_the_protocol() {
    let commit = StoreCall::Commit(Default::default());
    let grant_lease = StoreCall::GrantLease {
        ttl: Duration::from_secs(4),
    };
    let keep_alive = StoreCall::KeepAlive { lease: 3 };
    let revoke_lease = StoreCall::RevokeLease { lease: 3 };
    let next_page = "/store?under=live/&after=live/x&page=200";
    let changes = "/changes?under=live/&after=7&block_ms=1000";
    for (call, method, path) in [
        (get(), Method::GET, "/store/live/lead"),
        (list(None), Method::GET, "/store?under=live/&page=200"),
        (list(Some("live/x")), Method::GET, next_page),
        (commit, Method::POST, "/commit"),
        (grant_lease, Method::POST, "/holds"),
        (keep_alive, Method::POST, "/holds/3/touch"),
        (revoke_lease, Method::DELETE, "/holds/3"),
        (watch(), Method::GET, changes),
    ] {
        let request = http_request(&call);
        assert_eq!((request.method, &*request.path), (method, path));
    }
}

#[test]
fn watch_timeout_includes_the_wait_time() {
    let keep_alive = StoreCall::KeepAlive { lease: 3 };
    assert_eq!(
        response_timeout(&watch()),
        Duration::from_secs(1) + constants::WATCH_SLACK
    );
    assert_eq!(response_timeout(&keep_alive), constants::STORE_TIMEOUT);
}
