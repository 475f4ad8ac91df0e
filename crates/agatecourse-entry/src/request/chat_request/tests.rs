use super::*;
use googletest::prelude::*;

/// Guards against fields that are lost or changed in the body for the engine.
#[gtest]
fn engine_body_keeps_other_fields_and_sets_stream() {
    let body = br#"{"temperature":0.50,"model":"quotes","messages":[{"role":"user","content":"pane"}],"stream":false}"#;
    let request = ChatRequest::parse(body).unwrap();
    expect_that!(request.stream, is_false());
    let engine_body = request.engine_body("m1");
    expect_that!(
        std::str::from_utf8(&engine_body).unwrap(),
        eq(
            r#"{"model":"m1","stream":true,"temperature":0.50,"messages":[{"role":"user","content":"pane"}]}"#
        )
    );
}

/// Guards against malformed bodies that are accepted, and against errors that do not name the field.
#[gtest]
fn malformed_bodies_are_rejected_with_the_field_name() {
    let table = [
        ("", "JSON object"),
        ("[]", "an object"),
        (r#"{"model":"a""#, "JSON object"),
        (r#"{"model":1,"messages":[{"content":"x"}]}"#, "`model`"),
        (r#"{"model":"a","stream":"yes","messages":[{"content":"x"}]}"#, "`stream`"),
        (r#"{"model":"a","max_tokens":-1,"messages":[{"content":"x"}]}"#, "`max_tokens`"),
        (r#"{"model":"a"}"#, "`messages`"),
        (r#"{"model":"a","messages":[]}"#, "at least one"),
        (r#"{"model":"a","messages":["x"]}"#, "an object"),
        (r#"{"model":"a","messages":[{"content":7}]}"#, "text, null or an array"),
        (r#"{"model":"a","model":"b","messages":[{"content":"x"}]}"#, "twice"),
    ];
    for (body, expected) in table {
        let error = ChatRequest::parse(body.as_bytes()).unwrap_err();
        expect_that!(error.code, eq(ResultCode::Malformed), "{body}");
        expect_that!(error.detail, contains_substring(expected), "{body}");
    }
}

/// Guards against prefix hashes that depend on how the text is divided into content parts.
#[gtest]
fn equal_prefixes_have_equal_hashes() {
    let text = "x".repeat(600);
    let whole = format!(r#"{{"model":"a","messages":[{{"content":"{text}"}}]}}"#);
    let parts = format!(
        r#"{{"model":"a","messages":[{{"content":[{{"text":"{}"}},{{"text":"{}"}}]}}]}}"#,
        &text[..100],
        &text[100..]
    );
    let whole = ChatRequest::parse(whole.as_bytes()).unwrap().prompt;
    expect_that!(whole.prefix_hashes.len(), eq(2));
    expect_that!(whole.tokens(), eq(150));
    let parts = ChatRequest::parse(parts.as_bytes()).unwrap().prompt;
    expect_that!(parts.prefix_hashes, eq(&whole.prefix_hashes));
}
