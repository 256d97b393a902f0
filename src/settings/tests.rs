use super::capacity::MemoryRequirement;
use super::*;
use std::error::Error;
use std::time::Duration;

/// The platform's settings of a node, with an unknown field.
pub(crate) const SAMPLE: &str = r#"
node_name = "n0"
site = "east"
front = "127.0.0.1:0"
back = "127.0.0.1:0"
not_known = 3
[[peers]]
node_name = "n1"
site = "west"
addr = "127.0.0.1:9"
[services]
cloud = "127.0.0.1:1"
state = "127.0.0.1:2"
[cluster]
nodes = 2
zones = ["east", "west"]
[[cluster.teams]]
name = "vision"
gpus = 4.0
gpus_max = 8.0
[[cluster.objectives]]
kind = "wait"
class = "train"
within_s = 40.0
[cluster.workers]
report_s = 3.0
lease_s = 17.0
gang_wait_s = 30.0
gang_peer_s = 6.0
cancel_s = 42.0
[cluster.state]
rps = 200.0
write_rps = 50.0
value_kb = 8.0
txn_ops = 24
[cluster.cloud]
rps = 2.0
list_lag_s = 10.0
[cluster.machine_limits]
cpu_share = 0.12
mem_mb = 98.0
max_connections = 1817
"#;

#[test]
fn errors_name_the_file_the_field_and_the_rule() {
    assert!(Settings::parse(SAMPLE, "s.toml").is_ok());
    let invalid = SAMPLE.replace("lease_s = 17.0", "lease_s = -1.0");
    let text = Settings::parse(&invalid, "s.toml").unwrap_err().to_string();
    assert!(
        text.contains("s.toml") && text.contains("workers.lease_s"),
        "{text}"
    );
    assert!(text.contains("above 0"), "{text}");
    let invalid = SAMPLE.replace("cancel_s = 42.0", "cancel_s = 19.0");
    assert!(
        Settings::parse(&invalid, "s.toml")
            .unwrap_err()
            .to_string()
            .contains("cancel_s")
    );
    let invalid = SAMPLE.replace("front = ", "fromt = ");
    assert!(
        Settings::parse(&invalid, "s.toml")
            .unwrap_err()
            .to_string()
            .contains("front")
    );
}

/// The cause of an error is its source, so that callers need not parse the error's text.
#[test]
fn errors_return_their_cause_as_source() {
    let cause_of = |text: &str| {
        let error = Settings::parse(text, "s.toml").unwrap_err();
        error.source().map(ToString::to_string)
    };
    let not_toml = cause_of("((idle_s . 30.0))").unwrap();
    assert!(!not_toml.contains("s.toml"), "{not_toml}");
    let no_zones = SAMPLE.replace(r#"zones = ["east", "west"]"#, "zones = []");
    let cause = "cluster.zones: expected at least one zone";
    assert_eq!(cause_of(&no_zones).as_deref(), Some(cause));
}

#[test]
fn front_connections_are_derived_from_the_machine_limit() {
    let front = |text: &str| {
        Settings::parse(text, "s.toml")
            .unwrap()
            .max_front_connections()
    };
    assert_eq!(front(SAMPLE), 1817 - OWN_CONNECTIONS);
    let larger = SAMPLE.replace("= 1817", "= 12000");
    assert_eq!(front(&larger), 12_000 - OWN_CONNECTIONS);
    let (without_limits, _) = SAMPLE.split_once("[cluster.machine_limits]").unwrap();
    assert_eq!(
        front(without_limits),
        constants::DEFAULT_CONNECTIONS - OWN_CONNECTIONS
    );
    let smaller = SAMPLE.replace("= 1817", "= 200");
    assert_eq!(front(&smaller), 100);
    let invalid = SAMPLE.replace("= 1817", "= 10");
    let text = Settings::parse(&invalid, "s.toml").unwrap_err().to_string();
    assert!(text.contains("machine_limits.max_connections"), "{text}");
    assert!(text.contains("at least"), "{text}");
}

/// Guards against tasks that run longer than the time allowed for a cancellation: a leader that has
/// not received the cancellation stops renewing workers' leases at the end of its grace period, and
/// the last renewed lease must expire within that time.
#[test]
fn leader_grace_and_worker_lease_end_before_the_cancellation_deadline() {
    for (lease, cancel) in [(17.0, 42.0), (30.0, 55.0), (5.0, 12.0), (6.0, 9.0)] {
        let timing = Timing::new(&Workers {
            report_s: 3.0,
            lease_s: lease,
            gang_wait_s: 30.0,
            gang_peer_s: 6.0,
            cancel_s: cancel,
        });
        // Durations as measured by the slowest clock that the margins allow for.
        let slow = |duration: Duration| duration + duration / 2000;
        assert!(
            slow(timing.leader_grace) + slow(timing.worker_lease) + Duration::from_millis(500)
                < Duration::from_secs_f64(cancel)
        );
        // Without failures, renewals and watches succeed at least this often.
        assert!(
            timing.leader_grace
                > 2 * constants::LEASE_RENEWAL_INTERVAL.max(constants::WATCH_TIMEOUT)
        );
    }
}

#[test]
fn lower_future_limits_apply_from_the_start_and_invalid_ones_are_refused() {
    let parse_with = |next: &str| {
        let text = SAMPLE.replace("txn_ops = 24", &format!("txn_ops = 24\n{next}"));
        Settings::parse(&text, "s.toml")
    };
    let limits = |next: &str| parse_with(next).unwrap().cluster.state;
    assert_eq!(limits("").txn_ops, 24);
    let two_given = limits("[cluster.state.next]\nvalue_kb = 2.0\nwrite_rps = 80.0\nnew = 1");
    assert_eq!(
        (two_given.value_kb, two_given.write_rps, two_given.txn_ops),
        (2.0, 50.0, 24)
    );
    let all = "[cluster.state.next]\nvalue_kb = 16.0\nwrite_rps = 15\nrps = 100.0\ntxn_ops = 4";
    let all_given = limits(all);
    assert_eq!(
        (all_given.value_kb, all_given.write_rps, all_given.rps),
        (8.0, 15.0, 100.0)
    );
    assert_eq!(all_given.txn_ops, 4);
    for (next, field, allowed) in [
        ("value_kb = 1.0", "next.value_kb", "at least 2"),
        ("txn_ops = 3", "next.txn_ops", "at least 4"),
        ("rps = -1.0", "next.rps", "above 0"),
        ("write_rps = 0.0", "next.write_rps", "above 0"),
        ("txn_ops = \"many\"", "txn_ops", "expected"),
    ] {
        let error = parse_with(&format!("[cluster.state.next]\n{next}")).unwrap_err();
        let text = error.to_string();
        assert!(text.contains(field) && text.contains(allowed), "{text}");
    }
}

/// Guards the memory calculation in `docs/design.md`: regardless of what callers send, connections,
/// request bodies and caches leave enough of the smallest nodes' memory for the machines of a
/// cluster.
#[test]
fn memory_requirement_leaves_enough_memory_for_the_machines_of_a_cluster() {
    for (mem_mb, sockets, machines) in [(37.0, 1000, 692), (46.0, 1200, 470), (160.0, 4200, 4000)] {
        let text = SAMPLE.replace("mem_mb = 98.0", &format!("mem_mb = {mem_mb:?}"));
        let text = text.replace("= 1817", &format!("= {sockets}"));
        let settings = Settings::parse(&text, "s.toml").unwrap();
        let required = MemoryRequirement::new(&settings);
        let sum = required.process
            + required.connections
            + required.request_bodies
            + required.responses
            + required.caches;
        assert_eq!(required.total(), sum);
        assert!(required.request_bodies <= (mem_mb * 1e6) as usize / 5);
        let max_machines = settings.max_machines_in_memory();
        assert!(
            max_machines >= machines,
            "{mem_mb} MB: {max_machines} machines, {required:?}"
        );
        assert_eq!(settings.warnings(), [], "{mem_mb} MB");
    }
}

#[test]
fn invalid_machine_limits_are_refused_and_low_ones_give_a_warning() {
    let parse_with = |from: &str, to: &str| Settings::parse(&SAMPLE.replace(from, to), "s.toml");
    for (from, to) in [
        ("mem_mb = 98.0", "mem_mb = 0.0"),
        ("mem_mb = 98.0", "mem_mb = nan"),
        ("cpu_share = 0.12", "cpu_share = 0.0"),
        ("cpu_share = 0.12", "cpu_share = -1.0"),
    ] {
        let text = parse_with(from, to).unwrap_err().to_string();
        let field = from.split(' ').next().unwrap();
        let field = format!("cluster.machine_limits.{field}");
        assert!(text.contains(&field) && text.contains("expected"), "{text}");
    }
    let warnings = parse_with("mem_mb = 98.0", "mem_mb = 30.0")
        .unwrap()
        .warnings();
    assert!(
        warnings[0].to_string().contains("mem_mb: 30 given"),
        "{warnings:?}"
    );
    let warnings = parse_with("cpu_share = 0.12", "cpu_share = 0.01")
        .unwrap()
        .warnings();
    assert!(
        warnings[0].to_string().contains("cpu_share: 0.01 given"),
        "{warnings:?}"
    );
    let warnings = parse_with("gpus_max = 8.0", "gpus_max = 90000.0")
        .unwrap()
        .warnings();
    assert!(
        warnings[0].to_string().contains("allow 90000 GPUs"),
        "{warnings:?}"
    );
    // The default limits give no warning.
    let limits = SAMPLE.find("[cluster.machine_limits]").unwrap();
    let defaults = Settings::parse(&SAMPLE[..limits], "s.toml").unwrap();
    assert_eq!(
        defaults.cluster.machine_limits.mem_mb,
        constants::DEFAULT_MEMORY_MB
    );
    assert_eq!(defaults.warnings(), []);
}
