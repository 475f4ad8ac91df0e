//! Tests of the program `agatecourse-standin` as a process.

use googletest::prelude::*;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

struct Program {
    child: Child,
    address: SocketAddr,
}

impl Program {
    fn start(arguments: &[&str]) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_agatecourse-standin"))
            .args(arguments)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let mut line = String::new();
        let output = child.stdout.take().expect("the output is piped");
        BufReader::new(output).read_line(&mut line).expect("the first line is read");
        let line: serde_json::Value = serde_json::from_str(&line).expect("the line is JSON");
        let address = line["listening"].as_str().expect("the address is a text");
        Self { child, address: address.parse().expect("the address has a port") }
    }

    fn request(&self, head: &str, body: &str) -> String {
        let mut stream = TcpStream::connect(self.address).expect("the port is open");
        stream.set_read_timeout(Some(Duration::from_secs(5))).expect("the limit is set");
        let length = body.len();
        let text = format!(
            "{head} HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n{body}"
        );
        stream.write_all(text.as_bytes()).expect("the request is sent");
        let mut answer = String::new();
        // A crash resets the connection; the test checks what was read until then.
        let _ = stream.read_to_string(&mut answer);
        answer
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        // Both calls fail only when the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Guards against a sub-command that does not start, or that starts the wrong stand-in.
#[gtest]
fn each_sub_command_serves_its_protocol() {
    let table = [
        ("engine", "GET /v1/state", "", "\"v1\":\"loaded\""),
        ("service", "POST /orders", "2 panes", "\"path\":\"/orders\""),
        ("table", "POST /v3/kv/range", r#"{"key":"YQ=="}"#, "\"revision\":\"1\""),
        ("object-store", "GET /audit/moves", "", "404 Not Found"),
        ("weight-store", "GET /v1/weights/model/v1", "", "\"size_bytes\""),
        ("vm-list", "GET /v1/vms", "", "[]"),
    ];
    for (command, head, body, expected) in table {
        let program = Program::start(&[command]);
        expect_that!(program.request(head, body), contains_substring(expected), "{command}");
    }
}

/// Guards against a crash that leaves the process running.
#[gtest]
fn a_crash_ends_the_process_with_its_status() {
    let mut program = Program::start(&["--faults", r#"{"crash_marker":"XCRASHX"}"#, "service"]);
    expect_that!(program.request("POST /orders", "2 panes"), contains_substring("200 OK"));
    expect_that!(program.request("POST /orders", "XCRASHX"), eq(""));
    let start = Instant::now();
    let status = loop {
        match program.child.try_wait().expect("the process can be watched") {
            Some(status) => break status,
            None if start.elapsed() > Duration::from_secs(5) => panic!("the process still runs"),
            None => std::thread::sleep(Duration::from_millis(10)),
        }
    };
    expect_that!(status.code(), some(eq(70)));
}
