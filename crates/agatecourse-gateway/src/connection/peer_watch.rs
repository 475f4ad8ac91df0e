use super::tcp_state::TcpState;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

/// Time without any acknowledgement after which a peer that owes one is lost.
const LOST_AFTER: Duration = Duration::from_millis(1_500);
/// Interval at which the state of a connection is read.
pub(crate) const WATCH_INTERVAL: Duration = Duration::from_millis(500);

/// How a peer has left.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Disconnect {
    /// It closed or reset the connection.
    Closed,
    /// It acknowledges nothing any more.
    Lost,
}

/// Notices a peer that acknowledges nothing any more, such as a host without power.
///
/// The kernel's user timeout notices it too, but also ends the connection of a peer that runs and keeps its window closed for that time,
/// because it reads slowly.
#[derive(Debug, Default)]
pub(crate) struct PeerWatch {
    /// Time since which the peer has owed an acknowledgement and has sent none; `None` while it owes none.
    silent_since: Option<Instant>,
}

impl PeerWatch {
    /// Creates a watch of a peer that owes nothing yet.
    pub(crate) fn new() -> Self {
        Self::default()
    }

    /// Takes a reading of the connection and returns whether the peer is lost.
    pub(crate) fn observe(&mut self, now: Instant, state: &TcpState) -> bool {
        if !state.awaits_ack {
            self.silent_since = None;
            return false;
        }
        let still_silent =
            |since: &Instant| now.saturating_duration_since(*since) <= state.last_ack_age;
        let since = self.silent_since.filter(still_silent).unwrap_or(now);
        self.silent_since = Some(since);
        now.saturating_duration_since(since) >= LOST_AFTER
    }

    /// Reads the state of a connection and returns how its peer has left; `None` if it has not, or if the kernel reports no state.
    pub(crate) fn check(&mut self, now: Instant, stream: &TcpStream) -> Option<Disconnect> {
        let state = TcpState::read(stream)?;
        if state.is_closed {
            return Some(Disconnect::Closed);
        }
        self.observe(now, &state).then_some(Disconnect::Lost)
    }
}

/// Completes when the peer of a connection is lost.
pub(crate) async fn wait_until_lost(stream: &TcpStream) {
    let mut watch = PeerWatch::new();
    loop {
        tokio::time::sleep(WATCH_INTERVAL).await;
        if watch.check(Instant::now(), stream) == Some(Disconnect::Lost) {
            return;
        }
    }
}

#[cfg(test)]
mod tests;
