//! Generates damaged forms of a MessagePack message independently of the type that decodes the message.

use rmpv::Value;

/// A damaged body with a name that describes the damage.
pub(crate) struct DamagedMessage {
    pub(crate) name: String,
    pub(crate) body: Vec<u8>,
}

/// The location of a value in a message: for each level, the index of the list element or map entry.
type ValuePath = Vec<usize>;

/// Encodes a value as MessagePack.
pub(crate) fn encode(value: &Value) -> Vec<u8> {
    let mut body = Vec::new();
    rmpv::encode::write_value(&mut body, value).unwrap();
    body
}

/// Returns all damaged forms of a message.
pub(crate) fn damaged_forms(message: &Value) -> Vec<DamagedMessage> {
    let mut forms = Vec::new();
    let mut add = |name: String, value: Value| {
        let body = encode(&value);
        forms.push(DamagedMessage { name, body });
    };
    for path in paths_within(message) {
        let label = path_label(message, &path);
        let original = value_at(message, &path).clone();
        for (form, replacement) in replacements(&original) {
            add(
                format!("{label}: {form}"),
                with_value(message, &path, replacement),
            );
        }
        if let Value::Map(entries) = &original {
            for (form, changed) in entry_mutations(entries) {
                add(
                    format!("{label}: {form}"),
                    with_value(message, &path, Value::Map(changed)),
                );
            }
        }
    }
    forms.extend(damaged_bytes(&encode(message)));
    forms
}

/// Returns the paths of a value and of all values nested in it, each value before its children.
fn paths_within(value: &Value) -> Vec<ValuePath> {
    let mut paths = vec![ValuePath::new()];
    let children: Vec<&Value> = match value {
        Value::Array(elements) => elements.iter().collect(),
        Value::Map(entries) => entries.iter().map(|(_, value)| value).collect(),
        _ => Vec::new(),
    };
    for (index, child) in children.into_iter().enumerate() {
        for inner_path in paths_within(child) {
            paths.push([vec![index], inner_path].concat());
        }
    }
    paths
}

/// Returns the name of a path, such as `body.pieces[0].status`.
fn path_label(message: &Value, path: &[usize]) -> String {
    let mut label = String::from("body");
    let mut value = message;
    for index in path {
        match value {
            Value::Map(entries) => {
                label = format!("{label}.{}", entries[*index].0.as_str().unwrap());
                value = &entries[*index].1;
            }
            Value::Array(elements) => {
                label = format!("{label}[{index}]");
                value = &elements[*index];
            }
            _ => unreachable!("paths lead through maps and lists"),
        }
    }
    label
}

/// Returns the value at a path.
fn value_at<'a>(value: &'a Value, path: &[usize]) -> &'a Value {
    let Some((index, rest)) = path.split_first() else {
        return value;
    };
    match value {
        Value::Map(entries) => value_at(&entries[*index].1, rest),
        Value::Array(elements) => value_at(&elements[*index], rest),
        _ => unreachable!("paths lead through maps and lists"),
    }
}

/// Returns the message with the value at a path replaced.
fn with_value(message: &Value, path: &[usize], replacement: Value) -> Value {
    let Some((index, rest)) = path.split_first() else {
        return replacement;
    };
    let mut changed = message.clone();
    let child = match &mut changed {
        Value::Map(entries) => &mut entries[*index].1,
        Value::Array(elements) => &mut elements[*index],
        _ => unreachable!("paths lead through maps and lists"),
    };
    *child = with_value(child, rest, replacement);
    changed
}

/// Returns named values that replace the original one, most of them of other types.
fn replacements(original: &Value) -> Vec<(&'static str, Value)> {
    let integer = Value::from(7);
    let mut values = vec![
        ("nil", Value::Nil),
        ("boolean", true.into()),
        ("negative integer", (-1).into()),
        ("integer", integer.clone()),
        ("largest integer", u64::MAX.into()),
        ("fraction", 1.5.into()),
        ("text", "not known".into()),
        ("binary", Value::Binary(b"bytes".to_vec())),
        ("extension", Value::Ext(1, vec![0])),
        ("empty list", Value::Array(Vec::new())),
        ("list", Value::Array(vec![integer.clone()])),
        ("empty map", Value::Map(Vec::new())),
        ("map", Value::Map(vec![("x".into(), integer.clone())])),
    ];
    if let Value::String(_) = original {
        let as_key = |value| Value::Map(vec![(original.clone(), value)]);
        values.push(("key of nil", as_key(Value::Nil)));
        values.push(("key of an integer", as_key(integer)));
        values.push(("key of an empty list", as_key(Value::Array(Vec::new()))));
    }
    if let Value::Map(entries) = original {
        let mut elements: Vec<Value> = entries.iter().map(|(_, value)| value.clone()).collect();
        values.push(("its values as a list", Value::Array(elements.clone())));
        elements.push(Value::from(7));
        values.push(("its values and one more as a list", Value::Array(elements)));
    }
    values
}

/// The entries of a MessagePack map.
type Entries = Vec<(Value, Value)>;

/// Returns named mutations of the entries of a map: each entry removed, each entry repeated, and an
/// additional entry with an unknown key or a key that is not text.
fn entry_mutations(entries: &Entries) -> Vec<(String, Entries)> {
    let mut mutations = Vec::new();
    for (index, (key, _)) in entries.iter().enumerate() {
        let key = key.as_str().unwrap();
        let mut without = entries.clone();
        without.remove(index);
        mutations.push((format!("{key} missing"), without));
        let mut twice = entries.clone();
        twice.push(entries[index].clone());
        mutations.push((format!("{key} twice"), twice));
    }
    for (form, key) in [
        ("integer key", Value::from(0)),
        ("large integer key", 1000.into()),
        ("nil key", Value::Nil),
        ("binary key", Value::Binary(b"uid".to_vec())),
        ("list key", Value::Array(Vec::new())),
        ("unknown key", "not_known".into()),
    ] {
        let mut extended = entries.clone();
        extended.insert(0, (key, Value::from(7)));
        mutations.push((form.to_owned(), extended));
    }
    mutations
}

/// Returns forms of a body that are truncated, have trailing bytes or are not valid MessagePack. Some
/// contain the marker 0xc1, with which no MessagePack value begins.
fn damaged_bytes(body: &[u8]) -> Vec<DamagedMessage> {
    let length = body.len();
    let mut forms = Vec::new();
    let mut add = |name: &str, body: Vec<u8>| {
        let name = format!("bytes: {name}");
        forms.push(DamagedMessage { name, body });
    };
    add("none", Vec::new());
    for (name, kept) in [
        ("first", 1),
        ("first two", 2),
        ("a quarter", length / 4),
        ("half", length / 2),
        ("three quarters", length * 3 / 4),
        ("all but the last", length - 1),
    ] {
        add(name, body[..kept].to_vec());
    }
    add("nil after the body", [body, &[0xc0]].concat());
    add("unused marker after the body", [body, &[0xc1]].concat());
    add("the body twice", [body, body].concat());
    add("not MessagePack", b"not MessagePack".to_vec());
    add("unused marker as a key", vec![0x81, 0xc1]);
    add("unused marker as a value", vec![0x81, 0xa1, b'x', 0xc1]);
    add("key that is not UTF-8", vec![0x81, 0xa1, 0xff, 0xc0]);
    add("length beyond the body", vec![0xdf, 0xff, 0xff, 0xff, 0xff]);
    forms
}
