use super::*;
use googletest::prelude::*;

/// Guards against treating a truncated or failed stream as a complete response.
#[gtest]
fn distinguishes_complete_from_truncated_and_failed_streams() {
    let document = r#"{"choices":[{"delta":{"content":"4 panes"}}]}"#;
    let chunk = format!("id: 1\ndata: {document}\n\n");
    let table = [
        (format!("{chunk}data: [DONE]\n\n"), "4 panes", true, false),
        (chunk.clone(), "4 panes", false, false),
        (format!("{chunk}event: error\ndata: {{\"code\":3003}}\n\n"), "4 panes", false, true),
        (String::new(), "", false, false),
    ];
    for (body, text, is_done, is_failed) in table {
        let expected = ChatEvents { text: text.to_string(), is_done, is_failed };
        expect_that!(ChatEvents::parse(&body), eq(&expected), "{body:?}");
    }
}
