//! Bounds what a peer may send besides the bodies of its replies.
//!
//! The HTTP library bounds a status line, the headers and most lines between chunks, but reads any
//! number of interim replies and some framing without end. So all bytes that are read count
//! against an allowance, which body data that was taken in restores.

use std::{
    cell::Cell,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// The bytes of a reply that may be read before, between and after those of its body, and how far
/// the library reads ahead.
const ALLOWANCE: usize = 256 << 10;
/// The bytes of framing that go with each piece of a body.
const PIECE_FRAMING: usize = 64;
/// Largest read of the HTTP library, in bytes.
pub const MAX_READ: usize = 64 << 10;

/// What may still be read of a reply. Clones share it.
#[derive(Debug, Clone)]
pub struct Allowance(Rc<Cell<usize>>);

impl Default for Allowance {
    fn default() -> Allowance {
        Allowance(Rc::new(Cell::new(ALLOWANCE)))
    }
}

impl Allowance {
    /// A new reply begins.
    pub fn reset(&self) {
        self.0.set(ALLOWANCE);
    }

    /// So many bytes of the body were taken in.
    pub fn restore(&self, bytes: usize) {
        self.0.set((self.0.get() + bytes + PIECE_FRAMING).min(ALLOWANCE));
    }

    fn spend(&self, bytes: usize) {
        self.0.set(self.0.get().saturating_sub(bytes));
    }

    fn is_spent(&self) -> bool {
        self.0.get() == 0
    }
}

/// A connection that ends once its allowance is spent.
pub struct Metered {
    stream: TcpStream,
    allowance: Allowance,
}

impl Metered {
    /// Counts what is read of a connection against an allowance.
    pub fn new(stream: TcpStream, allowance: Allowance) -> Metered {
        Metered { stream, allowance }
    }
}

impl AsyncRead for Metered {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.allowance.is_spent() {
            let message = format!("the peer sent {ALLOWANCE} bytes that belong to no body");
            return Poll::Ready(Err(io::Error::other(message)));
        }
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        self.allowance.spend(buf.filled().len() - before);
        read
    }
}

impl AsyncWrite for Metered {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, slices)
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
