//! Responses of HTTP/1.1 (RFC 9112): whether bytes are one, where its body ends and whether it is whole.
//! The decoders have neither I/O nor clock.

mod body;
mod chunked;
mod framing;
mod head;

pub use body::{BodyDecoder, BodyPart, ConnectionEnd};
pub use head::{DecodedHead, HeadDecoder};

/// The reason why bytes are no response, or only a part of one.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ResponseError {
    /// The bytes are no head of a response.
    #[error("malformed head: {0}")]
    Head(&'static str),
    /// The head doesn't say clearly where the body ends.
    #[error("unclear end of the body: {0}")]
    Framing(&'static str),
    /// The chunks of the body are malformed.
    #[error("malformed chunks: {0}")]
    Chunks(&'static str),
    /// The body is larger than this number of bytes.
    #[error("more than {0} bytes")]
    TooLarge(usize),
    /// The connection ended before the response.
    #[error("incomplete response: {0}")]
    Incomplete(String),
}
