//! A listener that keeps the number of open connections below the machine's limit of sockets:
//! past it, connections wait in the system's queue, where the load balancer passes them over.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

pub struct LimitedListener {
    inner: TcpListener,
    slots: Arc<Semaphore>,
}

impl LimitedListener {
    pub fn new(inner: TcpListener, most: usize) -> Self {
        LimitedListener {
            inner,
            slots: Arc::new(Semaphore::new(most)),
        }
    }
}

impl axum::serve::Listener for LimitedListener {
    type Io = Limited;
    type Addr = SocketAddr;

    async fn accept(&mut self) -> (Limited, SocketAddr) {
        loop {
            let slot = self.slots.clone().acquire_owned().await;
            // axum's own accept waits and tries again after an error, such as no free socket.
            let (stream, addr) = axum::serve::Listener::accept(&mut self.inner).await;
            let _ = stream.set_nodelay(true);
            if let Ok(slot) = slot {
                return (
                    Limited {
                        stream,
                        _slot: slot,
                    },
                    addr,
                );
            }
        }
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        self.inner.local_addr()
    }
}

/// A connection that frees its slot when it is dropped.
pub struct Limited {
    stream: TcpStream,
    _slot: OwnedSemaphorePermit,
}

impl AsyncRead for Limited {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
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
