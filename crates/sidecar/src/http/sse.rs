//! Encoding of server-sent events.

use std::convert::Infallible;

use actix_http::body::{BodyStream, BoxBody};
use actix_http::header::{CACHE_CONTROL, CONTENT_TYPE};
use actix_http::{Response, StatusCode};
use bytes::Bytes;
use futures_util::Stream;

/// Encodes an event with a name.
pub fn event(name: &str, data: &str) -> Bytes {
    Bytes::from(format!("event: {name}\ndata: {data}\n\n"))
}

/// Encodes an event without a name, as in OpenAI's API.
pub fn data(data: &str) -> Bytes {
    Bytes::from(format!("data: {data}\n\n"))
}

/// Builds a response that streams events. The server drops the response, and with it the stream,
/// when the client disconnects.
pub fn response(
    headers: &[(&'static str, String)],
    events: impl Stream<Item = Bytes> + 'static,
) -> Response<BoxBody> {
    let stream = futures_util::StreamExt::map(events, Ok::<_, Infallible>);
    let mut builder = Response::build(StatusCode::OK);
    builder.insert_header((CONTENT_TYPE, "text/event-stream"));
    builder.insert_header((CACHE_CONTROL, "no-cache"));
    for (name, value) in headers {
        builder.insert_header((*name, value.as_str()));
    }
    builder.body(BodyStream::new(stream)).map_into_boxed_body()
}
