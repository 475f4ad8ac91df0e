use crate::budget::CallerSlot;
use std::io::{Error, ErrorKind};
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;

/// Longest time in which a caller that reads a response takes no byte of it.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// Writes bytes to a caller, which the budget may give up while it does not read.
///
/// # Errors
///
/// Returns an error when the connection fails or is given up, or the caller takes nothing for [`WRITE_TIMEOUT`].
pub(crate) async fn write_to_caller(
    caller: &mut OwnedWriteHalf,
    bytes: &[u8],
    slot: &CallerSlot,
) -> std::io::Result<()> {
    let mut rest = bytes;
    match caller.try_write(rest) {
        Ok(written) => rest = &rest[written..],
        Err(error) if error.kind() == ErrorKind::WouldBlock => {}
        Err(error) => return Err(error),
    }
    if rest.is_empty() {
        return Ok(());
    }
    while !rest.is_empty() {
        slot.advance_answer(Instant::now());
        let written = tokio::select! {
            biased;
            _ = slot.evicted() => return Err(Error::from(ErrorKind::ConnectionAborted)),
            written = tokio::time::timeout(WRITE_TIMEOUT, caller.write(rest)) => written??,
        };
        if written == 0 {
            return Err(Error::from(ErrorKind::WriteZero));
        }
        rest = &rest[written..];
    }
    slot.begin_work();
    Ok(())
}
