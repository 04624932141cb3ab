//! What the two halves of a connection tell of its end.

use std::io::ErrorKind;
use std::time::Duration;

use elderworks_http_client::buffered::{self, Receiver, Sender};
use socket2::SockRef;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

/// Time for a packet to arrive over loopback.
const PACKET_TIME: Duration = Duration::from_millis(50);

/// What the server sends before the connection ends.
const SENT: &[u8] = b"hello";

/// Opens a connection whose server sends and closes or resets it.
async fn open(is_reset: bool) -> (Receiver, Sender) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let client = TcpStream::connect(address).await.expect("a listener");
    let (mut server, _) = listener.accept().await.expect("a connection");
    server.write_all(SENT).await.expect("a connection");
    if is_reset {
        let socket = SockRef::from(&server);
        socket.set_linger(Some(Duration::ZERO)).expect("an option");
    }
    drop(server);
    actix_rt::time::sleep(PACKET_TIME).await;
    buffered::split(client)
}

/// Sends until the socket reports an error.
async fn send_in_vain(sender: &mut Sender) -> ErrorKind {
    loop {
        sender.buffer.extend_from_slice(b"more");
        if let Err(error) = sender.flush().await {
            return error.kind();
        }
        actix_rt::time::sleep(PACKET_TIME).await;
    }
}

/// Receives all that was sent; the end looks the same whatever it was.
async fn receive(receiver: &mut Receiver) {
    while receiver
        .fill()
        .await
        .expect("the error was reported before")
        > 0
    {}
    assert_eq!(&receiver.buffer[..], SENT);
}

#[actix_rt::test]
async fn a_reset_met_while_sending_is_remembered() {
    let (mut receiver, mut sender) = open(true).await;
    assert_eq!(sender.break_off(), None);
    assert_eq!(send_in_vain(&mut sender).await, ErrorKind::ConnectionReset);
    receive(&mut receiver).await;
    assert_eq!(sender.break_off(), Some(ErrorKind::ConnectionReset));
}

#[actix_rt::test]
async fn a_reset_after_an_orderly_close_is_no_break() {
    let (mut receiver, mut sender) = open(false).await;
    assert_eq!(send_in_vain(&mut sender).await, ErrorKind::BrokenPipe);
    receive(&mut receiver).await;
    assert_eq!(sender.break_off(), None);
}
