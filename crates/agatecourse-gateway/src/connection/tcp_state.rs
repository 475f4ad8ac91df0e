use std::os::fd::AsFd;
use std::time::Duration;

/// State of a TCP connection as the kernel reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct TcpState {
    /// True if the peer owes an acknowledgement: of data that was sent after its last one, or of probes of its closed window.
    pub(crate) awaits_ack: bool,
    /// Time since the last acknowledgement of any kind. A peer that runs also acknowledges probes while it reads nothing.
    pub(crate) last_ack_age: Duration,
    /// True if the peer has closed or reset the connection, also while bytes before the close are unread.
    pub(crate) is_closed: bool,
    /// Bytes that the peer has acknowledged since the connection was opened.
    pub(crate) acked_bytes: u64,
}

/// State of a connection in which the peer has closed its side or more, or that was reset (`tcp_states.h`).
const TCP_CLOSE: u8 = 7;
const TCP_CLOSE_WAIT: u8 = 8;
/// Probes in a row of which a peer that runs answers at least one: a probe may be lost, and Linux answers only one in half a second.
const MIN_UNANSWERED_PROBES: u8 = 2;

/// Beginning of `struct tcp_info` in `linux/tcp.h`; Linux returns at least these bytes from version 4.1 on.
#[derive(Debug, Clone, Copy)]
#[repr(C)]
struct TcpInfo {
    state: u8,
    congestion_state: u8,
    retransmits: u8,
    probes: u8,
    options: [u8; 4],
    timeouts_and_sizes: [u32; 4],
    unacked: u32,
    segment_counts: [u32; 4],
    last_data_sent_ms: u32,
    last_ack_sent_ms: u32,
    last_data_recv_ms: u32,
    last_ack_recv_ms: u32,
    metrics: [u32; 11],
    pacing_rates: [u64; 2],
    bytes_acked: u64,
}

#[derive(Debug, Clone, Copy)]
struct TcpInfoOption;

nix::getsockopt_impl!(
    TcpInfoOption,
    libc::IPPROTO_TCP,
    libc::TCP_INFO,
    TcpInfo,
    nix::sys::socket::sockopt::GetStruct<TcpInfo>
);

impl TcpState {
    /// Reads the state of a socket; `None` if it has none.
    pub(crate) fn read(socket: &impl AsFd) -> Option<Self> {
        let info = nix::sys::socket::getsockopt(socket, TcpInfoOption).ok()?;
        let has_unacked_data = info.unacked > 0 && info.last_data_sent_ms < info.last_ack_recv_ms;
        Some(Self {
            awaits_ack: has_unacked_data || info.probes >= MIN_UNANSWERED_PROBES,
            last_ack_age: Duration::from_millis(info.last_ack_recv_ms.into()),
            is_closed: matches!(info.state, TCP_CLOSE | TCP_CLOSE_WAIT),
            acked_bytes: info.bytes_acked,
        })
    }
}

#[cfg(test)]
mod tests;
