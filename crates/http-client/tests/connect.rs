//! Errors of establishing a connection: which of them show that a server is lost or cut off.

use std::io::{Error, ErrorKind};
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc;
use std::time::Duration;

use elderworks_http_client::connect::{ConnectError, is_unreachable};
use elderworks_http_client::exchange::Connection;
use socket2::{Domain, SockRef, Socket, Type};

const TIMEOUT: Duration = Duration::from_secs(10);

#[test]
fn four_errors_show_that_a_server_is_unreachable() {
    let unreachable = [
        ErrorKind::ConnectionRefused,
        ErrorKind::TimedOut,
        ErrorKind::HostUnreachable,
        ErrorKind::NetworkUnreachable,
    ];
    let others = [
        ErrorKind::ConnectionReset,
        ErrorKind::ConnectionAborted,
        ErrorKind::BrokenPipe,
        ErrorKind::NotConnected,
        ErrorKind::AddrNotAvailable,
        ErrorKind::AddrInUse,
        ErrorKind::NetworkDown,
        ErrorKind::PermissionDenied,
        ErrorKind::OutOfMemory,
        ErrorKind::Interrupted,
        ErrorKind::Other,
    ];
    for kind in unreachable {
        assert!(is_unreachable(&Error::from(kind)), "{kind:?}");
    }
    for kind in others {
        assert!(!is_unreachable(&Error::from(kind)), "{kind:?}");
    }
    for lack in [
        libc_errors::EMFILE,
        libc_errors::ENFILE,
        libc_errors::ENOBUFS,
    ] {
        let error = Error::from_raw_os_error(lack);
        assert!(!is_unreachable(&error), "{error}");
    }
}

/// Errors of Linux without a kind of their own.
mod libc_errors {
    pub const ENFILE: i32 = 23;
    pub const EMFILE: i32 = 24;
    pub const ENOBUFS: i32 = 105;
}

#[actix_rt::test]
async fn a_server_that_does_not_listen_is_unreachable() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    drop(listener);
    let opened = Connection::open(address, TIMEOUT).await;
    let error = opened.expect_err("no server");
    assert!(matches!(error, ConnectError::Unreachable(_)), "{error}");
    assert_eq!(error.io().kind(), ErrorKind::ConnectionRefused);
}

/// The kernel drops the first packet of a connection for which the queue has no room.
#[actix_rt::test]
async fn a_server_that_does_not_answer_in_time_is_unreachable() {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    socket.bind(&any_port.into()).expect("a free port");
    socket.listen(0).expect("a socket");
    let listener = TcpListener::from(socket);
    let address = listener.local_addr().expect("an address");
    let mut opened = Vec::new();
    let error = loop {
        match Connection::open(address, Duration::from_millis(200)).await {
            Ok(connection) => opened.push(connection),
            Err(error) => break error,
        }
        assert!(opened.len() < 10, "the queue has room for all");
    };
    assert!(matches!(error, ConnectError::Unreachable(_)), "{error}");
    assert_eq!(error.io().kind(), ErrorKind::TimedOut);
}

#[actix_rt::test]
async fn a_server_that_resets_a_new_connection_is_not_unreachable() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let (reset, resets) = mpsc::channel();
    std::thread::spawn(move || {
        let (stream, _) = listener.accept().expect("a connection");
        let socket = SockRef::from(&stream);
        socket.set_linger(Some(Duration::ZERO)).expect("a socket");
        drop(stream);
        reset.send(()).expect("a test");
    });
    // Blocks the runtime from the start of connecting until the reset has arrived.
    let until_reset = async { resets.recv().expect("a reset") };
    let (opened, ()) = tokio::join!(Connection::open(address, TIMEOUT), until_reset);
    let error = opened.expect_err("a reset");
    assert!(matches!(error, ConnectError::Failed(_)), "{error}");
    assert_eq!(error.io().kind(), ErrorKind::ConnectionReset);
}
