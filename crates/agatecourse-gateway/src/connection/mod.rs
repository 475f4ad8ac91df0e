//! HTTP/1.1 messages, connections of callers and connections to targets.

mod body;
mod caller;
mod caller_writer;
mod complete_response;
mod head;
mod header_names;
mod peer_watch;
mod simple_client;
mod socket_options;
mod target_connection;
mod target_pool;
mod target_stream;
mod tcp_state;
mod tunnel;

pub(crate) use body::{BodyFraming, BodyReader, read_some};
pub(crate) use caller::serve_caller;
pub(crate) use caller_writer::write_to_caller;
pub(crate) use complete_response::{CompleteResponse, has_no_body, unparsed_method};
pub(crate) use head::MAX_RESPONSE_HEAD_BYTES;
pub use head::{
    HeadError, Headers, RequestHead, ResponseHead, parse_request_head, parse_response_head,
};
pub use header_names::HeaderNames;
pub(crate) use peer_watch::{Disconnect, PeerWatch, WATCH_INTERVAL, wait_until_lost};
pub(crate) use simple_client::Call;
pub use simple_client::{CallError, SimpleClient};
pub(crate) use socket_options::{set_socket_options, set_user_timeout};
pub(crate) use target_connection::{ResponseError, TargetConnection};
pub(crate) use target_pool::TargetPool;
pub(crate) use target_stream::TargetStream;
pub(crate) use tcp_state::TcpState;
pub(crate) use tunnel::{
    NODE_HEADER, NODE_START_HEADER, TARGET_START_HEADER, TUNNEL_PATH_PREFIX, TunnelError,
    TunnelLink, TunnelTarget, connect_through,
};

// Public because fuzzing and property tests decode bodies without a socket.
pub use body::{BodyError, ChunkedDecoder};
