use crate::ini::{Document, Section};
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

/// Reads typed values of one section and records a fault for each that is missing, malformed or unknown.
///
/// Methods return a placeholder after a fault, so that one pass finds all faults.
pub struct SectionReader<'a> {
    document: &'a mut Document,
    section: Section,
    is_read: Vec<bool>,
}

impl<'a> SectionReader<'a> {
    /// Creates a reader for a section.
    pub fn new(document: &'a mut Document, section: Section) -> Self {
        let is_read = vec![false; section.entries.len()];
        Self { document, section, is_read }
    }

    /// Returns the part of the header after the first dot.
    pub fn name(&mut self) -> String {
        match self.section.name.clone() {
            Some(name) if is_identifier(&name) => name,
            _ => {
                let message = format!(
                    "expected a name of letters, digits, `-` and `_` as in `[{}.name]`",
                    self.section.kind
                );
                self.add_fault(self.section.line, message);
                String::new()
            }
        }
    }

    /// Reads a required text that must not be empty.
    pub fn text(&mut self, key: &str, expected: &str) -> String {
        self.required(key, expected, |value| (!value.is_empty()).then(|| value.to_string()))
    }

    /// Reads an optional text; an empty one counts as missing.
    pub fn optional_text(&mut self, key: &str) -> Option<String> {
        self.read_entry(key).map(|(_, value)| value).filter(|value| !value.is_empty())
    }

    /// Reads a required list, separated by commas, that must not be empty.
    pub fn list(&mut self, key: &str, expected: &str) -> Vec<String> {
        self.required(key, expected, |value| {
            Some(split_list(value)).filter(|list| !list.is_empty())
        })
    }

    /// Reads an optional list, separated by commas; empty when the key is missing.
    pub fn optional_list(&mut self, key: &str) -> Vec<String> {
        self.read_entry(key).map(|(_, value)| split_list(&value)).unwrap_or_default()
    }

    /// Reads a number from `lowest` to `highest`, or the default when the key is missing.
    pub fn number<T>(&mut self, key: &str, default: T, lowest: T, highest: T) -> T
    where
        T: FromStr + PartialOrd + Copy + std::fmt::Display,
    {
        let expected = format!("a number from {lowest} to {highest}");
        let in_range =
            |value: &str| value.parse().ok().filter(|number| (lowest..=highest).contains(number));
        self.optional(key, &expected, in_range).unwrap_or(default)
    }

    /// Reads `yes` or `no`, or the default when the key is missing.
    pub fn flag(&mut self, key: &str, default: bool) -> bool {
        self.optional(key, "`yes` or `no`", parse_flag).unwrap_or(default)
    }

    /// Reads a required `yes` or `no`.
    pub fn required_flag(&mut self, key: &str) -> bool {
        self.required(key, "`yes` or `no`", parse_flag)
    }

    /// Reads milliseconds, at least 1, or the default when the key is missing.
    pub fn milliseconds(&mut self, key: &str, default: Duration) -> Duration {
        let expected = "milliseconds from 1 to 86,400,000, written without separators";
        self.optional(key, expected, |value| {
            let milliseconds =
                value.parse().ok().filter(|number| (1..=86_400_000).contains(number));
            milliseconds.map(Duration::from_millis)
        })
        .unwrap_or(default)
    }

    /// Reads a required IP address with a port.
    pub fn address(&mut self, key: &str) -> SocketAddr {
        let parsed = self.required(key, "an IP address with a port as in 10.0.0.1:8080", |value| {
            value.parse().ok().map(Some)
        });
        parsed.unwrap_or_else(|| SocketAddr::from(([0, 0, 0, 0], 0)))
    }

    /// Reads a required value with a parser that returns `None` for a malformed value.
    pub fn required<T: Default>(
        &mut self,
        key: &str,
        expected: &str,
        parse: impl FnOnce(&str) -> Option<T>,
    ) -> T {
        if !self.section.entries.iter().any(|entry| entry.key == key) {
            self.add_fault(
                self.section.line,
                format!("key `{key}` is missing; expected {expected}"),
            );
            return T::default();
        }
        self.optional(key, expected, parse).unwrap_or_default()
    }

    /// Reads an optional value with a parser that returns `None` for a malformed value.
    pub fn optional<T>(
        &mut self,
        key: &str,
        expected: &str,
        parse: impl FnOnce(&str) -> Option<T>,
    ) -> Option<T> {
        let (line, value) = self.read_entry(key)?;
        let parsed = parse(&value);
        if parsed.is_none() {
            self.add_fault(line, format!("`{key} = {value}` is not valid; expected {expected}"));
        }
        parsed
    }

    /// Records a fault at the line of a key, or at the section's header when the key is missing.
    pub fn fault_at(&mut self, key: &str, message: String) {
        let entry = self.section.entries.iter().find(|entry| entry.key == key);
        let line = entry.map_or(self.section.line, |entry| entry.line);
        self.add_fault(line, message);
    }

    /// Records a fault for each key that was not read.
    pub fn finish(mut self, known_keys: &str) {
        let unread: Vec<(u32, String)> = self
            .section
            .entries
            .iter()
            .zip(&self.is_read)
            .filter(|(_, is_read)| !**is_read)
            .map(|(entry, _)| (entry.line, entry.key.clone()))
            .collect();
        for (line, key) in unread {
            self.add_fault(line, format!("unknown key `{key}`; expected one of {known_keys}"));
        }
    }

    fn read_entry(&mut self, key: &str) -> Option<(u32, String)> {
        let position = self.section.entries.iter().position(|entry| entry.key == key)?;
        self.is_read[position] = true;
        let entry = &self.section.entries[position];
        Some((entry.line, entry.value.clone()))
    }

    fn add_fault(&mut self, line: u32, message: String) {
        let header = self.section.header.clone();
        self.document.add_fault(line, &header, message);
    }
}

fn is_identifier(text: &str) -> bool {
    let is_allowed =
        |character: char| character.is_ascii_alphanumeric() || "-_".contains(character);
    !text.is_empty() && text.len() <= 64 && text.chars().all(is_allowed)
}

fn parse_flag(value: &str) -> Option<bool> {
    match value {
        "yes" => Some(true),
        "no" => Some(false),
        _ => None,
    }
}

fn split_list(value: &str) -> Vec<String> {
    value.split(',').map(|item| item.trim().to_string()).filter(|item| !item.is_empty()).collect()
}
