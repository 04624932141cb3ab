//! Options of sockets.

use std::net::SocketAddr;
use std::time::Duration;

use socket2::{Domain, Protocol, SockRef, Socket, Type};
use tokio::net::{TcpListener, TcpStream};

/// Connections waiting to be accepted; a full queue costs the caller seconds.
const ACCEPT_BACKLOG: i32 = 1_024;

/// A peer that has not acknowledged bytes for this long is taken for dead.
const USER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// The same for a caller. A caller that stops reading acknowledges nothing either, and is given up
/// by what is held for it and by its request's deadline; this only ends what those do not.
const CALLER_TIMEOUT: Duration = Duration::from_secs(10);

/// Longest wait for a connection to come up.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Listens on an address.
pub(crate) fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(ACCEPT_BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Sets the options that every connection has.
pub(crate) fn set_options(stream: &TcpStream) {
    prepare_with(stream, USER_TIMEOUT);
}

/// Sets the options of a caller's connection.
pub(crate) fn prepare_caller(stream: &TcpStream) {
    prepare_with(stream, CALLER_TIMEOUT);
}

fn prepare_with(stream: &TcpStream, user_timeout: Duration) {
    // A connection without these options works, only slower or longer.
    let _ = stream.set_nodelay(true);
    let _ = SockRef::from(stream).set_tcp_user_timeout(Some(user_timeout));
}

/// Connects within [`CONNECT_TIMEOUT`].
pub(crate) async fn connect(address: SocketAddr) -> std::io::Result<TcpStream> {
    let connecting = TcpStream::connect(address);
    let stream = actix_rt::time::timeout(CONNECT_TIMEOUT, connecting)
        .await
        .map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))??;
    set_options(&stream);
    Ok(stream)
}
