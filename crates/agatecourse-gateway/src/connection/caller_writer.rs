use super::TcpState;
use crate::budget::CallerSlot;
use std::io::{Error, ErrorKind};
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;

/// Longest time in which a caller that reads a response takes no byte of it.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval at which the progress of a caller is read while the socket takes no more bytes; the budget gives up answers that have
/// not advanced for a second.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(250);

/// Writes bytes to a caller, which the budget may give up while it does not read.
///
/// Progress is what the caller acknowledges: a socket with a large buffer takes more bytes only after a third of it is free, for which a
/// caller that reads slowly may need longer than the timeout.
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
    let (mut advanced, mut acked_bytes) = (Instant::now(), None);
    slot.advance_answer(advanced);
    while !rest.is_empty() {
        let written = tokio::select! {
            biased;
            _ = slot.evicted() => return Err(Error::from(ErrorKind::ConnectionAborted)),
            written = tokio::time::timeout(PROGRESS_INTERVAL, caller.write(rest)) => written,
        };
        let now = Instant::now();
        let has_advanced = if let Ok(written) = written {
            let written = written?;
            if written == 0 {
                return Err(Error::from(ErrorKind::WriteZero));
            }
            rest = &rest[written..];
            true
        } else {
            let acked = TcpState::read(caller.as_ref()).map(|state| state.acked_bytes);
            let earlier = std::mem::replace(&mut acked_bytes, acked);
            earlier.is_some() && acked > earlier
        };
        if has_advanced {
            advanced = now;
            slot.advance_answer(now);
        } else if now.saturating_duration_since(advanced) >= WRITE_TIMEOUT {
            return Err(Error::from(ErrorKind::TimedOut));
        }
    }
    slot.begin_work();
    Ok(())
}
