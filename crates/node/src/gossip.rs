//! Receiving and sending of gossip datagrams.

use std::net::SocketAddr;
use std::rc::Rc;

use actix_rt::net::UdpSocket;
use elderworks_node_core::Event;
use elderworks_protocol::gossip::Datagram;
use elderworks_protocol::{decode, encode};

use crate::counters::SharedCounters;
use crate::input::{Input, InputSender};

/// Size of the receive buffer in bytes, large enough for any UDP datagram.
const RECEIVE_BUFFER_BYTES: usize = 64 * 1024;

/// Delay after a failed receive.
const RECEIVE_BACKOFF: std::time::Duration = std::time::Duration::from_millis(50);

/// Decodes received datagrams and passes them to the driver until the node stops.
pub(crate) async fn receive_datagrams(
    socket: Rc<UdpSocket>,
    inputs: InputSender,
    counters: SharedCounters,
) {
    let mut buffer = vec![0; RECEIVE_BUFFER_BYTES];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            // Receiving can report that an earlier datagram was undeliverable ("port unreachable").
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

/// Sends a datagram if the socket accepts it without waiting. Gossip tolerates lost datagrams.
pub(crate) fn send_datagram(socket: &UdpSocket, to: SocketAddr, datagram: &Datagram) {
    let _ = socket.try_send_to(&encode(datagram), to);
}
