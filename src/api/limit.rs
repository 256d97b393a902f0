//! Connections on `front`, kept below the machine's limit of sockets, so that users, probes and
//! workers always find one.
//!
//! A machine that is gone leaves its connection open, and so does a cut: without a word for
//! longer than any caller pauses, a connection is closed. (Left open, those of returned machines
//! took every socket in the course of a day, and new machines could not report: a thousand were
//! returned as "never came up".) And there may be more workers than sockets: past a share of
//! them, whatever is answered closes its connection, so that the rest is free for requests
//! under way. Past the limit, connections wait in the system's queue, where the load balancer
//! passes them over.

use crate::constants;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, Sleep, sleep};

/// The connections there may be.
#[derive(Clone)]
pub struct Connections {
    snapshots: Arc<Semaphore>,
    most: usize,
    /// A caller that has work to do here does not pause for longer.
    pause: Duration,
}

impl Connections {
    pub fn new(most: usize, pause: Duration) -> Self {
        Connections {
            snapshots: Arc::new(Semaphore::new(most)),
            most,
            pause,
        }
    }

    /// The longest pause of a caller.
    pub(super) fn pause(&self) -> Duration {
        self.pause
    }

    /// Whether so many are open that none should stay open between requests.
    pub fn crowded(&self) -> bool {
        self.snapshots.available_permits() < self.most / constants::SPARE_CONNECTIONS_DIVISOR
    }
}

pub struct LimitedListener {
    inner: TcpListener,
    connections: Connections,
}

impl LimitedListener {
    pub fn new(inner: TcpListener, connections: Connections) -> Self {
        LimitedListener { inner, connections }
    }
}

impl axum::serve::Listener for LimitedListener {
    type Io = Limited;
    type Addr = SocketAddr;

    async fn accept(&mut self) -> (Limited, SocketAddr) {
        loop {
            let slot = self.connections.snapshots.clone().acquire_owned().await;
            // axum's own accept waits and tries again after an error, such as no free socket.
            let (stream, addr) = axum::serve::Listener::accept(&mut self.inner).await;
            let _ = stream.set_nodelay(true);
            if let Ok(slot) = slot {
                return (Limited::new(stream, slot, self.connections.pause), addr);
            }
        }
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        self.inner.local_addr()
    }
}

/// A connection that ends when nothing has been read for too long, and frees its slot when it is
/// dropped.
pub struct Limited {
    stream: TcpStream,
    _slot: OwnedSemaphorePermit,
    pause: Duration,
    used: Instant,
    check: Pin<Box<Sleep>>,
}

impl Limited {
    fn new(stream: TcpStream, slot: OwnedSemaphorePermit, pause: Duration) -> Self {
        Limited {
            stream,
            _slot: slot,
            pause,
            used: Instant::now(),
            check: Box::pin(sleep(pause)),
        }
    }
}

impl AsyncRead for Limited {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if let Poll::Ready(read) = Pin::new(&mut self.stream).poll_read(cx, buf) {
            self.used = Instant::now();
            return Poll::Ready(read);
        }
        // The timer is set once a pause, not with each read.
        loop {
            ready!(self.check.as_mut().poll(cx));
            let end = self.used + self.pause;
            if Instant::now() >= end {
                return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
            }
            self.check.as_mut().reset(end);
        }
    }
}

impl AsyncWrite for Limited {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

#[cfg(test)]
mod tests;
