//! Keeps the number of connections on `front` below the machine's socket limit, so that users,
//! readiness probes and workers can always open one.
//!
//! A machine that disappears leaves its connection open, and so does a network partition. Without
//! an idle timeout, the connections of returned machines would eventually use up all sockets, and
//! the heartbeats of new machines would not get through. A connection is therefore closed when
//! nothing was read from it for longer than any client pauses between requests.
//!
//! There may also be more workers than sockets. When few connections are left, each response closes
//! its connection, so that the remaining ones are available to requests in progress. At the limit,
//! new connections wait in the operating system's accept queue, and the load balancer uses another
//! node.

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

/// Limits the number of connections that a listener has open, and how long they may be idle.
/// Clones share the same limit.
#[derive(Clone)]
pub struct ConnectionLimiter {
    permits: Arc<Semaphore>,
    max_connections: usize,
    idle_timeout: Duration,
}

impl ConnectionLimiter {
    /// Allows at most `max_connections` open connections. Each is closed when nothing was read from
    /// it for `idle_timeout`.
    pub fn new(max_connections: usize, idle_timeout: Duration) -> Self {
        ConnectionLimiter {
            permits: Arc::new(Semaphore::new(max_connections)),
            max_connections,
            idle_timeout,
        }
    }

    /// Returns the time after which a connection is closed if nothing was read from it.
    pub(super) fn idle_timeout(&self) -> Duration {
        self.idle_timeout
    }

    /// Reports whether so few connections are left that none should stay open between requests.
    pub(super) fn is_near_limit(&self) -> bool {
        let spare_connections = self.max_connections / constants::RESERVED_CONNECTIONS_DIVISOR;
        self.permits.available_permits() < spare_connections
    }
}

/// A listener that accepts a connection only while fewer than the maximum are open.
pub(super) struct LimitedListener {
    inner: TcpListener,
    limiter: ConnectionLimiter,
}

impl LimitedListener {
    /// Wraps a listener so that its connections count towards the limit of `limiter`.
    pub(super) fn new(inner: TcpListener, limiter: ConnectionLimiter) -> Self {
        LimitedListener { inner, limiter }
    }
}

impl axum::serve::Listener for LimitedListener {
    type Io = LimitedConnection;
    type Addr = SocketAddr;

    async fn accept(&mut self) -> (LimitedConnection, SocketAddr) {
        loop {
            let permit = self.limiter.permits.clone().acquire_owned().await;
            // axum's `accept` waits and retries after an error, for example when no socket is free.
            let (stream, addr) = axum::serve::Listener::accept(&mut self.inner).await;
            // A failure to set TCP_NODELAY only makes responses slower.
            let _ = stream.set_nodelay(true);
            // The semaphore is never closed, so `acquire_owned` always returns a permit.
            if let Ok(permit) = permit {
                let idle_timeout = self.limiter.idle_timeout;
                return (LimitedConnection::new(stream, permit, idle_timeout), addr);
            }
        }
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        self.inner.local_addr()
    }
}

/// A connection whose reads fail with a timeout after nothing was read for the idle timeout. The
/// connection counts towards the limit until it is dropped.
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
        // The timer is reset only when it fires: resetting it on each read would cost more.
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
