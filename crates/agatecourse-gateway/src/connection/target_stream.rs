use super::{Disconnect, PeerWatch, WATCH_INTERVAL, set_socket_options, set_user_timeout};
use crate::budget::RequestBody;
use std::io::{Error, ErrorKind, Result};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Instant;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Sleep;

/// Bytes of a connection to a target, which notices that the target is gone or has reset the connection.
///
/// A target that is gone is noticed by the kernel's user timeout. The timeout is off for a long request, of which a target that reads slowly
/// leaves a part in the buffers; the stream watches the acknowledgements itself then.
///
/// The kernel reports a reset once, to the write or the read that comes first. After a failed write, the end of the bytes may therefore be a
/// reset, and is reported as one.
#[derive(Debug)]
pub(crate) struct TargetStream {
    tcp: TcpStream,
    /// Watch of the target with the time of its next reading; `None` while the user timeout is on.
    watch: Option<(PeerWatch, Pin<Box<Sleep>>)>,
    /// True once a write has failed, so that a reset may already have been reported.
    has_write_failed: bool,
    /// Rest of the body of a request, which is written while the answer is read; `None` once it was written, or can't be.
    unsent: Option<UnsentBody>,
}

/// Part of a body that was not written yet.
#[derive(Debug)]
struct UnsentBody {
    body: Rc<RequestBody>,
    /// Bytes that were written.
    sent_bytes: usize,
}

impl TargetStream {
    /// Creates a stream from a connected socket and sets the options of the socket.
    ///
    /// # Errors
    ///
    /// Returns the error of the kernel, for example for a connection that has failed.
    pub(crate) fn new(tcp: TcpStream) -> Result<Self> {
        set_socket_options(&tcp)?;
        set_user_timeout(&tcp, true)?;
        Ok(Self { tcp, watch: None, has_write_failed: false, unsent: None })
    }

    /// Prepares for a request; `is_long` says whether it may not fit the target's window.
    ///
    /// # Errors
    ///
    /// Returns the error of the kernel, for example for a connection that has failed.
    pub(crate) fn begin_request(&mut self, is_long: bool) -> Result<()> {
        if is_long != self.watch.is_some() {
            set_user_timeout(&self.tcp, !is_long)?;
        }
        self.watch =
            is_long.then(|| (PeerWatch::new(), Box::pin(tokio::time::sleep(WATCH_INTERVAL))));
        Ok(())
    }

    /// Writes a body while the answer is read, as a target may answer before it has read a long body, and read no more of it.
    pub(crate) fn send_while_reading(&mut self, body: Rc<RequestBody>) {
        self.unsent = Some(UnsentBody { body, sent_bytes: 0 });
    }

    /// Returns whether all of the request was written; the target takes what is written next for the rest of it otherwise.
    pub(crate) fn is_request_sent(&self) -> bool {
        self.unsent.is_none() && !self.has_write_failed
    }

    /// Returns whether the connection is open and has no unexpected bytes to read.
    pub(crate) fn is_open_and_empty(&self) -> bool {
        let mut probe = [0_u8; 1];
        matches!(self.tcp.try_read(&mut probe), Err(error) if error.kind() == ErrorKind::WouldBlock)
    }

    /// Returns the socket, for bytes that are forwarded as they are. Switches its user timeout off, as such bytes may be read slowly; who
    /// forwards them watches the target.
    ///
    /// # Errors
    ///
    /// Returns the error of the kernel, for example for a connection that has failed.
    pub(crate) fn forwarding_socket(&mut self) -> Result<&mut TcpStream> {
        set_user_timeout(&self.tcp, false)?;
        Ok(&mut self.tcp)
    }

    /// Writes as much of the rest of a body as the socket takes.
    fn poll_send_rest(&mut self, context: &mut Context<'_>) {
        let Some(UnsentBody { body, sent_bytes }) = &mut self.unsent else { return };
        while let Some(bytes) = body.bytes_from(*sent_bytes) {
            match Pin::new(&mut self.tcp).poll_write(context, bytes) {
                Poll::Ready(Ok(written)) if written > 0 => *sent_bytes += written,
                Poll::Ready(_) => {
                    self.has_write_failed = true;
                    break;
                }
                Poll::Pending => return,
            }
        }
        self.unsent = None;
    }

    /// Returns an error once the target is lost, as far as this stream watches it.
    fn poll_watch(&mut self, context: &mut Context<'_>) -> Poll<Error> {
        let Some((watch, reading)) = &mut self.watch else { return Poll::Pending };
        loop {
            ready!(reading.as_mut().poll(context));
            if watch.check(Instant::now(), &self.tcp) == Some(Disconnect::Lost) {
                return Poll::Ready(Error::new(ErrorKind::TimedOut, "target acknowledges nothing"));
            }
            reading.as_mut().reset(tokio::time::Instant::now() + WATCH_INTERVAL);
        }
    }
}

impl AsyncRead for TargetStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        if let Poll::Ready(error) = self.poll_watch(context) {
            return Poll::Ready(Err(error));
        }
        self.poll_send_rest(context);
        let filled = buffer.filled().len();
        ready!(Pin::new(&mut self.tcp).poll_read(context, buffer))?;
        let has_ended = buffer.filled().len() == filled && buffer.remaining() > 0;
        if has_ended && self.has_write_failed {
            return Poll::Ready(Err(ErrorKind::ConnectionReset.into()));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for TargetStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        if let Poll::Ready(error) = self.poll_watch(context) {
            return Poll::Ready(Err(error));
        }
        let written = ready!(Pin::new(&mut self.tcp).poll_write(context, bytes));
        self.has_write_failed |= written.is_err();
        Poll::Ready(written)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.tcp).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.tcp).poll_shutdown(context)
    }
}
