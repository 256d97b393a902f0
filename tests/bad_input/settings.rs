//! Tests of settings files with removed, repeated and malformed lines and with other values.

use super::{Case, assert_fixture};
use umbervale::settings::{Operator, Settings};

/// Valid settings with all tables and fields. In each table, the required fields come first.
const SAMPLE: &str = r#"node_name = "n0"
site = "east"
front = "127.0.0.1:0"
back = "127.0.0.1:0"
[[peers]]
node_name = "n1"
site = "west"
addr = "127.0.0.1:9"
[services]
cloud = "127.0.0.1:1"
state = "127.0.0.1:2"
[cluster]
zones = ["east", "west"]
[[cluster.teams]]
name = "vision"
cpus = 16.0
cpus_max = 32.0
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
[cluster.state.next]
rps = 100.0
write_rps = 25.0
value_kb = 4.0
txn_ops = 12
[cluster.cloud]
rps = 2.0
list_lag_s = 10.0
[cluster.machine_limits]
max_connections = 1817
mem_mb = 98.0
cpu_share = 0.12
"#;

/// The values that replace the value of each field in turn.
const VALUES: [&str; 30] = [
    "",
    "unquoted",
    "\"open",
    "\"\"",
    "\"text\"",
    "\"two words\"",
    "\"127.0.0.1\"",
    "\"127.0.0.1:99999\"",
    "true",
    "-1",
    "0",
    "5",
    "-0.5",
    "0.0",
    "0.5",
    "1.9",
    "2.0",
    "nan",
    "inf",
    "1e6",
    "1000000.5",
    "1e9",
    "1000000000.5",
    "9223372036854775808",
    "2026-01-02",
    "[]",
    "[5]",
    "[\"text\", 5]",
    "{}",
    "{ x = 5 }",
];

/// Parses a text as settings of the platform and returns the case with the outcome.
fn parse_case(name: impl Into<String>, text: &str) -> Case {
    Case::new(name, Settings::parse(text, "settings.toml"))
}

/// Returns the sample with the line at `index` replaced by other lines, or removed.
fn with_line(index: usize, replacement: &[&str]) -> String {
    let mut lines: Vec<&str> = SAMPLE.lines().collect();
    lines.splice(index..=index, replacement.iter().copied());
    lines.join("\n") + "\n"
}

/// Returns the sample without a table and its subtables, and with a line at the end of the table
/// `parent`. If `parent` is empty, the line follows the fields before the first table.
fn with_table_replaced(table: &str, parent: &str, line: &str) -> String {
    let mut text = String::new();
    let mut current = "";
    let add_line = |text: &mut String, current: &str| {
        if current == parent {
            text.push_str(line);
            text.push('\n');
        }
    };
    for sample_line in SAMPLE.lines() {
        if sample_line.starts_with('[') {
            add_line(&mut text, current);
            current = sample_line.trim_matches(['[', ']']);
        }
        let path_in_table = current.strip_prefix(table);
        if !path_in_table.is_some_and(|rest| rest.is_empty() || rest.starts_with('.')) {
            text.push_str(sample_line);
            text.push('\n');
        }
    }
    add_line(&mut text, current);
    text
}

/// Adds the cases in which the line of a field is changed.
fn add_field_cases(index: usize, table: &str, line: &str, cases: &mut Vec<Case>) {
    let (field, value) = line
        .split_once(" = ")
        .expect("the line should have a field and a value");
    let path = match table {
        "" => field.to_owned(),
        table => format!("{table}.{field}"),
    };
    cases.push(parse_case(
        format!("{path} missing"),
        &with_line(index, &[]),
    ));
    let twice = with_line(index, &[line, line]);
    cases.push(parse_case(format!("{path} twice"), &twice));
    let without_equals_sign = with_line(index, &[&format!("{field} {value}")]);
    cases.push(parse_case(
        format!("{path} without a sign"),
        &without_equals_sign,
    ));
    for value in VALUES {
        let text = with_line(index, &[&format!("{field} = {value}")]);
        cases.push(parse_case(format!("{path} = {value}"), &text));
    }
}

/// Adds the cases in which the header of a table or the whole table is changed.
fn add_table_cases(index: usize, line: &str, cases: &mut Vec<Case>) {
    let name = line.trim_matches(['[', ']']);
    for (form, lines) in [
        ("line missing", vec![]),
        ("line twice", vec![line.to_owned(), line.to_owned()]),
        ("line open", vec![format!("[{name}")]),
        ("as a table", vec![format!("[{name}]")]),
        ("as a list of tables", vec![format!("[[{name}]]")]),
        ("under another name", vec![format!("[{name}_not_known]")]),
    ] {
        let lines: Vec<&str> = lines.iter().map(String::as_str).collect();
        let text = with_line(index, &lines);
        cases.push(parse_case(format!("[{name}]: {form}"), &text));
    }
    let (parent, key) = name.rsplit_once('.').unwrap_or(("", name));
    let missing = with_table_replaced(name, "none", "");
    cases.push(parse_case(format!("[{name}]: missing"), &missing));
    for value in ["5", "\"text\"", "true", "[]", "[5]", "[{}]", "{}", "[[]]"] {
        let text = with_table_replaced(name, parent, &format!("{key} = {value}"));
        cases.push(parse_case(format!("[{name}]: {key} = {value}"), &text));
    }
}

#[test]
fn errors_for_damaged_platform_settings_match_the_fixture() {
    let mut cases = vec![parse_case("undamaged", SAMPLE)];
    let mut table = "";
    for (index, line) in SAMPLE.lines().enumerate() {
        if line.starts_with('[') {
            table = line.trim_matches(['[', ']']);
            add_table_cases(index, line, &mut cases);
        } else {
            add_field_cases(index, table, line, &mut cases);
        }
    }
    assert_fixture("settings.txt", &cases);
}

#[test]
fn errors_for_platform_settings_at_their_bounds_match_the_fixture() {
    let name = |length| format!("node_name = \"{}\"", "n".repeat(length));
    let replacements = [
        ("node_name = \"n0\"", name(100)),
        ("node_name = \"n0\"", name(101)),
        ("value_kb = 8.0", "value_kb = 1.999".into()),
        ("value_kb = 4.0", "value_kb = 1.999".into()),
        ("txn_ops = 24", "txn_ops = 3".into()),
        ("txn_ops = 24", "txn_ops = 4".into()),
        ("txn_ops = 12", "txn_ops = 3".into()),
        ("txn_ops = 12", "txn_ops = 4".into()),
        ("cancel_s = 42.0", "cancel_s = 18.9".into()),
        ("cancel_s = 42.0", "cancel_s = 19.0".into()),
        ("cancel_s = 42.0", "cancel_s = 19.9".into()),
        ("cancel_s = 42.0", "cancel_s = 20.0".into()),
        ("max_connections = 1817", "max_connections = 63".into()),
        ("max_connections = 1817", "max_connections = 64".into()),
        ("mem_mb = 98.0", "mem_mb = 15.9".into()),
        ("mem_mb = 98.0", "mem_mb = 16.0".into()),
    ];
    let mut cases: Vec<Case> = replacements
        .iter()
        .map(|(line, replacement)| {
            assert!(SAMPLE.contains(line), "{line}");
            let text = SAMPLE.replacen(line, replacement, 1);
            parse_case(format!("{replacement} for {line}"), &text)
        })
        .collect();
    cases.push(parse_case("empty", ""));
    cases.push(parse_case("not TOML", "((idle_s . 30.0))"));
    cases.push(parse_case("control character", "\u{0}"));
    assert_fixture("settings_bounds.txt", &cases);
}

/// Operator settings that are tested in addition to the fields with other values.
const OPERATOR_TEXTS: [&str; 22] = [
    "",
    "()",
    "(())",
    "5",
    "#t",
    "\"text\"",
    "idle_s",
    "(idle_s)",
    "((idle_s))",
    "((idle_s 30.0))",
    "((idle_s . ))",
    "((idle_s . 30.0)",
    "((idle_s . 30.0)))",
    "((idle_s . 30.0) (idle_s . 30.0))",
    "((idel_s . 30.0))",
    "((\"idle_s\" . 30.0))",
    "((5 . 30.0))",
    "(idle_s . 30.0)",
    "((idle_s . 86400.0))",
    "((idle_s . 86400.5))",
    "#(30.0 0 #t)",
    "(30.0 0 #t)",
];

#[test]
fn errors_for_operator_settings_match_the_fixture() {
    let mut texts: Vec<String> = OPERATOR_TEXTS.map(str::to_owned).to_vec();
    for field in ["idle_s", "most_machines", "spot"] {
        for value in [
            "-1",
            "0",
            "30",
            "-0.5",
            "30.5",
            "1e6",
            "#t",
            "#f",
            "#nil",
            "()",
            "\"text\"",
            "symbol",
            "(5)",
            "#(5)",
            "((x . 5))",
            "+nan.0",
            "'5",
            "\"open",
        ] {
            texts.push(format!("(({field} . {value}))"));
        }
    }
    let cases: Vec<Case> = texts
        .into_iter()
        .map(|text| {
            let result = Operator::parse(&text, "operator.sexp");
            Case::new(text, result)
        })
        .collect();
    assert_fixture("operator.txt", &cases);
}
