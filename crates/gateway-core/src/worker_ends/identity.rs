//! Recognition of a request over the tries of its caller, each of which has an id of its own.

use std::net::IpAddr;

use xxhash_rust::xxh3::Xxh3;

use crate::call::CallAttributes;
use crate::stream_versions::StreamKey;

/// Identifies a request, or one try of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestKey(pub u64);

/// What a request consists of, beside its attributes.
#[derive(Clone, Copy, Debug)]
pub struct RequestContent<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Host that the request was sent to.
    pub host: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// The body; empty if there is none.
    pub body: &'a [u8],
    /// The tenant that sent it, if there are tenants.
    pub tenant: Option<&'a str>,
    /// Address of the caller.
    pub caller: Option<IpAddr>,
}

/// By what a request is recognized in later tries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestIdentity {
    /// What stays the same over all tries.
    pub content: RequestKey,
    /// Whether requests of other callers may have the same content.
    pub is_shared: bool,
    /// This try.
    pub attempt: RequestKey,
    /// The try that began the stream which this one takes up again.
    pub resumed: Option<RequestKey>,
}

impl RequestIdentity {
    /// Returns the identity of a try.
    ///
    /// The attributes that name a program or the last segment of a prompt belong to one request or
    /// one sequence of turns. Other requests are recognized by their content only, which is compared
    /// for one address of callers if they have no body either.
    pub fn of(content: &RequestContent<'_>, attributes: &CallAttributes) -> Self {
        let is_shared = attributes.program.is_none() && attributes.prompt.is_empty();
        let attempt = attributes.request_id.as_deref().map(of_attempt);
        let content = content_key(content, attributes);
        Self {
            content,
            is_shared,
            attempt: attempt.unwrap_or(content),
            resumed: attributes.resumes.as_deref().map(of_attempt),
        }
    }
}

impl RequestIdentity {
    /// Returns the keys by which the request may be known.
    pub fn keys(&self) -> impl Iterator<Item = RequestKey> {
        let keys = [Some(self.content), Some(self.attempt), self.resumed];
        keys.into_iter().flatten()
    }
}

fn of_attempt(request_id: &str) -> RequestKey {
    RequestKey(StreamKey::of(request_id).0)
}

fn content_key(content: &RequestContent<'_>, attributes: &CallAttributes) -> RequestKey {
    let mut hash = Xxh3::new();
    let mut add = |part: &[u8]| {
        hash.update(&part.len().to_le_bytes());
        hash.update(part);
    };
    add(content.method.as_bytes());
    add(content.host.as_bytes());
    add(content.path.as_bytes());
    add(content.body);
    for part in [
        content.tenant,
        attributes.program.as_deref(),
        attributes.session.as_deref(),
        attributes.previous_turn.as_deref(),
        attributes.affinity_key.as_deref(),
    ] {
        add(part.unwrap_or_default().as_bytes());
    }
    for segment in &attributes.prompt {
        add(segment.id.as_bytes());
        add(&segment.tokens.to_le_bytes());
    }
    let names_no_owner = attributes.program.is_none() && attributes.prompt.is_empty();
    if let (true, true, Some(caller)) = (names_no_owner, content.body.is_empty(), content.caller) {
        add(caller.to_string().as_bytes());
    }
    RequestKey(hash.digest())
}
