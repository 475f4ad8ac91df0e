use super::TcpState;
use googletest::prelude::*;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

fn pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let sender = TcpStream::connect(address).expect("the listener accepts");
    let (receiver, _) = listener.accept().expect("a connection waits");
    (sender, receiver)
}

/// Guards against a layout of the kernel's structure that differs between architectures, by which other fields would be read.
#[gtest]
fn acknowledged_bytes_are_those_that_the_peer_took() {
    let (mut sender, mut receiver) = pair();
    let before = TcpState::read(&sender).expect("the socket is connected").acked_bytes;
    sender.write_all(&[0; 5_000]).expect("the peer reads");
    receiver.read_exact(&mut [0; 5_000]).expect("the sender has sent");
    let deadline = Instant::now() + Duration::from_secs(5);
    let state = loop {
        let state = TcpState::read(&sender).expect("the socket is connected");
        if state.acked_bytes >= before + 5_000 || Instant::now() > deadline {
            break state;
        }
        std::thread::sleep(Duration::from_millis(5));
    };
    expect_that!(state.acked_bytes, eq(before + 5_000));
    expect_that!(state.awaits_ack, eq(false));
}

/// Guards against a peer that reads nothing being taken for one that is gone: its kernel answers the probes of its closed window.
#[gtest]
fn peer_that_reads_nothing_acknowledges_probes() {
    let (sender, _receiver) = pair();
    sender.set_nonblocking(true).expect("a socket may be non-blocking");
    let block = vec![0; 65_536];
    while (&sender).write(&block).is_ok() {}
    std::thread::sleep(Duration::from_millis(1_500));
    let state = TcpState::read(&sender).expect("the socket is connected");
    expect_that!(state.awaits_ack, eq(false));
    expect_that!(state.last_ack_age, lt(Duration::from_millis(1_500)));
}
