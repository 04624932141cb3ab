//! Errors of establishing a connection, and what they tell of the server.

use std::io;

/// The reason why a connection wasn't established.
#[derive(Debug, thiserror::Error)]
pub enum ConnectError {
    /// The server is lost or cut off; see [`is_unreachable`].
    #[error("unreachable: {0}")]
    Unreachable(io::Error),
    /// Any other error. The server may be running: it may have accepted the connection and reset it,
    /// or this process may lack a descriptor or a port.
    #[error("not connected: {0}")]
    Failed(io::Error),
}

impl ConnectError {
    /// Returns the error of the socket.
    pub fn io(&self) -> &io::Error {
        match self {
            Self::Unreachable(error) | Self::Failed(error) => error,
        }
    }
}

impl From<io::Error> for ConnectError {
    fn from(error: io::Error) -> Self {
        match is_unreachable(&error) {
            true => Self::Unreachable(error),
            false => Self::Failed(error),
        }
    }
}

/// Returns whether an error of establishing a connection shows that nothing listens at the address, or
/// that no path leads there. It shows nothing of the kind if it comes from an established connection.
pub fn is_unreachable(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::ConnectionRefused
            | io::ErrorKind::TimedOut
            | io::ErrorKind::HostUnreachable
            | io::ErrorKind::NetworkUnreachable
    )
}
