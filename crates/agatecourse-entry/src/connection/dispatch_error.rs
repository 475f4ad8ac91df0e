use awc::error::{ConnectError, SendRequestError};
use snafu::Snafu;
use std::io::ErrorKind;

/// Reports why a request to a target received no response head.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub(crate) enum DispatchError {
    /// The target refused the TCP connection, so no byte was sent.
    #[snafu(display("connection refused"))]
    ConnectionRefused,
    /// The TCP connection could not be established, so no byte was sent.
    #[snafu(display("no connection: {reason}"))]
    NotConnected { reason: String },
    /// The connection was lost after bytes may have been sent.
    #[snafu(display("connection lost: {reason}"))]
    ConnectionLost { reason: String },
    /// No response head arrived within the timeout; the target may have received the request.
    #[snafu(display("no response in time"))]
    TimedOut,
}

impl From<SendRequestError> for DispatchError {
    fn from(error: SendRequestError) -> Self {
        match error {
            SendRequestError::Connect(ConnectError::Io(source))
                if source.kind() == ErrorKind::ConnectionRefused =>
            {
                Self::ConnectionRefused
            }
            // awc reports a connection that closes before the response head as `Connect(Disconnected)`, so only
            // the errors of the connector itself prove that nothing was sent.
            SendRequestError::Connect(error @ (ConnectError::Io(_) | ConnectError::Timeout)) => {
                Self::NotConnected { reason: error.to_string() }
            }
            error => Self::ConnectionLost { reason: error.to_string() },
        }
    }
}
