//! The gossip socket.

use std::net::SocketAddr;
use std::rc::Rc;

use actix_rt::net::UdpSocket;
use elderworks_node_core::Event;
use elderworks_protocol::gossip::Datagram;
use elderworks_protocol::{decode, encode};

use crate::counters::SharedCounters;
use crate::input::{Input, InputSender};

/// Largest datagram that UDP carries.
const RECEIVE_BUFFER_BYTES: usize = 64 * 1024;

/// Pause after a failed receive.
const RECEIVE_BACKOFF: std::time::Duration = std::time::Duration::from_millis(50);

/// Passes on datagrams until the node stops.
pub(crate) async fn receive_datagrams(
    socket: Rc<UdpSocket>,
    inputs: InputSender,
    counters: SharedCounters,
) {
    let mut buffer = vec![0; RECEIVE_BUFFER_BYTES];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            // An earlier datagram was answered by "port unreachable", for example.
            actix_rt::time::sleep(RECEIVE_BACKOFF).await;
            continue;
        };
        let Ok(datagram) = decode::<Datagram>(&buffer[..length]) else {
            counters.add(|counters| &mut counters.malformed_datagrams);
            continue;
        };
        let event = Event::Datagram { from, datagram };
        if inputs.send(Input::Event(Box::new(event))).await.is_err() {
            return;
        }
    }
}

/// Sends a datagram if the socket takes it now; gossip makes up for what is lost.
pub(crate) fn send_datagram(socket: &UdpSocket, to: SocketAddr, datagram: &Datagram) {
    let _ = socket.try_send_to(&encode(datagram), to);
}
