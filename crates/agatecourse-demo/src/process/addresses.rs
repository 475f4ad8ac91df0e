use crate::DemoError;
use crate::error::IoSnafu;
use snafu::ResultExt;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};

/// First port that a node may get. The ports lie below the ephemeral range of the operating system: an outgoing
/// connection or a stand-in could take an ephemeral port before the node binds it.
const FIRST_PORT: u16 = 10_000;
/// Number of ports that are searched from `FIRST_PORT` on.
const PORT_COUNT: u16 = 20_000;

/// Loopback addresses of one node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct NodeAddresses {
    pub(crate) caller: SocketAddr,
    pub(crate) operator: SocketAddr,
    pub(crate) peer: SocketAddr,
}

/// Chooses free ports for a number of nodes.
///
/// The search starts at a port derived from the id of this process, so that concurrent demos rarely choose the same
/// ports. Another process may still take a port before its node binds it; the node then exits with an error, which the
/// demo prints.
pub(crate) fn choose_node_addresses(nodes: usize) -> Result<Vec<NodeAddresses>, DemoError> {
    let start = std::process::id().wrapping_mul(251) % u32::from(PORT_COUNT);
    let offsets = (0..u32::from(PORT_COUNT)).map(|index| (start + index) % u32::from(PORT_COUNT));
    let ports = offsets.map(|offset| FIRST_PORT + offset as u16);
    let mut free_addresses =
        ports.map(|port| SocketAddr::from((Ipv4Addr::LOCALHOST, port))).filter(is_port_free);
    let mut next_address = || {
        let no_port_error = || std::io::Error::other("no free port is left");
        free_addresses
            .next()
            .ok_or_else(no_port_error)
            .context(IoSnafu { action: "choosing a free port" })
    };
    (0..nodes)
        .map(|_| {
            Ok(NodeAddresses {
                caller: next_address()?,
                operator: next_address()?,
                peer: next_address()?,
            })
        })
        .collect()
}

fn is_port_free(address: &SocketAddr) -> bool {
    TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok()
}
