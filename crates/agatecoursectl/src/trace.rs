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

/// Time before a request's first line in which a change of belief may have decided it; targets are dropped and queues move
/// within a few seconds.
const BEFORE: Duration = Duration::seconds(5);
/// Time after a request's last line in which the cause may become known.
const AFTER: Duration = Duration::seconds(2);
/// Fields that the table shows in columns of their own, or that say nothing about a cause.
const SHOWN_FIELDS: [&str; 5] = ["ts", "node", "msg", "level", "request"];

type Fields = Map<String, Value>;

struct LogLine {
    time: OffsetDateTime,
    fields: Fields,
}

impl LogLine {
    /// Reads a line; text before the first brace, as log collectors add it, is passed over.
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
            !SHOWN_FIELDS.contains(&name.as_str()) && !value.is_null() && **value != ""
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

/// Joins the log lines of all nodes about a request with what its nodes believed about its targets and queue at that time.
///
/// Reads the files, or standard input when none is named. Lines that are no log lines are counted and passed over.
///
/// # Errors
///
/// Returns a [`CommandError`] when a file can't be read or no line names the request.
pub fn trace(request: &str, files: &[PathBuf]) -> Result<Output, CommandError> {
    let mut lines = Vec::new();
    let mut unreadable = 0_usize;
    let mut read = |path: &PathBuf, source: &mut dyn BufRead| {
        for line in source.lines() {
            let line = line.context(FileSnafu { path })?;
            match LogLine::parse(&line) {
                // Lines of other requests are most of a log and are not kept.
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
    let story = join(request, lines).with_context(|| NotFoundSnafu { what: what() })?;
    let rows: Vec<Vec<String>> = story.iter().map(LogLine::row).collect();
    let output = Output::table("lines", &["time", "node", "event", "details"], &rows);
    if unreadable > 0 {
        eprintln!("{unreadable} lines are no log lines and were passed over");
    }
    Ok(output)
}

/// Returns the lines of a request and of what decided it, in order of time; `None` when no line names it.
fn join(request: &str, lines: Vec<LogLine>) -> Option<Vec<LogLine>> {
    let own = || lines.iter().filter(|line| line.text("request") == Some(request));
    let (first, last) = (own().map(|line| line.time).min()?, own().map(|line| line.time).max()?);
    let named = |field: &'static str| own().filter_map(move |line| line.text(field));
    let nodes: BTreeSet<String> =
        named("node").chain(named("owner")).map(ToString::to_string).collect();
    let targets: BTreeSet<String> = named("target").map(ToString::to_string).collect();
    let is_about = |line: &LogLine| match (line.text("request"), line.text("target")) {
        (Some(_), _) => true,
        (None, Some(target)) => targets.contains(target),
        (None, None) => line.text("node").is_some_and(|node| nodes.contains(node)),
    };
    let mut story: Vec<LogLine> = lines
        .into_iter()
        .filter(|line| line.time >= first - BEFORE && line.time <= last + AFTER && is_about(line))
        .collect();
    story.sort_by_key(|line| line.time);
    Some(story)
}
