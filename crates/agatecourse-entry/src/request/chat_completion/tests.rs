use super::*;
use googletest::prelude::*;

/// Guards against text, tool calls or usage that are lost when chunks are merged.
#[gtest]
fn joins_text_tool_calls_and_usage() {
    let mut answer = ChatCompletion::default();
    for chunk in [
        r#"{"id":"c","object":"chat.completion.chunk","choices":[{"index":0,"delta":{"role":"assistant","content":"a"}}]}"#,
        r#"{"id":"c","choices":[{"index":0,"delta":{"content":"b","tool_calls":[{"index":0,"id":"t","function":{"name":"f","arguments":"{"}}]},"finish_reason":null}]}"#,
        r#"{"id":"c","choices":[{"index":0,"delta":{"tool_calls":[{"index":0,"function":{"arguments":"}"}}]},"finish_reason":"stop"}],"usage":{"completion_tokens":2}}"#,
    ] {
        answer.add(chunk.as_bytes()).unwrap();
    }
    let found: Value = serde_json::from_slice(&answer.finish()).unwrap();
    let expected = serde_json::json!({
        "id": "c", "object": "chat.completion", "usage": {"completion_tokens": 2},
        "choices": [{"index": 0, "finish_reason": "stop", "message": {
            "role": "assistant", "content": "ab",
            "tool_calls": [{"index": 0, "id": "t", "function": {"name": "f", "arguments": "{}"}}]
        }}]
    });
    expect_that!(found, eq(&expected));
}
