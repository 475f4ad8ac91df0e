//! Messages between agatecourse nodes and their codec.
//!
//! Messages are postcard-encoded behind one version byte. Decoding rejects unknown versions, oversized
//! input and trailing bytes, so that a message from another release or a damaged one is dropped as a whole.
//!
//! ```
//! use agatecourse_wire::{Envelope, PeerMessage, decode_stream, encode_stream};
//!
//! let message = Envelope::new("node-a", 7).with_body(PeerMessage::FetchConfig { at_least: 3, offset_bytes: 0 });
//! let encoded = encode_stream(&message)?;
//! assert_eq!(decode_stream(&encoded)?, message);
//! # Ok::<(), agatecourse_wire::CodecError>(())
//! ```

mod codec;
mod envelope;
mod peer_message;
pub mod process;
pub mod request;

pub use codec::{
    CodecError, DATAGRAM_LIMIT_BYTES, STREAM_LIMIT_BYTES, decode_datagram, decode_stream,
    encode_datagram, encode_stream,
};
pub use envelope::Envelope;
pub use peer_message::PeerMessage;
