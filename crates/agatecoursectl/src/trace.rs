use crate::command_error::{CommandError, FileSnafu, NotFoundSnafu};
use crate::output::Output;
use serde_json::{Map, Value};
use snafu::{OptionExt, ResultExt};
use std::collections::BTreeSet;
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use time::format_description::well_known::Rfc3339;
use time::{Duration, OffsetDateTime};

/// Time before a request's first line in which a change of a target or queue owner may have affected it; targets are
/// removed and queues change their owner within a few seconds.
const WINDOW_BEFORE: Duration = Duration::seconds(5);
/// Time after a request's last line in which its cause may be logged.
const WINDOW_AFTER: Duration = Duration::seconds(2);
/// Fields with their request_lines column in the table, or irrelevant to the cause of an event.
const FIELDS_NOT_IN_DETAILS: [&str; 5] = ["ts", "node", "msg", "level", "request"];

type Fields = Map<String, Value>;

struct LogLine {
    time: OffsetDateTime,
    fields: Fields,
}

impl LogLine {
    /// Parses a JSON log line; a prefix before the first brace, as log collectors add it, is skipped.
    fn parse(line: &str) -> Option<Self> {
        let fields: Fields = serde_json::from_str(line.get(line.find('{')?..)?).ok()?;
        let time = OffsetDateTime::parse(fields.get("ts")?.as_str()?, &Rfc3339).ok()?;
        Some(Self { time, fields })
    }

    fn text(&self, field: &str) -> Option<&str> {
        self.fields.get(field)?.as_str()
    }

    fn row(&self) -> Vec<String> {
        let details = self.fields.iter().filter(|(name, value)| {
            !FIELDS_NOT_IN_DETAILS.contains(&name.as_str()) && !value.is_null() && **value != ""
        });
        let details: Vec<String> = details
            .map(|(name, value)| {
                value
                    .as_str()
                    .map_or_else(|| format!("{name}={value}"), |text| format!("{name}={text}"))
            })
            .collect();
        let column = |field| self.text(field).unwrap_or_default().to_string();
        vec![column("ts"), column("node"), column("msg"), details.join(" ")]
    }
}

/// Lists the log lines of a request from all nodes, with the changes of its targets, nodes and queue owner around that time.
///
/// Reads the files, or standard input when none is named. Other lines are counted and skipped.
///
/// # Errors
///
/// Returns [`CommandError::File`] when a file can't be read and [`CommandError::NotFound`] when no line has the request id.
pub fn trace(request: &str, files: &[PathBuf]) -> Result<Output, CommandError> {
    let mut lines = Vec::new();
    let mut unreadable = 0_usize;
    let mut read = |path: &PathBuf, source: &mut dyn BufRead| {
        for line in source.lines() {
            let line = line.context(FileSnafu { path })?;
            match LogLine::parse(&line) {
                // Most lines of a log belong to other requests; they are dropped to save memory.
                Some(line) if line.text("request").is_none_or(|id| id == request) => {
                    lines.push(line);
                }
                Some(_) => {}
                None => unreadable += usize::from(!line.trim().is_empty()),
            }
        }
        Ok::<(), CommandError>(())
    };
    if files.is_empty() {
        read(&PathBuf::from("standard input"), &mut std::io::stdin().lock())?;
    }
    for path in files {
        read(path, &mut BufReader::new(File::open(path).context(FileSnafu { path })?))?;
    }
    let what = || format!("a log line of request {request}");
    let related = select_related(request, lines).with_context(|| NotFoundSnafu { what: what() })?;
    let rows: Vec<Vec<String>> = related.iter().map(LogLine::row).collect();
    let output = Output::table("lines", &["time", "node", "event", "details"], &rows);
    if unreadable > 0 {
        eprintln!("{unreadable} lines are no log lines and were passed over");
    }
    Ok(output)
}

/// Returns the lines of a request and the related lines of its targets and nodes, sorted by time; `None` when no line has
/// the request id.
fn select_related(request: &str, lines: Vec<LogLine>) -> Option<Vec<LogLine>> {
    let request_lines = || lines.iter().filter(|line| line.text("request") == Some(request));
    let (first, last) = (
        request_lines().map(|line| line.time).min()?,
        request_lines().map(|line| line.time).max()?,
    );
    let named = |field: &'static str| request_lines().filter_map(move |line| line.text(field));
    let nodes: BTreeSet<String> =
        named("node").chain(named("owner")).map(ToString::to_string).collect();
    let targets: BTreeSet<String> = named("target").map(ToString::to_string).collect();
    let is_related = |line: &LogLine| match (line.text("request"), line.text("target")) {
        (Some(_), _) => true,
        (None, Some(target)) => targets.contains(target),
        (None, None) => line.text("node").is_some_and(|node| nodes.contains(node)),
    };
    let mut related: Vec<LogLine> = lines
        .into_iter()
        .filter(|line| {
            line.time >= first - WINDOW_BEFORE
                && line.time <= last + WINDOW_AFTER
                && is_related(line)
        })
        .collect();
    related.sort_by_key(|line| line.time);
    Some(related)
}
