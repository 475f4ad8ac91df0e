use super::*;
use crate::PeerMessage;
use googletest::prelude::*;
use proptest::prelude::*;

fn sample() -> Envelope {
    Envelope::new("node-a", 7).with_body(PeerMessage::FetchConfig { at_least: 3, offset_bytes: 0 })
}

/// Guards against accepting messages of another release or with trailing bytes.
#[gtest]
fn rejects_unknown_versions_and_trailing_bytes() {
    let mut bytes = encode_stream(&sample()).expect("sample encodes");
    bytes.push(0);
    expect_that!(decode_stream(&bytes), eq(&Err(CodecError::TrailingBytes { count: 1 })));
    bytes.pop();
    bytes[0] = 99;
    expect_that!(decode_stream(&bytes), eq(&Err(CodecError::UnknownVersion { found: 99 })));
    expect_that!(decode_stream(&[]), eq(&Err(CodecError::Empty)));
    expect_that!(decode_datagram(&vec![1; DATAGRAM_LIMIT_BYTES + 1]).is_err(), is_true());
}

proptest! {
    /// Guards against a panic or an unbounded allocation on arbitrary input.
    #[test]
    fn arbitrary_bytes_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..2048)) {
        if let Ok(message) = decode_stream(&bytes) {
            prop_assert!(encode_stream(&message).is_ok());
        }
    }

    /// Guards against a panic on messages that are truncated and have one changed byte.
    #[test]
    fn damaged_messages_never_panic(length in 0_usize..64, position in 0_usize..64, value in any::<u8>()) {
        let mut bytes = encode_stream(&sample()).expect("sample encodes");
        let position = position % bytes.len();
        bytes[position] = value;
        bytes.truncate(length);
        let _ = decode_stream(&bytes);
    }
}
