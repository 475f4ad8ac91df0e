//! Tests of message heads, chunked bodies and event streams.

use agatecourse_gateway::connection::{ChunkedDecoder, parse_request_head, parse_response_head};
use agatecourse_gateway::request::EventSplitter;
use bytes::BytesMut;
use googletest::prelude::*;
use proptest::prelude::{ProptestConfig, any, prop, prop_assert, prop_assert_eq, proptest};

/// Guards against request smuggling through an ambiguous body length.
#[gtest]
fn ambiguous_lengths_are_refused() {
    let heads = [
        "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length: 5\r\nContent-Length: 6\r\n",
        "Content-Length: +5\r\n",
        "Content-Length: 5, 5\r\n",
        "Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: identity\r\n",
    ];
    for lines in heads {
        let head = format!("POST /a HTTP/1.1\r\nHost: h\r\n{lines}\r\n");
        expect_that!(parse_request_head(head.as_bytes()), err(anything()), "{}", lines);
    }
    let http_1_0 = b"POST /a HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n";
    expect_that!(parse_request_head(http_1_0), err(anything()));
}

/// Guards against forwarding hop-by-hop headers, including those that `Connection` lists.
#[gtest]
fn hop_by_hop_headers_are_not_forwarded() -> googletest::Result<()> {
    let bytes =
        b"GET /a HTTP/1.1\r\nHost: h\r\nConnection: close, X-Hop\r\nX-Hop: 1\r\nTE: trailers\r\n\
        Keep-Alive: timeout=5\r\nX-End: 2\r\n\r\n";
    let parsed = parse_request_head(bytes).ok().flatten();
    let Some((head, length)) = parsed else { return fail!("head was not parsed") };
    let mut out = Vec::new();
    head.headers.write_end_to_end(&mut out, |_| false);
    expect_that!(String::from_utf8_lossy(&out), eq("Host: h\r\nX-End: 2\r\n"));
    expect_that!(head.closes, eq(true));
    expect_that!(length, eq(bytes.len()));
    Ok(())
}

/// Guards against malformed chunk sizes, which another parser might interpret differently.
#[gtest]
fn malformed_chunks_are_refused() {
    for body in
        ["x\r\n", "-1\r\n", "+5\r\nhello\r\n", "5\r\nhelloXX", "\r\n", "ffffffffffffffffff\r\n"]
    {
        let (mut decoder, mut input, mut output) =
            (ChunkedDecoder::new(), BytesMut::from(body), Vec::new());
        expect_that!(decoder.decode(&mut input, &mut output), err(anything()), "{:?}", body);
    }
}

/// Guards against treating a response without a length as empty, and a 204 response as one with a body.
#[gtest]
fn response_framing_follows_its_head() {
    let parse =
        |text: &str, method: &str| parse_response_head(text.as_bytes(), method).ok().flatten();
    let without_length =
        parse("HTTP/1.1 200 OK\r\n\r\n", "GET").map(|(head, _)| format!("{head:?}"));
    expect_that!(without_length, some(contains_substring("UntilClose")));
    let no_content =
        parse("HTTP/1.1 204 No Content\r\n\r\n", "GET").map(|(head, _)| format!("{head:?}"));
    expect_that!(no_content, some(contains_substring("Length(0)")));
}

/// Guards against a response whose status is none being passed on, by any reader of responses: targets, other nodes and the store.
#[gtest]
fn impossible_statuses_are_refused() {
    let parse = |status: &str| {
        let text = format!("HTTP/1.1 {status} Odd\r\nContent-Length: 4\r\n\r\n");
        parse_response_head(text.as_bytes(), "GET")
    };
    for status in ["000", "001", "099", "101", "600", "999"] {
        expect_that!(parse(status), err(anything()), "{status}");
    }
    for status in ["100", "103", "200", "299", "502", "599"] {
        expect_that!(parse(status), ok(some(anything())), "{status}");
    }
}

/// Guards against forwarding incomplete events, and against losing the event id needed to resume a stream.
#[gtest]
fn only_complete_events_are_forwarded() {
    let mut splitter = EventSplitter::new();
    expect_that!(splitter.push(b"id: 1\ndata: a\n\nid: 2\nda"), ok(eq(b"id: 1\ndata: a\n\n")));
    expect_that!(splitter.last_id(), some(eq("1")));
    expect_that!(splitter.has_partial_event(), eq(true));
    splitter.drop_partial_event();
    expect_that!(splitter.push(b"id: 2\r\ndata: b\r\n\r\n"), ok(eq(b"id: 2\r\ndata: b\r\n\r\n")));
    expect_that!(splitter.last_id(), some(eq("2")));
}

/// Encodes parts in the chunked transfer coding, with chunk extensions and a trailer.
fn chunked(parts: &[Vec<u8>]) -> Vec<u8> {
    let mut out = Vec::new();
    for part in parts.iter().filter(|part| !part.is_empty()) {
        out.extend_from_slice(format!("{:x};note=1\r\n", part.len()).as_bytes());
        out.extend_from_slice(part);
        out.extend_from_slice(b"\r\n");
    }
    out.extend_from_slice(b"0\r\nTrailer: x\r\n\r\n");
    out
}

/// Guards against the end of an event that is missed because it arrives in two reads.
#[gtest]
fn event_that_ends_in_two_reads_is_complete() {
    for text in ["data: a\n\n", "data: a\r\n\r\n"] {
        for cut in 1..text.len() {
            let mut splitter = EventSplitter::new();
            expect_that!(splitter.push(&text.as_bytes()[..cut]), ok(is_empty()), "{cut}");
            expect_that!(splitter.push(&text.as_bytes()[cut..]), ok(eq(text.as_bytes())), "{cut}");
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    /// Guards against a decoded body that depends on how the input is split into reads.
    #[test]
    fn chunked_decoding_is_independent_of_read_sizes(
        parts in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..40), 0..6),
        read_size in 1_usize..9,
    ) {
        let (mut decoder, mut input, mut output) = (ChunkedDecoder::new(), BytesMut::new(), Vec::new());
        for read in chunked(&parts).chunks(read_size) {
            input.extend_from_slice(read);
            prop_assert!(decoder.decode(&mut input, &mut output).is_ok());
        }
        prop_assert!(decoder.is_done());
        prop_assert_eq!(output, parts.concat());
    }

    /// Guards against parsers that panic on arbitrary input.
    #[test]
    fn parsers_accept_arbitrary_bytes_without_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = parse_request_head(&bytes);
        let _ = parse_response_head(&bytes, "GET");
        let _ = ChunkedDecoder::new().decode(&mut BytesMut::from(&bytes[..]), &mut Vec::new());
        let mut splitter = EventSplitter::new();
        let mut forwarded = splitter.push(&bytes).expect("the event is short");
        forwarded.extend(splitter.push(b"\n\n").expect("the event is short"));
        prop_assert!(forwarded.len() <= bytes.len() + 2);
    }
}
