use super::*;

#[test]
fn try_take_leaves_the_reserve_and_take_unconditionally_never_waits() {
    let seconds = Duration::from_secs;
    let mut bucket = TokenBucket::new(10.0, 1.0);
    for _ in 0..7 {
        assert_eq!(bucket.try_take(1.0, 0.25, seconds(0)), Ok(()));
    }
    assert!(
        bucket.try_take(1.0, 0.25, seconds(0)).is_err(),
        "a call with a reserve took reserved tokens"
    );
    assert_eq!(bucket.try_take(3.0, 0.0, seconds(0)), Ok(()));
    let error = bucket.try_take(1.0, 0.0, seconds(0)).unwrap_err();
    assert!((error.retry_after.as_secs_f64() - 0.1).abs() < 0.01);
    bucket.take_unconditionally(1.0, seconds(0));
    assert!(
        bucket
            .try_take(1.0, 0.0, Duration::from_millis(150))
            .is_err()
    );
    assert_eq!(
        bucket.try_take(1.0, 0.0, Duration::from_millis(201)),
        Ok(())
    );
    assert_eq!(
        bucket.try_take(50.0, 0.0, seconds(9)),
        Ok(()),
        "a full bucket is not sufficient for an amount over its capacity"
    );
}
