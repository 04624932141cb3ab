//! Test setup: a sidecar, a scripted node and an HTTP client.

use std::time::Duration;

use awc::http::{Method, StatusCode};
use elderworks_settings::{BearerToken, SidecarLimits, SidecarProcessSettings};
use elderworks_sidecar::{SidecarHandle, start};
use elderworks_types::{TenantId, ZoneId};
use serde_json::Value;

use crate::node::ScriptedNode;

/// Token of the first tenant.
pub const OFFICE: &str = "office-token";
/// Token of the second tenant.
pub const KITCHEN: &str = "kitchen-token";
/// Maximum body size that the sidecar under test accepts, in bytes.
pub const MAX_BODY_BYTES: usize = 4096;

/// Maximum number of readiness checks.
const READY_ATTEMPTS: u32 = 600;
/// Interval between readiness checks.
const READY_INTERVAL: Duration = Duration::from_millis(50);

/// A sidecar, its node and a client.
pub struct Setup {
    pub node: ScriptedNode,
    pub sidecar: SidecarHandle,
    client: awc::Client,
}

/// A response with its full body.
#[derive(Debug)]
pub struct Reply {
    pub status: StatusCode,
    pub headers: awc::http::header::HeaderMap,
    pub body: String,
}

impl Reply {
    /// Parses the body as JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or_else(|_| panic!("not JSON: {}", self.body))
    }

    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }

    /// Returns the data of all server-sent events.
    pub fn events(&self) -> Vec<String> {
        self.body
            .lines()
            .filter_map(|line| line.strip_prefix("data: "))
            .map(str::to_owned)
            .collect()
    }
}

/// Maximum time to wait for a response; longer than the sidecar waits for a silent node.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(20);

/// Starts a node and a sidecar, and waits until the sidecar is ready.
pub async fn setup() -> Setup {
    setup_with(|_| {}).await
}

/// Like [`setup`], with changed limits.
pub async fn setup_with(change: impl FnOnce(&mut SidecarLimits)) -> Setup {
    let mut limits = SidecarLimits {
        max_body_bytes: MAX_BODY_BYTES,
        ..SidecarLimits::default()
    };
    change(&mut limits);
    let node = ScriptedNode::start().await;
    let settings = SidecarProcessSettings {
        listen: "127.0.0.1:0".parse().expect("an address"),
        nodes: vec![node.address],
        zone: ZoneId::new("zone-a"),
        default_program: None,
        tenants: [("office", OFFICE), ("kitchen", KITCHEN)]
            .map(|(tenant, token)| (TenantId::new(tenant), BearerToken::new(token)))
            .into(),
        limits,
        logging: Default::default(),
    };
    let sidecar = start(settings).expect("a free port");
    let setup = Setup {
        node,
        sidecar,
        client: awc::Client::builder().timeout(RESPONSE_TIMEOUT).finish(),
    };
    for _ in 0..READY_ATTEMPTS {
        if setup.send(Method::GET, "/readyz", &[], "").await.status == StatusCode::OK {
            return setup;
        }
        actix_rt::time::sleep(READY_INTERVAL).await;
    }
    panic!("the sidecar did not become ready");
}

impl Setup {
    /// Sends a request with the given headers.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Reply {
        let url = format!("http://{}{path}", self.sidecar.address());
        let mut request = self.client.request(method, url);
        for (name, value) in headers {
            request = request.insert_header((*name, *value));
        }
        let mut response = request.send_body(body.to_owned()).await.expect("an answer");
        let bytes = response.body().await.expect("a whole body");
        Reply {
            status: response.status(),
            headers: response.headers().clone(),
            body: String::from_utf8(bytes.to_vec()).expect("text"),
        }
    }

    /// Sends a request as a tenant.
    pub async fn send_as(&self, token: &str, method: Method, path: &str, body: &str) -> Reply {
        let bearer = format!("Bearer {token}");
        self.send(method, path, &[("authorization", &bearer)], body)
            .await
    }

    /// Starts a run as a tenant; returns its id.
    pub async fn start_run(&self, token: &str) -> String {
        let body = r#"{"program":"boundary"}"#;
        let reply = self.send_as(token, Method::POST, "/v1/runs", body).await;
        assert_eq!(reply.status, StatusCode::CREATED, "{}", reply.body);
        reply.json()["id"].as_str().expect("an id").to_owned()
    }
}
