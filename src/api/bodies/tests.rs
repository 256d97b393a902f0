use super::*;
use hyper::body::{Bytes, Frame};
use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

/// A body that comes in pieces of one size.
struct Pieces {
    left: usize,
    size: usize,
    /// After the last piece its sender says nothing more.
    silent: bool,
}

impl hyper::body::Body for Pieces {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.left == 0 && self.silent {
            return Poll::Pending;
        }
        let size = self.size;
        Poll::Ready(self.left.checked_sub(1).map(|left| {
            self.left = left;
            Ok(Frame::data(vec![b'x'; size].into()))
        }))
    }
}

fn pieces(left: usize, size: usize) -> Body {
    Body::new(Pieces {
        left,
        size,
        silent: false,
    })
}

const KIB: usize = 1024;

#[tokio::test]
async fn bodies_are_read_up_to_the_protocols_size() {
    let budget = BodyBudget::new(1024 * KIB);
    let read = |body| budget.read(body, Sender::User);
    assert_eq!(read(pieces(64, KIB)).await.unwrap().bytes.len(), 64 * KIB);
    assert_eq!(read(pieces(0, KIB)).await.unwrap().bytes.len(), 0);
    assert_eq!(read(pieces(65, KIB)).await.unwrap_err().status(), 400);
    // An endless body ends the reading, and none of it is kept.
    let endless = read(pieces(usize::MAX, KIB)).await.unwrap_err();
    assert_eq!(endless.status(), 413);
    assert_eq!(budget.all.available_permits(), 1024 * KIB);
}

/// Bodies that never end once held their memory for as long as their connections lived.
#[tokio::test(start_paused = true)]
async fn a_slow_sender_is_refused_in_time() {
    let budget = BodyBudget::new(1024 * KIB);
    let slow = Body::new(Pieces {
        left: 3,
        size: KIB,
        silent: true,
    });
    let refusal = budget.read(slow, Sender::Worker).await.unwrap_err();
    // 400 would disown a job that was accepted before.
    assert_eq!(refusal.status(), 413);
    assert_eq!(refusal.headers()["connection"], "close");
    assert_eq!(budget.all.available_permits(), 1024 * KIB);
}

/// A flood of large submissions took all of a small machine's memory. Beyond their part users are
/// told to come back, and reports are read all the same.
#[tokio::test]
async fn a_flood_of_submissions_leaves_memory_for_reports() {
    let budget = BodyBudget::new(512 * KIB);
    let mut held = Vec::new();
    let mut refused = 0;
    for _ in 0..20 {
        match budget.read(pieces(64, KIB), Sender::User).await {
            Ok(body) => held.push(body),
            Err(refusal) => {
                assert_eq!(refusal.status(), 503);
                assert!(refusal.headers().contains_key("retry-after"));
                refused += 1;
            }
        }
    }
    let users_most = 512 * KIB / constants::USER_BODY_DIVISOR / (64 * KIB);
    assert_eq!((held.len(), refused), (users_most, 20 - users_most));
    let report = budget.read(pieces(64, KIB), Sender::Worker).await;
    assert_eq!(report.unwrap().bytes.len(), 64 * KIB);
    // Memory comes back with the end of what held it.
    held.clear();
    assert!(budget.read(pieces(64, KIB), Sender::User).await.is_ok());
}

/// Reports as well have their bound; what is over it can be sent again.
#[tokio::test]
async fn a_flood_of_reports_stays_within_the_budget() {
    let budget = BodyBudget::new(128 * KIB);
    let first = budget.read(pieces(64, KIB), Sender::Worker).await.unwrap();
    let second = budget.read(pieces(64, KIB), Sender::Worker).await.unwrap();
    let third = budget.read(pieces(1, 1), Sender::Worker).await;
    assert_eq!(third.unwrap_err().status(), 503);
    drop((first, second));
    assert_eq!(budget.all.available_permits(), 128 * KIB);
}
