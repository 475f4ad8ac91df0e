use crate::{ConfigFault, ConfigFaults};
use ini_core::{Item, Parser};

/// One `key = value` line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Text before the `=`, without surrounding white space.
    pub key: String,
    /// Text after the `=`, without surrounding white space; empty when there is none.
    pub value: String,
    /// Line, starting at 1.
    pub line: u32,
}

/// One section; `kind` and `name` are the parts before and after the first dot of its header.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Section {
    /// Header without brackets.
    pub header: String,
    /// Part of the header before the first dot.
    pub kind: String,
    /// Part of the header after the first dot.
    pub name: Option<String>,
    /// Line of the header, starting at 1; 0 for a section that is missing.
    pub line: u32,
    /// Entries in the order of the file.
    pub entries: Vec<Entry>,
}

/// Parsed INI file with the faults found so far.
#[derive(Debug)]
pub struct Document {
    /// Name of the file, as reported in faults.
    pub file: String,
    /// Sections in the order of the file.
    pub sections: Vec<Section>,
    /// Faults found so far.
    pub faults: Vec<ConfigFault>,
}

impl Document {
    /// Parses a file and records malformed lines, keys outside sections, and repeated sections and keys.
    pub fn parse(file: &str, text: &str) -> Self {
        let mut document =
            Self { file: file.to_string(), sections: Vec::new(), faults: Vec::new() };
        for (index, line_text) in text.lines().enumerate() {
            let line = u32::try_from(index).unwrap_or(u32::MAX - 1) + 1;
            for item in Parser::new(line_text).auto_trim(true) {
                document.add_item(line, &item);
            }
        }
        document
    }

    fn add_item(&mut self, line: u32, item: &Item<'_>) {
        match item {
            Item::Section(header) => self.add_section(line, header),
            Item::Property(key, value) => self.add_entry(line, key, value.unwrap_or_default()),
            Item::Error(text) => {
                self.add_fault(
                    line,
                    "",
                    format!("malformed line {text:?}; expected `key = value`"),
                );
            }
            Item::Comment(_) | Item::Blank | Item::SectionEnd => {}
        }
    }

    fn add_section(&mut self, line: u32, header: &str) {
        if self.sections.iter().any(|section| section.header == header) {
            self.add_fault(line, header, "section appears twice; expected once".to_string());
        }
        let (kind, name) = match header.split_once('.') {
            Some((kind, name)) => (kind.to_string(), Some(name.to_string())),
            None => (header.to_string(), None),
        };
        let header = header.to_string();
        self.sections.push(Section { header, kind, name, line, entries: Vec::new() });
    }

    fn add_entry(&mut self, line: u32, key: &str, value: &str) {
        let Some(section) = self.sections.last_mut() else {
            self.add_fault(
                line,
                "",
                format!(
                    "key `{key}` precedes the first section; expected a `[section]` header first"
                ),
            );
            return;
        };
        if section.entries.iter().any(|entry| entry.key == key) {
            let header = section.header.clone();
            self.add_fault(line, &header, format!("key `{key}` appears twice; expected once"));
            return;
        }
        section.entries.push(Entry { key: key.to_string(), value: value.to_string(), line });
    }

    /// Records a fault.
    pub fn add_fault(&mut self, line: u32, section: &str, message: String) {
        let (file, section) = (self.file.clone(), section.to_string());
        self.faults.push(ConfigFault { file, line, section, message });
    }

    /// Returns `value` when no fault was recorded.
    ///
    /// # Errors
    ///
    /// Returns all recorded faults, in the order of their lines.
    pub fn finish<T>(mut self, value: T) -> Result<T, ConfigFaults> {
        if self.faults.is_empty() {
            return Ok(value);
        }
        self.faults.sort();
        Err(ConfigFaults { faults: self.faults })
    }
}
