//! Links between instances, which can be cut.
//!
//! Every instance has its own `internalPorts`, and sends to all others at its own port. For each pair
//! a proxy listens there at the address of the receiver, and passes on to the receiver's port.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Whether the link between two instances is cut.
pub type Cut = Arc<AtomicBool>;

/// Opens the link between two instances, given as address and first internal port; both ways.
pub fn open(one: (Ipv4Addr, u16), other: (Ipv4Addr, u16)) -> Cut {
    let cut = Cut::default();
    for (sender, receiver) in [(one, other), (other, one)] {
        pass_datagrams(receiver.0, sender.1, receiver.1, &cut);
        for offset in [0, 1] {
            pass_connections(receiver.0, sender.1 + offset, receiver.1 + offset, &cut);
        }
    }
    cut
}

fn pass_datagrams(ip: Ipv4Addr, from: u16, to: u16, cut: &Cut) {
    let socket = UdpSocket::bind((ip, from)).expect("the proxy's port is free");
    let out = UdpSocket::bind((ip, 0)).expect("a port is free");
    let cut = cut.clone();
    thread::spawn(move || {
        let mut buffer = [0; 65_536];
        loop {
            let Ok((length, _)) = socket.recv_from(&mut buffer) else {
                continue;
            };
            if !cut.load(Ordering::Relaxed) {
                let _ = out.send_to(&buffer[..length], (ip, to));
            }
        }
    });
}

fn pass_connections(ip: Ipv4Addr, from: u16, to: u16, cut: &Cut) {
    let listener = TcpListener::bind((ip, from)).expect("the proxy's port is free");
    let cut = cut.clone();
    thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let Ok(far) = TcpStream::connect((ip, to)) else {
                continue;
            };
            let pairs = [
                (near.try_clone(), far.try_clone()),
                (far.try_clone(), near.try_clone()),
            ];
            for (from, to) in pairs {
                let (Ok(from), Ok(to)) = (from, to) else { continue };
                let cut = cut.clone();
                thread::spawn(move || pass_bytes(from, to, &cut));
            }
        }
    });
}

fn pass_bytes(mut from: TcpStream, mut to: TcpStream, cut: &Cut) {
    let mut buffer = [0; 16_384];
    while let Ok(length) = from.read(&mut buffer) {
        while cut.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(10));
        }
        if length == 0 || to.write_all(&buffer[..length]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(std::net::Shutdown::Write);
}
