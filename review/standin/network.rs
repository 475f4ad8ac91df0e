//! The network between nodes: each node knows the others by virtual addresses, behind which this relay passes datagrams and
//! connections on, unless the two regions have lost each other.

use std::io::copy;
use std::net::{Ipv4Addr, Shutdown, TcpListener, TcpStream, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

/// A node on the network.
#[derive(Clone, Copy)]
pub struct Place {
    /// Address that the node binds.
    pub real: Ipv4Addr,
    /// Address by which the other nodes know it.
    pub known_as: Ipv4Addr,
    pub region: usize,
}

#[derive(Clone, Default)]
pub struct Network {
    is_split: Arc<AtomicBool>,
}

impl Network {
    /// Starts to pass messages between the nodes on their port.
    pub fn start(places: &[Place], port: u16) -> std::io::Result<Self> {
        let network = Self::default();
        let sockets = places.iter().map(|place| UdpSocket::bind((place.known_as, port)));
        let sockets: Arc<Vec<UdpSocket>> = Arc::new(sockets.collect::<Result<_, _>>()?);
        for (to, place) in places.iter().copied().enumerate() {
            let (network, sockets, places) =
                (network.clone(), Arc::clone(&sockets), places.to_vec());
            thread::spawn(move || {
                let mut bytes = [0_u8; 65_536];
                while let Ok((length, source)) = sockets[to].recv_from(&mut bytes) {
                    let Some(from) = places.iter().position(|place| place.real == source.ip())
                    else {
                        continue;
                    };
                    let is_cut = places[from].region != places[to].region
                        && network.is_split.load(Ordering::Relaxed);
                    if !is_cut {
                        let _ = sockets[from].send_to(&bytes[..length], (place.real, port));
                    }
                }
            });
            let listener = TcpListener::bind((place.known_as, port))?;
            thread::spawn(move || {
                for caller in listener.incoming().flatten() {
                    // A node asks another one only after it has got a datagram of it, so these connections need not be cut.
                    if let Ok(node) = TcpStream::connect((place.real, port)) {
                        join(caller, node);
                    }
                }
            });
        }
        Ok(network)
    }

    /// Cuts the path between the regions, or restores it.
    pub fn set_split(&self, is_split: bool) {
        self.is_split.store(is_split, Ordering::Relaxed);
    }
}

/// Passes the bytes of both directions on.
fn join(caller: TcpStream, node: TcpStream) {
    let ends = [(caller.try_clone(), node.try_clone()), (Ok(node), Ok(caller))];
    for (from, to) in ends {
        if let (Ok(mut from), Ok(mut to)) = (from, to) {
            thread::spawn(move || {
                let _ = copy(&mut from, &mut to);
                let _ = to.shutdown(Shutdown::Write);
            });
        }
    }
}
