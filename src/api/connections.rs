//! Connections on `front`, kept below the machine's limit of sockets, so that users, probes and
//! workers can always open one.
//!
//! A machine that is gone leaves its connection open, and so does a network partition. A connection
//! is closed when nothing was read from it for longer than any client pauses: otherwise those of
//! returned machines would take all sockets in time, and the heartbeats of new machines would not
//! get through. There may also be more workers than sockets: when few connections are left, each
//! response closes its own, so that the rest is free for requests in progress. At the limit, new
//! connections wait in the system's queue, and the load balancer takes another node.

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

/// The connections that a listener has open, and their limits. Clones share them.
#[derive(Clone)]
pub struct Connections {
    permits: Arc<Semaphore>,
    max_connections: usize,
    idle_timeout: Duration,
}

impl Connections {
    /// At most `max_connections` at once; each is closed when nothing was read from it for
    /// `idle_timeout`.
    pub fn new(max_connections: usize, idle_timeout: Duration) -> Self {
        Connections {
            permits: Arc::new(Semaphore::new(max_connections)),
            max_connections,
            idle_timeout,
        }
    }

    /// After this time without reading anything, a connection is closed.
    pub(super) fn idle_timeout(&self) -> Duration {
        self.idle_timeout
    }

    /// Whether so many are open that none should stay open between requests.
    pub(super) fn is_crowded(&self) -> bool {
        let spare_connections = self.max_connections / constants::RESERVED_CONNECTIONS_DIVISOR;
        self.permits.available_permits() < spare_connections
    }
}

/// A listener that accepts a connection only within the limit.
pub(super) struct LimitedListener {
    inner: TcpListener,
    connections: Connections,
}

impl LimitedListener {
    pub(super) fn new(inner: TcpListener, connections: Connections) -> Self {
        LimitedListener { inner, connections }
    }
}

impl axum::serve::Listener for LimitedListener {
    type Io = LimitedConnection;
    type Addr = SocketAddr;

    async fn accept(&mut self) -> (LimitedConnection, SocketAddr) {
        loop {
            let permit = self.connections.permits.clone().acquire_owned().await;
            // axum's own accept waits and retries after an error, such as no free socket.
            let (stream, addr) = axum::serve::Listener::accept(&mut self.inner).await;
            // Without it responses only take longer.
            let _ = stream.set_nodelay(true);
            // The semaphore is never closed, so there always is a permit.
            if let Ok(permit) = permit {
                let idle_timeout = self.connections.idle_timeout;
                return (LimitedConnection::new(stream, permit, idle_timeout), addr);
            }
        }
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        self.inner.local_addr()
    }
}

/// A connection that fails when nothing was read from it for too long, and that counts as open
/// until it is dropped.
pub(super) struct LimitedConnection {
    stream: TcpStream,
    _permit: OwnedSemaphorePermit,
    idle_timeout: Duration,
    last_read: Instant,
    idle_timer: Pin<Box<Sleep>>,
}

impl LimitedConnection {
    fn new(stream: TcpStream, permit: OwnedSemaphorePermit, idle_timeout: Duration) -> Self {
        LimitedConnection {
            stream,
            _permit: permit,
            idle_timeout,
            last_read: Instant::now(),
            idle_timer: Box::pin(sleep(idle_timeout)),
        }
    }
}

impl AsyncRead for LimitedConnection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if let Poll::Ready(result) = Pin::new(&mut self.stream).poll_read(context, buffer) {
            self.last_read = Instant::now();
            return Poll::Ready(result);
        }
        // The timer is set again when it fires, not with each read, which would cost more.
        loop {
            ready!(self.idle_timer.as_mut().poll(context));
            let deadline = self.last_read + self.idle_timeout;
            if Instant::now() >= deadline {
                return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
            }
            self.idle_timer.as_mut().reset(deadline);
        }
    }
}

impl AsyncWrite for LimitedConnection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, buffer)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

#[cfg(test)]
mod tests;
