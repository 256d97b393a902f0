use super::*;

#[test]
fn calls_leave_the_reserve_and_forced_calls_never_wait() {
    let at = Duration::from_secs;
    let mut bucket = TokenBucket::new(10.0, 1.0);
    for _ in 0..7 {
        assert_eq!(bucket.take(1.0, 0.25, at(0)), Ok(()));
    }
    assert!(
        bucket.take(1.0, 0.25, at(0)).is_err(),
        "the reserve is not for users"
    );
    assert_eq!(bucket.take(3.0, 0.0, at(0)), Ok(()));
    let refusal = bucket.take(1.0, 0.0, at(0)).unwrap_err();
    assert!((refusal.retry_after.as_secs_f64() - 0.1).abs() < 0.01);
    bucket.force(1.0, at(0));
    assert!(bucket.take(1.0, 0.0, Duration::from_millis(150)).is_err());
    assert_eq!(bucket.take(1.0, 0.0, Duration::from_millis(201)), Ok(()));
    assert_eq!(
        bucket.take(50.0, 0.0, at(9)),
        Ok(()),
        "a whole bucket is enough for anything"
    );
}
