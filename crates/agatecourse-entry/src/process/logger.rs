use slog::{Drain, Level, LevelFilter, Logger, o};
use slog_async::OverflowStrategy;
use std::io::LineWriter;

// Lines that wait for a slow output. Further lines are dropped and their number is logged, because logging must not
// block requests.
const MAX_QUEUED_LINES: usize = 8_192;

/// Creates the logger of a node, which writes JSON lines to standard error.
pub(crate) fn create_logger(node: &str) -> Logger {
    // Lines are written whole, because other processes may write to the same standard error.
    let json = slog_json::Json::default(LineWriter::new(std::io::stderr())).fuse();
    let drain = slog_async::Async::new(json)
        .chan_size(MAX_QUEUED_LINES)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build()
        .fuse();
    // Answered requests are logged at the debug level: writing a line for each would dominate the cost of short
    // requests.
    let drain = LevelFilter::new(drain, Level::Info).fuse();
    Logger::root(drain, o!("node" => node.to_string()))
}
