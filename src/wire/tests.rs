use super::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Decodes a body by copying each text: the slower reference with which [`decode`] is compared.
fn decode_by_copying<T: DeserializeOwned>(body: &[u8]) -> Option<T> {
    if !matches!(body.first(), Some(0x80..=0x8f | 0xde | 0xdf)) {
        return None;
    }
    let mut rest = body;
    let message = T::deserialize(&mut rmp_serde::Deserializer::new(&mut rest)).ok()?;
    rest.is_empty().then_some(message)
}

/// Applies up to three random changes to a body: bytes are replaced, cut off, inserted or repeated.
fn corrupt(body: &mut Vec<u8>, random: &mut SmallRng) {
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

/// Corrupts the encoded message, asserts that decoding in place gives the same result as decoding
/// by copying, and returns whether the body could be decoded.
fn assert_decoders_agree<T>(message: &T, random: &mut SmallRng, context: &str) -> bool
where
    T: Serialize + DeserializeOwned + PartialEq + std::fmt::Debug,
{
    let mut body = encode(message);
    corrupt(&mut body, random);
    let expected = decode_by_copying::<T>(&body);
    assert_eq!(decode::<T>(&body).ok(), expected, "{context}");
    expected.is_some()
}

/// Guards against differences between decoding in place and decoding by copying, for intact and
/// corrupted bodies.
#[test]
fn decoding_in_place_equals_decoding_by_copying() {
    let heartbeat = heartbeat();
    let item = item();
    let seed = 7;
    let mut random = SmallRng::seed_from_u64(seed);
    let (mut decoded, mut rejected) = (0, 0);
    for round in 0..20_000 {
        let context = format!("seed {seed}, round {round}");
        let is_decoded = assert_decoders_agree(&heartbeat, &mut random, &context);
        decoded += usize::from(is_decoded);
        rejected += usize::from(!is_decoded);
        assert_decoders_agree(&item, &mut random, &context);
    }
    assert!(
        decoded > 1_000 && rejected > 1_000,
        "{decoded} decoded, {rejected} rejected"
    );
}

#[test]
fn bodies_other_than_one_whole_map_are_rejected() {
    let lease = store::GrantLeaseRequest { ttl_ms: 5 };
    let body = encode(&lease);
    assert_eq!(decode::<store::GrantLeaseRequest>(&body).unwrap().ttl_ms, 5);
    let mut extended = body.clone();
    extended.push(0);
    assert!(decode::<store::GrantLeaseRequest>(&extended).is_err());
    let array = rmp_serde::to_vec(&lease).unwrap();
    assert!(matches!(
        decode::<store::GrantLeaseRequest>(&array),
        Err(DecodeError::NotAMap)
    ));
    assert!(decode::<store::GrantLeaseRequest>(&[]).is_err());
}
