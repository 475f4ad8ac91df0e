use crate::process::http_endpoint::ExchangeError;
use snafu::Snafu;

/// Error of a request to the object store, the weight store or the VM list.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum PlatformError {
    /// No byte of the request was sent.
    #[snafu(display("service unreachable, nothing sent: {detail}"))]
    Unreachable {
        /// Error of the HTTP client, for example a refused connection.
        detail: String,
    },
    /// The request may have been sent, and no complete response arrived; its outcome is unknown.
    #[snafu(display("no complete response: {detail}"))]
    NoResponse {
        /// Error of the HTTP client, for example a timeout or an incomplete body.
        detail: String,
    },
    /// The service responded with a status other than 2xx.
    #[snafu(display("service responded with status {status}: {detail}"))]
    Refused {
        /// HTTP status code.
        status: u16,
        /// First characters of the response body.
        detail: String,
    },
    /// A name can't be used in a path without percent-encoding; nothing was sent.
    #[snafu(display("invalid name {name:?}; expected letters, digits and any of - _ . /"))]
    InvalidName {
        /// The rejected bucket, key, model or version.
        name: String,
    },
    /// The response body isn't the expected JSON document.
    #[snafu(display("malformed response: {detail}"))]
    Malformed {
        /// Error of the JSON decoder, with its position.
        detail: String,
    },
}

impl From<ExchangeError> for PlatformError {
    fn from(failure: ExchangeError) -> Self {
        match failure {
            ExchangeError::NotSent(detail) => Self::Unreachable { detail },
            ExchangeError::NoResponse(detail) => Self::NoResponse { detail },
        }
    }
}
