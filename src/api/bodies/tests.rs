use super::*;
use hyper::body::{Bytes, Frame};
use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

/// A body that comes in frames of one size.
struct FramedBody {
    frames_left: usize,
    size: usize,
    /// Whether the sender stops after the last frame, without ending the body.
    stalls: bool,
}

impl hyper::body::Body for FramedBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.frames_left == 0 && self.stalls {
            return Poll::Pending;
        }
        let size = self.size;
        Poll::Ready(self.frames_left.checked_sub(1).map(|frames_left| {
            self.frames_left = frames_left;
            Ok(Frame::data(vec![b'x'; size].into()))
        }))
    }
}

fn body_of(frames: usize, size: usize) -> Body {
    Body::new(FramedBody {
        frames_left: frames,
        size,
        stalls: false,
    })
}

const KIB: usize = 1024;

#[tokio::test]
async fn bodies_are_read_up_to_the_size_limit() {
    let budget = BodyBudget::new(1024 * KIB);
    let read = |body| budget.read(body, BodySender::User);
    assert_eq!(read(body_of(64, KIB)).await.unwrap().bytes.len(), 64 * KIB);
    assert_eq!(read(body_of(0, KIB)).await.unwrap().bytes.len(), 0);
    assert_eq!(read(body_of(65, KIB)).await.unwrap_err().status(), 400);
    // An endless body is not read to its end, and none of it is kept.
    let endless = read(body_of(usize::MAX, KIB)).await.unwrap_err();
    assert_eq!(endless.status(), 413);
    assert_eq!(budget.total.available_permits(), 1024 * KIB);
}

/// A body that never ends must not hold its memory for as long as its connection is open.
#[tokio::test(start_paused = true)]
async fn a_body_that_stalls_is_refused_after_the_timeout() {
    let budget = BodyBudget::new(1024 * KIB);
    let slow = Body::new(FramedBody {
        frames_left: 3,
        size: KIB,
        stalls: true,
    });
    let refusal = budget.read(slow, BodySender::Worker).await.unwrap_err();
    // A 400 would tell the user that a job accepted before was refused.
    assert_eq!(refusal.status(), 413);
    assert_eq!(refusal.headers()["connection"], "close");
    assert_eq!(budget.total.available_permits(), 1024 * KIB);
}

/// Large submissions may take a part of a small machine's memory only. Beyond it users are told to
/// retry, and heartbeats are still read.
#[tokio::test]
async fn a_flood_of_submissions_leaves_memory_for_heartbeats() {
    let budget = BodyBudget::new(512 * KIB);
    let mut bodies = Vec::new();
    let mut refused = 0;
    for _ in 0..20 {
        match budget.read(body_of(64, KIB), BodySender::User).await {
            Ok(body) => bodies.push(body),
            Err(refusal) => {
                assert_eq!(refusal.status(), 503);
                assert!(refusal.headers().contains_key("retry-after"));
                refused += 1;
            }
        }
    }
    let max_user_bodies = 512 * KIB / constants::USER_BODY_MEMORY_DIVISOR / (64 * KIB);
    assert_eq!(
        (bodies.len(), refused),
        (max_user_bodies, 20 - max_user_bodies)
    );
    let heartbeat = budget.read(body_of(64, KIB), BodySender::Worker).await;
    assert_eq!(heartbeat.unwrap().bytes.len(), 64 * KIB);
    // Memory is released when the bodies that held it are dropped.
    bodies.clear();
    assert!(
        budget
            .read(body_of(64, KIB), BodySender::User)
            .await
            .is_ok()
    );
}

/// Heartbeats are bounded as well; one that is refused is repeated by its worker.
#[tokio::test]
async fn a_flood_of_heartbeats_stays_within_the_budget() {
    let budget = BodyBudget::new(128 * KIB);
    let first = budget
        .read(body_of(64, KIB), BodySender::Worker)
        .await
        .unwrap();
    let second = budget
        .read(body_of(64, KIB), BodySender::Worker)
        .await
        .unwrap();
    let third = budget.read(body_of(1, 1), BodySender::Worker).await;
    assert_eq!(third.unwrap_err().status(), 503);
    drop((first, second));
    assert_eq!(budget.total.available_permits(), 128 * KIB);
}
