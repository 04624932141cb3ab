//! URLs of servers.

use std::io;
use std::net::SocketAddr;

/// A URL of HTTP, split for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Url<'a> {
    /// Host and port.
    pub authority: &'a str,
    /// Path and query; may be empty.
    pub path: &'a str,
}

impl<'a> Url<'a> {
    /// Splits `http://HOST:PORT/PATH`; `None` for anything else.
    pub fn split(url: &'a str) -> Option<Self> {
        let rest = url.strip_prefix("http://")?;
        let (authority, path) = rest.split_at(rest.find('/').unwrap_or(rest.len()));
        (!authority.is_empty()).then_some(Self { authority, path })
    }

    /// Returns the server's address, which is looked up if its host is a name.
    ///
    /// # Errors
    ///
    /// Fails if the host has no address or the port is missing.
    pub async fn resolve(&self) -> io::Result<SocketAddr> {
        let mut addresses = tokio::net::lookup_host(self.authority).await?;
        addresses
            .next()
            .ok_or_else(|| io::Error::from(io::ErrorKind::NotFound))
    }
}
