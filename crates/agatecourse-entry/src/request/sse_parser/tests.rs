use super::*;
use googletest::prelude::*;

/// Guards against events that are lost or split when a read ends at any position inside them.
#[gtest]
fn finds_the_same_events_for_every_split() {
    let text = b"id: 1\ndata: one\n\n: note\n\nid: 2\r\ndata: two\r\n\r\ndata: [DONE]\n\n";
    for split in 0..text.len() {
        let mut parser = SseParser::default();
        let mut events = Vec::new();
        for half in [&text[..split], &text[split..]] {
            parser.push(half);
            while let Some(event) = parser.next_event() {
                events.push((event.id, event.data));
            }
        }
        let expected = vec![
            (Some(1), Bytes::from("one")),
            (Some(2), Bytes::from("two")),
            (None, Bytes::from("[DONE]")),
        ];
        expect_that!(events, eq(&expected), "split at {split}");
    }
}
