//! Size of a value as JSON, the form in which the state service measures the size of values.

use rmpv::Value;

/// Returns an upper bound of a value's size as JSON, in bytes.
pub fn json_size(value: &Value) -> usize {
    match value {
        Value::Nil | Value::Boolean(_) => 5,
        Value::Integer(number) => number.to_string().len(),
        // A decimal number has at most 17 digits, a sign, a decimal point and an exponent.
        Value::F32(_) | Value::F64(_) => 24,
        Value::String(text) => {
            let bytes = text.as_bytes().iter();
            2 + bytes.map(|byte| escaped_size(*byte)).sum::<usize>()
        }
        Value::Array(items) => 2 + items.iter().map(|item| json_size(item) + 1).sum::<usize>(),
        Value::Map(fields) => {
            let field = |(key, value): &(Value, Value)| json_size(key) + json_size(value) + 2;
            2 + fields.iter().map(field).sum::<usize>()
        }
        Value::Binary(bytes) | Value::Ext(_, bytes) => 2 * bytes.len(),
    }
}

/// Returns the size in bytes of one byte of a string as JSON. A byte that some JSON encoders escape
/// is counted as escaped.
fn escaped_size(byte: u8) -> usize {
    match byte {
        b'"' | b'\\' => 2,
        0..0x20 | 0x7f.. => 6,
        _ => 1,
    }
}
