//! The gateway's own HTTP endpoints: readiness, node addresses and metrics.

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
use crate::open_work::WorkCounter;
use crate::ports::EndpointRequest;
use crate::server::{CallerRequest, RequestReader};
use crate::socket;

/// Pause after a failed accept.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Which endpoints an address serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Endpoints {
    /// Readiness and the addresses of nodes.
    Platform,
    /// Metrics.
    Metrics,
}

/// Accepts connections and serves them until the process ends.
pub(crate) async fn accept(gateway: Rc<Gateway>, listener: TcpListener, endpoints: Endpoints) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                actix_rt::spawn(serve(gateway.clone(), stream, endpoints));
            }
            Err(_) => actix_rt::time::sleep(ACCEPT_BACKOFF).await,
        }
    }
}

async fn serve(gateway: Rc<Gateway>, stream: TcpStream, endpoints: Endpoints) {
    socket::set_options(&stream);
    let mut reader = RequestReader::new(&gateway, stream, WorkCounter::default());
    while let Ok(request) = reader.next(&gateway).await {
        let response = match endpoints {
            Endpoints::Platform => respond(&gateway, &request),
            Endpoints::Metrics => metrics(&gateway),
        };
        let close = gateway.stage() >= Stage::Closing;
        let reservation = gateway.memory.reservation(BufferKind::Callers);
        let mut caller = Caller::new(&mut reader.codec, &mut reader.sender, reservation, close);
        let sent = caller
            .send_whole(response.status, &response.headers(), &response.body)
            .await;
        if sent.is_err() || close || !reader.codec.keep_alive() {
            break;
        }
    }
    reader.sender.shut_down().await;
}

struct EndpointResponse {
    status: StatusCode,
    media_type: &'static str,
    body: Bytes,
}

impl EndpointResponse {
    fn headers(&self) -> HeaderMap {
        let mut headers = HeaderMap::new();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static(self.media_type));
        headers
    }
}

fn respond(gateway: &Gateway, request: &CallerRequest) -> EndpointResponse {
    let requested = gateway
        .platform
        .parse_endpoint_request(&request.head.method, &request.head.uri);
    match requested {
        EndpointRequest::Ready if gateway.is_ready() => text(StatusCode::OK, "ready"),
        EndpointRequest::Ready => text(StatusCode::SERVICE_UNAVAILABLE, "not ready"),
        EndpointRequest::Resolve { zone } => resolve(gateway, zone.as_deref()),
        EndpointRequest::Unknown => text(StatusCode::NOT_FOUND, "no such endpoint"),
    }
}

fn resolve(gateway: &Gateway, zone: Option<&str>) -> EndpointResponse {
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
    EndpointResponse {
        status: StatusCode::OK,
        media_type: "application/json",
        body: gateway.platform.resolve_response(&addresses, ttl),
    }
}

/// Maximum number of tenants whose quota usage is exposed.
const MAX_TENANTS_EXPOSED: usize = 20;

/// Updates the metrics that are computed on request.
fn update_computed_metrics(gateway: &Gateway) {
    let (now, proof) = (gateway.now(), *gateway.config_proof.borrow());
    gateway.metrics.proof_age_ms.set(millis(proof.age(now)));
    let read_age = millis(proof.last_read_age(now));
    gateway.metrics.config_read_age_ms.set(read_age);
    let gauges = &gateway.metrics.quota_used_percent;
    gauges.clear();
    let Some(config) = gateway.current_config() else {
        return;
    };
    for (key, used) in gateway.quotas.borrow().most_used(MAX_TENANTS_EXPOSED) {
        let Some(tenant) = config.tenants.iter().find(|tenant| tenant.key() == key) else {
            continue;
        };
        let label = TenantLabel {
            tenant: tenant.name.clone(),
        };
        gauges
            .get_or_create(&label)
            .set((used * 100.0).round() as i64);
    }
}

fn metrics(gateway: &Gateway) -> EndpointResponse {
    update_computed_metrics(gateway);
    EndpointResponse {
        status: StatusCode::OK,
        media_type: "text/plain",
        body: Bytes::from(gateway.metrics.encode()),
    }
}

fn text(status: StatusCode, body: &'static str) -> EndpointResponse {
    EndpointResponse {
        status,
        media_type: "text/plain",
        body: Bytes::from_static(body.as_bytes()),
    }
}
