use super::*;
use hyper::body::{Bytes, Frame};
use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

/// A body that consists of frames of one size.
struct FramedBody {
    frames_left: usize,
    size: usize,
    /// Whether the sender stops sending after the last frame without ending the body.
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

fn framed_body(frames: usize, size: usize) -> Body {
    Body::new(FramedBody {
        frames_left: frames,
        size,
        stalls: false,
    })
}

const KIB: usize = 1024;

#[tokio::test]
async fn bodies_over_the_size_limit_are_refused_and_release_their_memory() {
    let budget = BodyBudget::new(1024 * KIB);
    let read = |body| budget.read(body, BodySender::User);
    assert_eq!(
        read(framed_body(64, KIB)).await.unwrap().bytes.len(),
        64 * KIB
    );
    assert_eq!(read(framed_body(0, KIB)).await.unwrap().bytes.len(), 0);
    assert_eq!(read(framed_body(65, KIB)).await.unwrap_err().status(), 400);
    // Reading an endless body stops, and its bytes are released.
    let endless = read(framed_body(usize::MAX, KIB)).await.unwrap_err();
    assert_eq!(endless.status(), 413);
    assert_eq!(budget.total.available_permits(), 1024 * KIB);
}

/// Guards against a sender that stops in the middle of a body: without a timeout, the body would
/// hold its memory for as long as the connection is open.
#[tokio::test(start_paused = true)]
async fn stalled_body_is_refused_after_the_timeout() {
    let budget = BodyBudget::new(1024 * KIB);
    let stalled = Body::new(FramedBody {
        frames_left: 3,
        size: KIB,
        stalls: true,
    });
    let refusal = budget.read(stalled, BodySender::Worker).await.unwrap_err();
    // The status is not 400, which would tell a user that a previously accepted job was refused.
    assert_eq!(refusal.status(), 413);
    assert_eq!(refusal.headers()["connection"], "close");
    assert_eq!(budget.total.available_permits(), 1024 * KIB);
}

/// Guards against many large submissions that use up the memory of a small machine. Users' bodies
/// may take only part of the budget: beyond it users are told to retry, and heartbeats are still
/// read.
#[tokio::test]
async fn submissions_over_the_user_share_are_refused_while_heartbeats_are_read() {
    let budget = BodyBudget::new(512 * KIB);
    let mut bodies = Vec::new();
    let mut refused = 0;
    for _ in 0..20 {
        match budget.read(framed_body(64, KIB), BodySender::User).await {
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
    let heartbeat = budget.read(framed_body(64, KIB), BodySender::Worker).await;
    assert_eq!(heartbeat.unwrap().bytes.len(), 64 * KIB);
    // Dropping the bodies releases their memory.
    bodies.clear();
    assert!(
        budget
            .read(framed_body(64, KIB), BodySender::User)
            .await
            .is_ok()
    );
}

/// Heartbeats are also limited to the budget. A worker repeats a heartbeat that was refused.
#[tokio::test]
async fn heartbeats_over_the_budget_are_refused() {
    let budget = BodyBudget::new(128 * KIB);
    let first = budget
        .read(framed_body(64, KIB), BodySender::Worker)
        .await
        .unwrap();
    let second = budget
        .read(framed_body(64, KIB), BodySender::Worker)
        .await
        .unwrap();
    let third = budget.read(framed_body(1, 1), BodySender::Worker).await;
    assert_eq!(third.unwrap_err().status(), 503);
    drop((first, second));
    assert_eq!(budget.total.available_permits(), 128 * KIB);
}
