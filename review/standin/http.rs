//! Reading of HTTP/1.1 messages from blocking sockets.

use std::io::Read;
use std::net::TcpStream;

pub struct Message {
    pub start_line: String,
    head: String,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.head, name)
    }
}

pub fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let lines = head.lines().filter_map(|line| line.split_once(':'));
    lines.filter(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.trim()).next()
}

/// Reads more bytes into a buffer; returns false at the end of the connection or after an error.
pub fn fill(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> bool {
    let mut bytes = [0_u8; 16 * 1024];
    match stream.read(&mut bytes) {
        Ok(read) if read > 0 => {
            buffer.extend_from_slice(&bytes[..read]);
            true
        }
        _ => false,
    }
}

pub fn position(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|window| window == pattern)
}

/// Removes the head of a message from a buffer, which is filled from the connection.
pub fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<String> {
    loop {
        if let Some(end) = position(buffer, b"\r\n\r\n") {
            let head: Vec<u8> = buffer.drain(..end + 4).collect();
            return Some(String::from_utf8_lossy(&head).into_owned());
        }
        if !fill(stream, buffer) {
            return None;
        }
    }
}

/// Reads a request whose body has a length; `None` at the end of the connection.
pub fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Message> {
    let head = read_head(stream, buffer)?;
    let length = header(&head, "content-length").map_or(0, |text| text.parse().unwrap_or(0));
    while buffer.len() < length {
        if !fill(stream, buffer) {
            return None;
        }
    }
    let body = buffer.drain(..length).collect();
    let start_line = head.lines().next().unwrap_or_default().to_string();
    Some(Message { start_line, head, body })
}
