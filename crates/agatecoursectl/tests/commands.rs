//! Runs the program against the table stand-in and an operators' address.

use agatecourse_standin::{Standin, TableSettings};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use googletest::prelude::*;
use std::io::{Read, Write};
use std::net::TcpListener;
use std::path::Path;
use std::process::{Command, Output};

fn run_ctl(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_agatecoursectl")).args(arguments).output().expect("runs")
}

fn status(output: &Output) -> i32 {
    output.status.code().expect("ended by itself")
}

fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

fn config(name: &str) -> String {
    format!(
        "[fleet]\nname = {name}\nregion = local\nzones = a\n[tier.urgent]\nrank = 0\n\
         deadline_ms = 30000\n[organisation.branch]\nweight = 2\n[caller.desk]\n\
         organisation = branch\ntier = urgent\nkey_sha256 = {}\n[route.quotes]\nkind = model\n\
         idempotent = yes\n[target.e1]\nroutes = quotes\nzone = a\naddress = 127.0.0.1:9001\n",
        "a".repeat(64)
    )
}

fn write(directory: &Path, name: &str, text: &str) -> String {
    let path = directory.join(name);
    std::fs::write(&path, text).expect("writable directory");
    path.display().to_string()
}

/// Guards against key commands that lose a key or don't show when one expires.
#[gtest]
fn keys_are_made_issued_rotated_and_shown() -> googletest::Result<()> {
    let directory = tempfile::tempdir().or_fail()?;
    let keys = directory.path().join("keys").display().to_string();
    let at = ["--directory", keys.as_str()];
    let deployment = ["--deployment", "kaewkla"];
    let run = |command: &[&str]| run_ctl(&[&["keys"], command, &at].concat());
    expect_that!(status(&run(&["issue", "node-a"])), eq(1));
    expect_that!(status(&run(&[&["make"], &deployment[..]].concat())), eq(0));
    expect_that!(status(&run(&["issue", "node-a"])), eq(0));
    let again = run(&[&["make"], &deployment[..]].concat());
    expect_that!(status(&again), eq(1));
    expect_that!(stderr(&again), contains_substring("already exists"));
    expect_that!(status(&run(&[&["rotate"], &deployment[..]].concat())), eq(0));
    let shown = stdout(&run(&["show"]));
    for expected in ["DAYS_LEFT", "kaewkla 1", "kaewkla 2", "node-a"] {
        expect_that!(shown, contains_substring(expected));
    }
    Ok(())
}

/// Guards against a put that overwrites the change of another operator or accepts an invalid file.
#[gtest]
fn config_put_is_conditional() -> googletest::Result<()> {
    let directory = tempfile::tempdir().or_fail()?;
    let table = TableSettings::new().start(Standin::EPHEMERAL).or_fail()?;
    let address = table.address().to_string();
    let at = ["--table", address.as_str()];
    let run = |command: &[&str]| run_ctl(&[&["config"], command, &at].concat());
    let first = write(directory.path(), "first.ini", &config("first"));
    let second = write(directory.path(), "second.ini", &config("second"));
    let broken = write(directory.path(), "broken.ini", "[fleet]\nname = x\n");

    expect_that!(status(&run(&["show"])), eq(8));
    expect_that!(status(&run_ctl(&["config", "check", &first])), eq(0));
    let invalid = run(&["put", &broken]);
    expect_that!(status(&invalid), eq(3));
    expect_that!(stderr(&invalid), contains_substring("key `zones` is missing"));
    expect_that!(status(&run(&["put", &first])), eq(0));
    expect_that!(status(&run(&["put", &second, "--base", "1"])), eq(0));
    let conflict = run(&["put", &first, "--base", "1"]);
    expect_that!(status(&conflict), eq(4));
    expect_that!(stderr(&conflict), contains_substring("version 2 is in force"));

    expect_that!(stdout(&run(&["show"])), contains_substring("name = second"));
    expect_that!(stdout(&run(&["show", "--version", "1"])), contains_substring("name = first"));
    let diff = stdout(&run(&["diff", "1", "current"]));
    expect_that!(diff, contains_substring("-name = first\n+name = second"));
    expect_that!(stdout(&run(&["diff", "1", &first])), contains_substring("no difference"));
    let history = run_ctl(&["--json", "config", "history", "--table", &address]);
    let history: serde_json::Value = serde_json::from_str(&stdout(&history)).or_fail()?;
    expect_that!(history["versions"][1]["state"].as_str(), some(eq("current")));
    expect_that!(history["versions"].as_array().or_fail()?.len(), eq(2));
    Ok(())
}

/// Guards against an outage that is reported as success or as a conflict.
#[gtest]
fn outage_has_its_own_status() -> googletest::Result<()> {
    let directory = tempfile::tempdir().or_fail()?;
    let file = write(directory.path(), "first.ini", &config("first"));
    let table = TableSettings::new().start(Standin::EPHEMERAL).or_fail()?;
    let address = table.address().to_string();
    table.change_faults(&serde_json::json!({"outage": true})).or_fail()?;
    let failed = run_ctl(&["config", "put", &file, "--table", &address]);
    expect_that!(status(&failed), eq(5));
    expect_that!(stderr(&failed), contains_substring("nothing was changed"));
    Ok(())
}

/// Guards against a change that is reported as failed because its answer was lost, or as applied although another
/// operator's change replaced it.
#[gtest]
fn lost_answer_is_read_back() -> googletest::Result<()> {
    let directory = tempfile::tempdir().or_fail()?;
    let text = config("first");
    let file = write(directory.path(), "first.ini", &text);
    let found = [Some(text), Some(config("other")), None];
    for (row, expected) in found.into_iter().zip([0, 4, 6]) {
        let listener = TcpListener::bind("127.0.0.1:0").or_fail()?;
        let address = listener.local_addr().or_fail()?.to_string();
        std::thread::spawn(move || serve_lost_answer(&listener, row.as_deref()));
        let output = run_ctl(&["config", "put", &file, "--table", &address]);
        expect_that!(status(&output), eq(expected), "{}", stderr(&output));
    }
    Ok(())
}

/// Serves an empty table that loses the answer to each transaction and has `row` in `config/1` afterwards.
fn serve_lost_answer(listener: &TcpListener, row: Option<&str>) {
    let mut committed = false;
    for stream in listener.incoming() {
        let mut stream = stream.expect("a connection");
        let mut buffer = [0; 16_384];
        let size = stream.read(&mut buffer).expect("a request");
        if buffer[..size].starts_with(b"POST /v3/kv/txn") {
            committed = true;
            continue;
        }
        let encode = |text: &str| STANDARD.encode(text);
        let rows = row.filter(|_| committed).map(|row| {
            let revision = "2";
            serde_json::json!([{"key": encode("config/1"), "value": encode(row),
                "mod_revision": revision, "create_revision": revision, "version": "1"}])
        });
        let body =
            serde_json::json!({"header": {"revision": "2"}, "kvs": rows.unwrap_or_default()});
        let body = body.to_string().replace("\"kvs\":null", "\"kvs\":[]");
        let head = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\nconnection: close\r\n";
        write!(stream, "{head}content-length: {}\r\n\r\n{body}", body.len()).expect("open");
    }
}

/// Guards against requests without the token and answers that map to the wrong exit status.
#[gtest]
fn node_commands_send_the_token_and_report_refusals() -> googletest::Result<()> {
    let directory = tempfile::tempdir().or_fail()?;
    let token = write(directory.path(), "token", "secret\n");
    let dump = r#"{"node":"node-a","zone":"a","membership":{"members":[{"node":"node-b","state":"alive"}]}}"#;
    let table = [
        ("200 OK", dump, vec!["status"], 0, "node-b"),
        ("200 OK", "{}", vec!["drain", "engine/1"], 0, "engine/1 gets no new requests"),
        ("200 OK", "{}", vec!["release", "00000000000000aa"], 0, "is released"),
        ("401 Unauthorized", r#"{"detail":"wrong token"}"#, vec!["status"], 7, "wrong token"),
        ("404 Not Found", r#"{"detail":"unknown"}"#, vec!["explain", "00"], 8, "not found"),
    ];
    for (line, body, command, expected, text) in table {
        let listener = TcpListener::bind("127.0.0.1:0").or_fail()?;
        let address = listener.local_addr().or_fail()?.to_string();
        let server = std::thread::spawn(move || {
            let (mut stream, _) = listener.accept().expect("a connection");
            let mut buffer = [0; 4096];
            let size = stream.read(&mut buffer).expect("a request");
            let length = body.len();
            let head = format!("HTTP/1.1 {line}\r\ncontent-type: application/json\r\n");
            write!(stream, "{head}content-length: {length}\r\n\r\n{body}").expect("open");
            String::from_utf8_lossy(&buffer[..size]).into_owned()
        });
        let options = ["--node", address.as_str(), "--token-file", token.as_str()];
        let output = run_ctl(&[&command[..], &options].concat());
        let request = server.join().expect("served").to_lowercase();
        expect_that!(request, contains_substring("authorization: bearer secret\r\n"));
        expect_that!(status(&output), eq(expected), "{}", stderr(&output));
        expect_that!(stdout(&output) + &stderr(&output), contains_substring(text));
    }
    let options = ["--node", "127.0.0.1:1", "--token-file", token.as_str()];
    expect_that!(status(&run_ctl(&[&["status"], &options[..]].concat())), eq(5));
    Ok(())
}

/// Log of two nodes: request `ab12`, whose target `t-1` was removed, another request, a change of `t-1` outside the time
/// window, a queue owner change and the removal of an unrelated target.
const LOG: &str = r#"
 12.0 node-a {"msg":"target changed","ts":"2026-08-11T06:31:00Z","node":"node-a","target":"t-1","draining":false}
 34.1 node-a {"msg":"target removed","ts":"2026-08-11T06:31:22.5Z","node":"node-a","target":"t-1"}
not a log line
{"msg":"attempt ended without an answer","ts":"2026-08-11T06:31:22.25Z","node":"node-a","request":"ab12","target":"t-1","owner":"node-b","end":"lost"}
{"msg":"request ended","ts":"2026-08-11T06:31:22.3Z","node":"node-a","request":"ab12","code":3000,"reason":"connection ended before the answer"}
{"msg":"request ended","ts":"2026-08-11T06:31:22.3Z","node":"node-a","request":"ffff","code":200}
{"msg":"queue owner changed","ts":"2026-08-11T06:31:21.123456789Z","node":"node-b","to":"node-b"}
{"msg":"target removed","ts":"2026-08-11T06:31:22Z","node":"node-a","target":"t-9"}
"#;

/// Guards against a trace without the cause of the failure: the lines for a removed target or a changed queue owner have no
/// request id.
#[gtest]
fn trace_includes_related_target_and_queue_lines() -> googletest::Result<()> {
    let directory = tempfile::tempdir().or_fail()?;
    let file = write(directory.path(), "nodes.log", LOG);
    let output = run_ctl(&["--json", "trace", "ab12", &file]);
    expect_that!(status(&output), eq(0), "{}", stderr(&output));
    let trace: serde_json::Value = serde_json::from_str(&stdout(&output)).or_fail()?;
    let lines = trace["lines"].as_array().or_fail()?;
    let events: Vec<&str> = lines.iter().filter_map(|line| line["event"].as_str()).collect();
    expect_that!(
        events,
        elements_are![
            eq(&"queue owner changed"),
            eq(&"attempt ended without an answer"),
            eq(&"request ended"),
            eq(&"target removed")
        ]
    );
    expect_that!(lines[1]["details"].as_str().or_fail()?, contains_substring("end=lost"));
    expect_that!(stderr(&output), contains_substring("1 lines are no log lines"));
    Ok(())
}

/// Guards against an empty trace with status 0 for an unknown request id.
#[gtest]
fn trace_of_unknown_request_fails() -> googletest::Result<()> {
    let directory = tempfile::tempdir().or_fail()?;
    let file = write(directory.path(), "nodes.log", LOG);
    expect_that!(status(&run_ctl(&["trace", "0000", &file])), eq(8));
    expect_that!(status(&run_ctl(&["trace", "ab12", "no-such-file"])), eq(1));
    Ok(())
}

/// A configuration for the hosting platform with one route at `prefix`.
fn platform_config(version: u64, prefix: &str, service: &str) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"quotes\",\"host\":\"desk.example\",\"pathPrefix\":\"{prefix}\",\
         \"routeKind\":\"safe\",\"timeoutMs\":6000,\"sloMs\":600,\"service\":\"{service}\",\"maxAttempts\":2}}],\
         \"services\":[{{\"name\":\"writer\",\"maxConnections\":100}}]}}"
    )
}

/// Guards against a check that scripts can't read: the exit status tells sound from unsound, and the output names entry and field, or the
/// place of a syntax error.
#[gtest]
fn platform_configuration_is_checked_before_it_is_sent() -> googletest::Result<()> {
    let directory = tempfile::tempdir().or_fail()?;
    let in_force = write(directory.path(), "7.json", &platform_config(7, "/quotes/", "writer"));
    let next = write(directory.path(), "8.json", &platform_config(8, "/prices/", "writer"));
    let unsound = write(directory.path(), "9.json", &platform_config(9, "/prices", "lost"));
    let broken = write(directory.path(), "10.json", "{\"version\":10,\n\"routes\":7}");
    let output = run_ctl(&["config", "check", &next, "--against", &in_force]);
    expect_that!(status(&output), eq(0), "{}", stderr(&output));
    expect_that!(
        stdout(&output),
        contains_substring(
            "refuses: route quotes (desk.example/quotes/): removed; its requests get 404"
        )
    );
    let output = run_ctl(&["--json", "config", "check", &unsound]);
    expect_that!(status(&output), eq(3));
    let found: serde_json::Value = serde_json::from_str(&stderr(&output)).or_fail()?;
    expect_that!(found["errors"].as_u64(), some(eq(2)));
    let output = run_ctl(&["config", "check", &broken]);
    expect_that!(status(&output), eq(3));
    expect_that!(stderr(&output), contains_substring("line 2 column"));
    Ok(())
}
