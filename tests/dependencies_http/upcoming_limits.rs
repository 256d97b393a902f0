//! Tests of the upcoming limits of the state service in the settings file.

use crate::support::settings;
use std::net::SocketAddr;
use std::process::Command;

/// Malformed limits. Each entry has the lines of the settings, the field that the error names, and the
/// allowed value in the error's text.
const MALFORMED_LIMITS: [(&str, &str, &str); 8] = [
    (
        "[cluster.state.next]\nrps = 0.0",
        "state.next.rps",
        "above 0",
    ),
    (
        "[cluster.state.next]\nrps = nan",
        "state.next.rps",
        "above 0",
    ),
    (
        "[cluster.state.next]\nwrite_rps = -1",
        "state.next.write_rps",
        "above 0",
    ),
    (
        "[cluster.state.next]\nvalue_kb = 1.0",
        "state.next.value_kb",
        "at least 2",
    ),
    (
        "[cluster.state.next]\ntxn_ops = 3",
        "state.next.txn_ops",
        "at least 4",
    ),
    (
        "[cluster.state.next]\ntxn_ops = 4.5",
        "txn_ops",
        "expected usize",
    ),
    ("[cluster.state.next]\nrps = \"few\"", "rps", "expected f64"),
    ("next = 5", "next", "expected struct"),
];

/// Guards against a process that starts with limits that can't be kept. The process exits at once with
/// status 2 and an error that names the field and the allowed value.
#[test]
fn node_with_malformed_upcoming_limits_does_not_start() {
    let unused_address: SocketAddr = "127.0.0.1:9".parse().unwrap();
    let directory = std::path::Path::new(env!("CARGO_TARGET_TMPDIR"));
    for (number, (upcoming_limits, field, allowed)) in MALFORMED_LIMITS.into_iter().enumerate() {
        let file = directory.join(format!("limits-to-come-{number}.toml"));
        std::fs::write(
            &file,
            settings(unused_address, unused_address, upcoming_limits),
        )
        .unwrap();
        for verb in ["check", "serve"] {
            let mut command = Command::new(env!("CARGO_BIN_EXE_umbervale"));
            let output = command.arg(verb).arg("--config").arg(&file).output();
            let output = output.unwrap();
            let error = String::from_utf8_lossy(&output.stderr);
            assert_eq!(
                output.status.code(),
                Some(2),
                "{verb} {upcoming_limits}: {error}"
            );
            assert!(error.contains(field) && error.contains(allowed), "{error}");
        }
    }
}
