//! Hop-by-hop headers, and the request head that is sent to workers.

use actix_http::RequestHead;
use actix_http::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HOST, HeaderMap, HeaderName, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};

/// Headers that are never forwarded.
const HOP_BY_HOP: [HeaderName; 6] = [
    CONNECTION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    CONTENT_LENGTH,
];

/// Like [`HOP_BY_HOP`], for names without a constant in the HTTP library.
const HOP_BY_HOP_NAMES: [&str; 3] = ["keep-alive", "proxy-connection", "proxy-authorization"];

/// Returns the request's host in lower case, without its port.
pub(super) fn host(head: &RequestHead) -> Option<String> {
    let value = head.headers.get(HOST)?.to_str().ok()?;
    let name = value.split(':').next().unwrap_or(value);
    Some(name.to_ascii_lowercase())
}

/// Returns the headers that are forwarded in either direction.
pub(super) fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let named_by_connection: Vec<String> = headers
        .get_all(CONNECTION)
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut forwarded = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let is_hop_by_hop = HOP_BY_HOP.contains(name)
            || HOP_BY_HOP_NAMES.contains(&name.as_str())
            || named_by_connection
                .iter()
                .any(|named| named == name.as_str());
        if !is_hop_by_hop {
            forwarded.append(name.clone(), value.clone());
        }
    }
    forwarded
}

/// Returns the request head sent to any worker, without the headers that depend on the worker.
pub(super) fn outgoing_head(head: &RequestHead) -> RequestHead {
    let mut outgoing = RequestHead::default();
    outgoing.method = head.method.clone();
    outgoing.uri = head.uri.clone();
    outgoing.headers = end_to_end(&head.headers);
    outgoing.headers.remove(EXPECT);
    outgoing
}
