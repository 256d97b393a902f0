//! Upcoming limits in the settings file.

use crate::support::settings;
use std::net::SocketAddr;
use std::process::Command;

/// Malformed limits: the lines of the settings, the field that the error names, and what is allowed.
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

/// Guards against a process that starts with limits that it can't keep: it exits at once with
/// status 2, and names the field and what is allowed.
#[test]
fn node_with_malformed_upcoming_limits_does_not_start() {
    let nobody: SocketAddr = "127.0.0.1:9".parse().unwrap();
    let directory = std::path::Path::new(env!("CARGO_TARGET_TMPDIR"));
    for (number, (next, field, allowed)) in MALFORMED_LIMITS.into_iter().enumerate() {
        let file = directory.join(format!("limits-to-come-{number}.toml"));
        std::fs::write(&file, settings(nobody, nobody, next)).unwrap();
        for verb in ["check", "serve"] {
            let mut command = Command::new(env!("CARGO_BIN_EXE_umbervale"));
            let output = command.arg(verb).arg("--config").arg(&file).output();
            let output = output.unwrap();
            let error = String::from_utf8_lossy(&output.stderr);
            assert_eq!(output.status.code(), Some(2), "{verb} {next}: {error}");
            assert!(error.contains(field) && error.contains(allowed), "{error}");
        }
    }
}
