use super::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Decodes a body with a copy of each text, the slower way to which [`decode`] is compared.
fn decode_by_copying<T: DeserializeOwned>(body: &[u8]) -> Option<T> {
    if !matches!(body.first(), Some(0x80..=0x8f | 0xde | 0xdf)) {
        return None;
    }
    let mut rest = body;
    let message = T::deserialize(&mut rmp_serde::Deserializer::new(&mut rest)).ok()?;
    rest.is_empty().then_some(message)
}

/// Damages a body: bytes changed, cut off, added or repeated.
fn damage(body: &mut Vec<u8>, random: &mut SmallRng) {
    for _ in 0..random.random_range(0..4) {
        let at = random.random_range(0..body.len());
        match random.random_range(0..4) {
            0 => body[at] = random.random(),
            1 => body.truncate(at.max(1)),
            2 => body.insert(at, random.random()),
            _ => body.extend_from_within(at..),
        }
    }
}

fn heartbeat() -> worker::Heartbeat {
    let task = |index: u64| worker::Task {
        task: format!("run-{index}/{}", index % 7),
        attempt: index,
        state: worker::TaskState::Exited,
        exit_reason: Some(worker::ExitReason::Completed),
        checkpoint_saved: index.is_multiple_of(2).then_some(true),
    };
    worker::Heartbeat {
        machine: "host-000231".into(),
        address: "10.1.0.232:9000".into(),
        machine_type: "g8".into(),
        zone: "east".into(),
        spot: false,
        incarnation: 1,
        sequence: 88,
        fencing_token: 1 << 40,
        preemption_notice_s: Some(0.5),
        tasks: (0..6).map(task).collect(),
    }
}

fn item() -> store::Item {
    store::Item {
        key: "live/job/run-1".into(),
        value: rmpv::Value::Array(vec!["text".into(), 1.into(), rmpv::Value::Nil]),
        version: 7,
    }
}

/// Damages the encoded message, and checks that reading in place tells the same as reading by
/// copying. Returns whether the body could be read.
fn assert_decoded_alike<T>(message: &T, random: &mut SmallRng, context: &str) -> bool
where
    T: Serialize + DeserializeOwned + PartialEq + std::fmt::Debug,
{
    let mut body = encode(message);
    damage(&mut body, random);
    let copied = decode_by_copying::<T>(&body);
    assert_eq!(decode::<T>(&body).ok(), copied, "{context}");
    copied.is_some()
}

/// Whole bodies and damaged ones.
#[test]
fn bodies_read_in_place_are_the_same_as_copied_ones() {
    let heartbeat = heartbeat();
    let item = item();
    let seed = 7;
    let mut random = SmallRng::seed_from_u64(seed);
    let (mut read, mut refused) = (0, 0);
    for round in 0..20_000 {
        let context = format!("seed {seed}, round {round}");
        let was_read = assert_decoded_alike(&heartbeat, &mut random, &context);
        read += usize::from(was_read);
        refused += usize::from(!was_read);
        assert_decoded_alike(&item, &mut random, &context);
    }
    assert!(
        read > 1_000 && refused > 1_000,
        "{read} read, {refused} not"
    );
}

#[test]
fn only_whole_maps_are_read() {
    let lease = store::GrantLeaseRequest { ttl_ms: 5 };
    let body = encode(&lease);
    assert_eq!(decode::<store::GrantLeaseRequest>(&body).unwrap().ttl_ms, 5);
    let mut long = body.clone();
    long.push(0);
    assert!(decode::<store::GrantLeaseRequest>(&long).is_err());
    let list = rmp_serde::to_vec(&lease).unwrap();
    assert!(matches!(
        decode::<store::GrantLeaseRequest>(&list),
        Err(DecodeError::NotAMap)
    ));
    assert!(decode::<store::GrantLeaseRequest>(&[]).is_err());
}
