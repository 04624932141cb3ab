//! Headers that concern one connection only, and those that a request for a worker bears.

use actix_http::RequestHead;
use actix_http::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HOST, HeaderMap, HeaderName, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};

/// Headers that are never passed on.
const HOP_BY_HOP: [HeaderName; 6] = [
    CONNECTION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    CONTENT_LENGTH,
];

/// Like [`HOP_BY_HOP`], for names that the library has no constant for.
const HOP_BY_HOP_NAMES: [&str; 3] = ["keep-alive", "proxy-connection", "proxy-authorization"];

/// The host that a request names, in lower case and without a port.
pub(super) fn host(head: &RequestHead) -> Option<String> {
    let value = head.headers.get(HOST)?.to_str().ok()?;
    let name = value.split(':').next().unwrap_or(value);
    Some(name.to_ascii_lowercase())
}

/// The headers that are passed on in either direction.
pub(super) fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let named_by_connection: Vec<String> = headers
        .get_all(CONNECTION)
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut passed = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let is_hop_by_hop = HOP_BY_HOP.contains(name)
            || HOP_BY_HOP_NAMES.contains(&name.as_str())
            || named_by_connection
                .iter()
                .any(|named| named == name.as_str());
        if !is_hop_by_hop {
            passed.append(name.clone(), value.clone());
        }
    }
    passed
}

/// The head of a request as it goes to workers, apart from what depends on the worker.
pub(super) fn outgoing_head(head: &RequestHead) -> RequestHead {
    let mut outgoing = RequestHead::default();
    outgoing.method = head.method.clone();
    outgoing.uri = head.uri.clone();
    outgoing.headers = end_to_end(&head.headers);
    outgoing.headers.remove(EXPECT);
    outgoing
}
