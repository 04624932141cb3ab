//! HTTP/1.1 towards servers. Every client of this workspace reads responses here: [`response`] decides
//! whether bytes are one, where its body ends and whether it is whole.

pub mod buffered;
pub mod client;
pub mod connect;
pub mod exchange;
pub mod response;
pub mod url;
