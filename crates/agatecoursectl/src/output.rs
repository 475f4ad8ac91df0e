use serde_json::{Value, json};

/// Result of a command: a text for people and a JSON object for scripts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Output {
    text: String,
    json: Value,
}

impl Output {
    /// Creates an output from its text and its JSON object.
    pub fn new(text: impl Into<String>, json: Value) -> Self {
        Self { text: text.into(), json }
    }

    /// Creates a table whose rows are also given as JSON objects under `name`.
    pub fn table(name: &str, header: &[&str], rows: &[Vec<String>]) -> Self {
        let objects: Vec<Value> = rows
            .iter()
            .map(|row| header.iter().zip(row).map(|(key, cell)| (*key, cell)).collect())
            .map(|object: std::collections::BTreeMap<&str, &String>| json!(object))
            .collect();
        Self { text: format_table(header, rows), json: json!({ name: objects }) }
    }

    /// Returns the JSON object.
    pub fn json(&self) -> &Value {
        &self.json
    }

    /// Returns the text without trailing white space, or the JSON object on one line.
    pub fn render(&self, json: bool) -> String {
        if json { self.json.to_string() } else { self.text.trim_end().to_string() }
    }
}

/// Formats rows below a header in columns that are as wide as their widest cell.
pub(crate) fn format_table(header: &[&str], rows: &[Vec<String>]) -> String {
    let header: Vec<String> = header.iter().map(|name| name.to_uppercase()).collect();
    let lines: Vec<&Vec<String>> = std::iter::once(&header).chain(rows).collect();
    let width = |column: usize| {
        lines.iter().filter_map(|line| line.get(column)).map(|cell| cell.chars().count()).max()
    };
    let widths: Vec<usize> = (0..header.len()).map(|column| width(column).unwrap_or(0)).collect();
    let format = |line: &&Vec<String>| {
        let cells = line.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}"));
        cells.collect::<Vec<_>>().join("  ").trim_end().to_string()
    };
    lines.iter().map(format).collect::<Vec<_>>().join("\n")
}
