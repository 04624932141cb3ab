//! Socket creation and options.

use std::net::SocketAddr;
use std::time::Duration;

use elderworks_http_client::connect::ConnectError;
use socket2::{Domain, Protocol, SockRef, Socket, Type};
use tokio::net::{TcpListener, TcpStream};

/// Length of the queue of connections to accept. If it is full, callers lose seconds to
/// retransmissions.
const ACCEPT_BACKLOG: i32 = 1_024;

/// TCP user timeout: a peer that doesn't acknowledge bytes for this long is considered dead.
const USER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// [`USER_TIMEOUT`] for callers. A caller that stops reading doesn't acknowledge bytes either. Such
/// callers are handled by the limits on buffered data and by request deadlines; this timeout only
/// ends the remaining ones.
const CALLER_TIMEOUT: Duration = Duration::from_secs(10);

/// Timeout for establishing a connection.
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

/// Sets the options common to all connections.
pub(crate) fn set_options(stream: &TcpStream) {
    set_options_with(stream, USER_TIMEOUT);
}

/// Sets the options of a caller's connection.
pub(crate) fn set_caller_options(stream: &TcpStream) {
    set_options_with(stream, CALLER_TIMEOUT);
}

fn set_options_with(stream: &TcpStream, user_timeout: Duration) {
    // Errors are ignored: the connection works without these options, with worse latency or
    // timeouts.
    let _ = stream.set_nodelay(true);
    let _ = SockRef::from(stream).set_tcp_user_timeout(Some(user_timeout));
}

/// Connects within [`CONNECT_TIMEOUT`].
///
/// # Errors
///
/// The error tells whether the peer is lost or cut off.
pub(crate) async fn connect(address: SocketAddr) -> Result<TcpStream, ConnectError> {
    let connecting = TcpStream::connect(address);
    let stream = actix_rt::time::timeout(CONNECT_TIMEOUT, connecting)
        .await
        .map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))??;
    set_options(&stream);
    Ok(stream)
}
