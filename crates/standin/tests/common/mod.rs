//! Helpers of the contract tests: servers on free ports, raw requests and tables of bad requests.

#![allow(dead_code)]

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::time::{Duration, Instant};

use awc::http::{Method, StatusCode};
use elderworks_backend::{Endpoint, HttpClient};
use elderworks_platform_api::{ErrorBody, ErrorCode, MAX_BODY_BYTES};
use elderworks_standin::{ServerHandle, listen};
use serde::Serialize;

/// Timeout that exceeds the duration of any request in these tests.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

pub fn free_port() -> TcpListener {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    listen(address).expect("loopback has a free port")
}

pub fn endpoint(server: &ServerHandle) -> Endpoint {
    Endpoint::new(HttpClient::new(), &server.url(), TEST_TIMEOUT)
}

/// Polls a condition until it holds; panics after `TEST_TIMEOUT`.
pub async fn eventually<F: Future<Output = bool>>(what: &str, mut condition: impl FnMut() -> F) {
    let start = Instant::now();
    while !condition().await {
        assert!(start.elapsed() < TEST_TIMEOUT, "{what} did not come true");
        actix_rt::time::sleep(Duration::from_millis(5)).await;
    }
}

/// An undecoded response.
#[derive(Debug)]
pub struct RawAnswer {
    pub status: StatusCode,
    pub body: Vec<u8>,
}

impl RawAnswer {
    pub fn error(&self) -> ErrorBody {
        serde_json::from_slice(&self.body).expect("an error body")
    }
}

/// Sends a request directly, without the clients' encoding and checks.
pub async fn raw(
    server: &ServerHandle,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<Vec<u8>>,
) -> RawAnswer {
    let client = awc::Client::builder().timeout(TEST_TIMEOUT).finish();
    let mut request = client.request(method, format!("{}{path}", server.url()));
    for header in headers {
        request = request.insert_header(*header);
    }
    let mut answer = request.send_body(body.into()).await.expect("an answer");
    RawAnswer {
        status: answer.status(),
        body: answer.body().await.expect("a complete body").to_vec(),
    }
}

pub async fn put_faults(server: &ServerHandle, faults: &impl Serialize) {
    let body = serde_json::to_vec(faults).expect("faults encode");
    let answer = raw(server, Method::PUT, "/v1/faults", &[], body).await;
    assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
}

/// A request that must be refused, with the expected status and error code.
pub struct BadRequest {
    pub name: &'static str,
    pub method: Method,
    pub path: &'static str,
    pub headers: &'static [(&'static str, &'static str)],
    pub body: &'static [u8],
    pub status: StatusCode,
    pub code: ErrorCode,
}

impl BadRequest {
    pub const fn new(
        name: &'static str,
        method: Method,
        path: &'static str,
        body: &'static [u8],
        (status, code): (StatusCode, ErrorCode),
    ) -> Self {
        Self {
            name,
            method,
            path,
            headers: &[],
            body,
            status,
            code,
        }
    }

    pub const fn with_headers(mut self, headers: &'static [(&'static str, &'static str)]) -> Self {
        self.headers = headers;
        self
    }
}

pub const INVALID: (StatusCode, ErrorCode) = (StatusCode::BAD_REQUEST, ErrorCode::InvalidRequest);
pub const NOT_FOUND: (StatusCode, ErrorCode) = (StatusCode::NOT_FOUND, ErrorCode::NotFound);
pub const WRONG_METHOD: (StatusCode, ErrorCode) =
    (StatusCode::METHOD_NOT_ALLOWED, ErrorCode::MethodNotAllowed);

/// A body one byte above the limit.
pub static OVERSIZED: [u8; MAX_BODY_BYTES + 1] = [b' '; MAX_BODY_BYTES + 1];

pub const TOO_LARGE: (StatusCode, ErrorCode) =
    (StatusCode::PAYLOAD_TOO_LARGE, ErrorCode::BodyTooLarge);

/// Asserts that each request is refused as not run and that the service stays healthy.
pub async fn assert_refused(server: &ServerHandle, table: &[BadRequest]) {
    for row in table {
        let answer = raw(server, row.method.clone(), row.path, row.headers, row.body).await;
        assert_eq!(answer.status, row.status, "{}: {answer:?}", row.name);
        let error = answer.error();
        assert_eq!(error.error.code, row.code, "{}", row.name);
        assert_eq!(error.run, Some(false), "{}", row.name);
        let health = raw(server, Method::GET, "/healthz", &[], "").await;
        assert_eq!(health.status, StatusCode::OK, "{}", row.name);
    }
}
