//! The gateway's own small calls: readiness, the registry's answer, counters.

use std::rc::Rc;
use std::time::Duration;

use actix_http::StatusCode;
use actix_http::header::{CONTENT_TYPE, HeaderMap, HeaderValue};
use bytes::Bytes;
use elderworks_gateway_core::pressure::BufferKind;
use tokio::net::{TcpListener, TcpStream};

use crate::caller::Caller;
use crate::clock::millis;
use crate::gateway::{Gateway, Stage};
use crate::metrics::TenantLabel;
use crate::ports::EndpointRequest;
use crate::server::{CallerRequest, RequestReader};
use crate::socket;

/// Pause after a failed accept.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// What is asked at an address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Entry {
    /// Readiness and the registry's answer.
    Platform,
    /// Counters.
    Metrics,
}

/// Accepts and answers until the node closes.
pub(crate) async fn accept(gateway: Rc<Gateway>, listener: TcpListener, entry: Entry) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                actix_rt::spawn(serve(gateway.clone(), stream, entry));
            }
            Err(_) => actix_rt::time::sleep(ACCEPT_BACKOFF).await,
        }
    }
}

async fn serve(gateway: Rc<Gateway>, stream: TcpStream, entry: Entry) {
    socket::set_options(&stream);
    let mut reader = RequestReader::new(&gateway, stream);
    while let Ok(request) = reader.next(&gateway).await {
        let answer = match entry {
            Entry::Platform => answer(&gateway, &request),
            Entry::Metrics => metrics(&gateway),
        };
        let close = gateway.stage() == Stage::Closing;
        let share = gateway.memory.reservation(BufferKind::Callers);
        let mut caller = Caller::new(&mut reader.codec, &mut reader.sender, share, close);
        let sent = caller
            .send_whole(answer.status, &answer.headers(), &answer.body)
            .await;
        if sent.is_err() || close || !reader.codec.keep_alive() {
            break;
        }
    }
    reader.sender.shut_down().await;
}

struct EntryAnswer {
    status: StatusCode,
    media_type: &'static str,
    body: Bytes,
}

impl EntryAnswer {
    fn headers(&self) -> HeaderMap {
        let mut headers = HeaderMap::new();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static(self.media_type));
        headers
    }
}

fn answer(gateway: &Gateway, request: &CallerRequest) -> EntryAnswer {
    let call = gateway
        .platform
        .parse_endpoint_request(&request.head.method, &request.head.uri);
    match call {
        EndpointRequest::Ready if gateway.is_ready() => text(StatusCode::OK, "ready"),
        EndpointRequest::Ready => text(StatusCode::SERVICE_UNAVAILABLE, "not ready"),
        EndpointRequest::Resolve { zone } => resolve(gateway, zone.as_deref()),
        EndpointRequest::Unknown => text(StatusCode::NOT_FOUND, "no such call"),
    }
}

fn resolve(gateway: &Gateway, zone: Option<&str>) -> EntryAnswer {
    let addresses = gateway
        .nodes
        .borrow()
        .addresses_for(zone, |node| gateway.is_offered(node));
    if addresses.is_empty() {
        return text(
            StatusCode::SERVICE_UNAVAILABLE,
            "no node is known to be ready",
        );
    }
    let ttl = Duration::from_millis(gateway.settings.policy.addresses_ttl_ms);
    let ttl = ttl.min(gateway.settings.longest_ttl);
    EntryAnswer {
        status: StatusCode::OK,
        media_type: "application/json",
        body: gateway.platform.resolve_response(&addresses, ttl),
    }
}

/// Most tenants that are shown.
const TENANTS_SHOWN: usize = 20;

/// Brings figures up to date that are worked out when they are asked for.
fn refresh(gateway: &Gateway) {
    let (now, proof) = (gateway.now(), *gateway.config_proof.borrow());
    gateway.metrics.proof_age_ms.set(millis(proof.age(now)));
    let read_age = millis(proof.last_read_age(now));
    gateway.metrics.config_read_age_ms.set(read_age);
    let shown = &gateway.metrics.quota_used_percent;
    shown.clear();
    let Some(config) = gateway.current_config() else {
        return;
    };
    for (key, used) in gateway.quotas.borrow().most_used(TENANTS_SHOWN) {
        let Some(tenant) = config.tenants.iter().find(|tenant| tenant.key() == key) else {
            continue;
        };
        let label = TenantLabel {
            tenant: tenant.name.clone(),
        };
        shown
            .get_or_create(&label)
            .set((used * 100.0).round() as i64);
    }
}

fn metrics(gateway: &Gateway) -> EntryAnswer {
    refresh(gateway);
    EntryAnswer {
        status: StatusCode::OK,
        media_type: "text/plain",
        body: Bytes::from(gateway.metrics.encode()),
    }
}

fn text(status: StatusCode, words: &'static str) -> EntryAnswer {
    EntryAnswer {
        status,
        media_type: "text/plain",
        body: Bytes::from_static(words.as_bytes()),
    }
}
