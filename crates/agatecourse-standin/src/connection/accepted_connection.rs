use std::any::Any;
use std::net::{Shutdown, TcpStream};
use std::os::fd::AsFd;

/// An accepted connection and the value of the `silence_existing` counter when it was opened.
///
/// A later value of the counter means that the fault was set while the connection was open.
#[derive(Debug)]
pub(crate) struct AcceptedConnection {
    silences_at_accept: u64,
    socket: Option<TcpStream>,
}

impl AcceptedConnection {
    /// Creates the state of a connection that the HTTP server reports as accepted.
    ///
    /// The socket is absent when the connection has another type or its descriptor can't be duplicated.
    pub(crate) fn new(connection: &dyn Any, silences_at_accept: u64) -> Self {
        let socket = connection
            .downcast_ref::<actix_web::rt::net::TcpStream>()
            .and_then(|stream| stream.as_fd().try_clone_to_owned().ok())
            .map(TcpStream::from);
        Self { silences_at_accept, socket }
    }

    /// Returns whether `silence_existing` was set after the connection was opened.
    pub(crate) fn is_silent(&self, silence_count: u64) -> bool {
        silence_count > self.silences_at_accept
    }

    /// Shuts down both directions at once; a response that is being written is lost.
    pub(crate) fn close(&self) {
        if let Some(socket) = &self.socket {
            // Fails only when the peer has closed the connection already.
            let _ = socket.shutdown(Shutdown::Both);
        }
    }
}
