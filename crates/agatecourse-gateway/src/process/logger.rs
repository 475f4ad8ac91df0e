use slog::{Drain, Level, LevelFilter, Logger, o};
use slog_async::OverflowStrategy;
use std::io::LineWriter;

/// Capacity of the buffer for slow output, in lines; about two seconds of output of a busy node. When it is full, lines are
/// dropped and their number is logged, because blocked log output must not block requests.
const LOG_BUFFER_LINES: usize = 2_048;

/// Creates the logger of a node, which writes JSON lines to standard output from a separate thread.
pub fn create_logger(node: &str) -> Logger {
    let json = slog_json::Json::default(LineWriter::new(std::io::stdout())).fuse();
    let drain = slog_async::Async::new(json)
        .chan_size(LOG_BUFFER_LINES)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build()
        .fuse();
    let drain = LevelFilter::new(drain, Level::Info).fuse();
    Logger::root(drain, o!("node" => node.to_string()))
}
