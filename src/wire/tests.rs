use super::*;

#[test]
fn only_whole_maps_are_read() {
    let lease = store::TouchBody { ttl_ms: 5 };
    let body = encode(&lease);
    assert_eq!(decode::<store::TouchBody>(&body).unwrap().ttl_ms, 5);
    let mut long = body.clone();
    long.push(0);
    assert!(decode::<store::TouchBody>(&long).is_err());
    let list = rmp_serde::to_vec(&lease).unwrap();
    assert_eq!(
        decode::<store::TouchBody>(&list).unwrap_err(),
        DecodeError::NotAMap
    );
    assert!(decode::<store::TouchBody>(&[]).is_err());
}
