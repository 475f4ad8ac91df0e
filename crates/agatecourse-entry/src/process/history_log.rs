use agatecourse_history::{HistoryEvent, Record, write_record};
use agatecourse_types::{Incarnation, NodeId};
use std::fs::{File, OpenOptions};
use std::io::LineWriter;
use std::sync::Mutex;
use std::time::{SystemTime, UNIX_EPOCH};

/// Appends history events to the file named in the node's settings, for the invariant checks of tests.
///
/// Each record is written without delay, so that the history of a killed node contains all its dispatches.
#[derive(Debug)]
pub(crate) struct HistoryLog {
    file: Option<Mutex<LineWriter<File>>>,
    node: NodeId,
    incarnation: Incarnation,
}

impl HistoryLog {
    /// Opens the file for appending; without a path, events are discarded.
    ///
    /// # Errors
    ///
    /// Returns an error when the file can't be opened or created.
    pub(crate) fn open(
        path: Option<&str>,
        node: &str,
        incarnation: Incarnation,
    ) -> std::io::Result<Self> {
        let open = |path| OpenOptions::new().create(true).append(true).open(path);
        let file = path.map(open).transpose()?.map(|file| Mutex::new(LineWriter::new(file)));
        Ok(Self { file, node: node.to_string(), incarnation })
    }

    /// Writes the event that `event` returns; without a file, `event` is not called.
    pub(crate) fn write(&self, event: impl FnOnce() -> HistoryEvent) {
        let Some(file) = &self.file else { return };
        let at_us = now_us();
        let record =
            Record::new(at_us, self.node.clone(), event()).with_incarnation(self.incarnation);
        // A write error, such as a full disk, must not fail requests; the history checker reports missing events.
        if let Ok(mut file) = file.lock() {
            let _ = write_record(&mut *file, &record);
        }
    }
}

/// Returns the wall-clock time in microseconds since the Unix epoch.
pub(crate) fn now_us() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX)
}
