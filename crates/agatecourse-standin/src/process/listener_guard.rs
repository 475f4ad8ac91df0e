use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsFd;
use tokio::net::TcpSocket;

/// Length of the accept queue; connection bursts of a benchmark exceed the 128 that the standard library uses.
const BACKLOG: u32 = 1024;

/// Closes the listening socket of a server immediately, from any thread.
///
/// Stopping the server itself reaches its threads in no fixed order, so it could still accept new connections after
/// it has closed the open ones.
#[derive(Debug)]
pub(crate) struct ListenerGuard {
    socket: TcpStream,
}

impl ListenerGuard {
    /// Opens a listening socket and returns it with its guard.
    pub(crate) fn bind(address: SocketAddr) -> io::Result<(TcpListener, Self)> {
        let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
        // Allows a restart on the same port while old connections are in TIME_WAIT.
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        let listener = socket.listen(BACKLOG)?.into_std()?;
        // The standard library offers `shutdown` for streams only; the system call also works on listening sockets.
        let socket = TcpStream::from(listener.as_fd().try_clone_to_owned()?);
        Ok((listener, Self { socket }))
    }

    /// Closes the socket: connections not accepted yet are reset and new ones are refused.
    pub(crate) fn close(self) {
        // Fails only when the socket is closed already.
        let _ = self.socket.shutdown(Shutdown::Both);
    }
}
