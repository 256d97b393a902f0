use super::*;

#[test]
fn example_file_contains_the_defaults() {
    let example = include_str!("../../../examples/operator.sexp");
    assert_eq!(
        Operator::parse(example, "example").unwrap(),
        Operator::default()
    );
}

#[test]
fn s_expressions_are_parsed_and_unknown_fields_and_invalid_values_are_refused() {
    let operator = Operator::parse("((idle_s . 30.5) (spot . #f))", "o.sexp").unwrap();
    assert_eq!(
        (operator.idle_s, operator.spot, operator.most_machines),
        (30.5, false, 0)
    );
    let text = Operator::parse("((idel_s . 30.0))", "o.sexp")
        .unwrap_err()
        .to_string();
    assert!(text.contains("o.sexp") && text.contains("idel_s"), "{text}");
    let text = Operator::parse("((idle_s . -1.0))", "o.sexp")
        .unwrap_err()
        .to_string();
    assert!(
        text.contains("idle_s") && text.contains("0 to 86400"),
        "{text}"
    );
}
