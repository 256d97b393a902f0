//! Damaged forms of a MessagePack message, made without knowledge of the type that reads it.

use rmpv::Value;

/// A damaged body and what was done to it.
pub(crate) struct Damaged {
    pub(crate) name: String,
    pub(crate) body: Vec<u8>,
}

/// A step from a value to one inside of it: a place in a list, or in a map's entries.
type Path = Vec<usize>;

pub(crate) fn encode(value: &Value) -> Vec<u8> {
    let mut body = Vec::new();
    rmpv::encode::write_value(&mut body, value).unwrap();
    body
}

/// All damaged forms of a message.
pub(crate) fn damaged_forms(message: &Value) -> Vec<Damaged> {
    let mut forms = Vec::new();
    let mut add = |name: String, value: Value| {
        let body = encode(&value);
        forms.push(Damaged { name, body });
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

/// The paths of a value and of everything inside of it, outermost first.
fn paths_within(value: &Value) -> Vec<Path> {
    let mut paths = vec![Path::new()];
    let children: Vec<&Value> = match value {
        Value::Array(elements) => elements.iter().collect(),
        Value::Map(entries) => entries.iter().map(|(_, value)| value).collect(),
        _ => Vec::new(),
    };
    for (index, child) in children.into_iter().enumerate() {
        for inner in paths_within(child) {
            paths.push([vec![index], inner].concat());
        }
    }
    paths
}

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

/// Values of other types and forms to put in the place of one.
fn replacements(original: &Value) -> Vec<(&'static str, Value)> {
    let seven = Value::from(7);
    let mut values = vec![
        ("nil", Value::Nil),
        ("boolean", true.into()),
        ("negative integer", (-1).into()),
        ("integer", seven.clone()),
        ("largest integer", u64::MAX.into()),
        ("fraction", 1.5.into()),
        ("text", "not known".into()),
        ("binary", Value::Binary(b"bytes".to_vec())),
        ("extension", Value::Ext(1, vec![0])),
        ("empty list", Value::Array(Vec::new())),
        ("list", Value::Array(vec![seven.clone()])),
        ("empty map", Value::Map(Vec::new())),
        ("map", Value::Map(vec![("x".into(), seven.clone())])),
    ];
    if let Value::String(_) = original {
        let as_key = |value| Value::Map(vec![(original.clone(), value)]);
        values.push(("key of nil", as_key(Value::Nil)));
        values.push(("key of an integer", as_key(seven)));
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

type Entries = Vec<(Value, Value)>;

/// Changes to the entries of a map: each left out, each repeated, and others with keys that are no
/// text or not known.
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
        let mut more = entries.clone();
        more.insert(0, (key, Value::from(7)));
        mutations.push((form.to_owned(), more));
    }
    mutations
}

/// The body cut off, with bytes after it, and with bytes that no MessagePack value begins with.
fn damaged_bytes(body: &[u8]) -> Vec<Damaged> {
    let length = body.len();
    let mut forms = Vec::new();
    let mut add = |name: &str, body: Vec<u8>| {
        let name = format!("bytes: {name}");
        forms.push(Damaged { name, body });
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
