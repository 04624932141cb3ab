//! Which connections a client uses again, and how many exchanges it has in progress.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::{Method, RequestHead};
use bytes::Bytes;
use elderworks_http_client::client::{Client, Response, SendError};
use elderworks_http_client::response::ResponseError;
use elderworks_http_client::url::Url;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(10);

/// Time for a request and its response over loopback.
const EXCHANGE_TIME: Duration = Duration::from_millis(50);

const MAX_BYTES: usize = 1_000;

/// A server that sends the same bytes to every request, and keeps its connections open.
struct Server {
    address: SocketAddr,
    connections: Rc<Cell<usize>>,
    requests: Rc<Cell<usize>>,
}

impl Server {
    async fn start(answer: &'static str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let server = Self {
            address: listener.local_addr().expect("an address"),
            connections: Rc::default(),
            requests: Rc::default(),
        };
        let (connections, requests) = (server.connections.clone(), server.requests.clone());
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                connections.set(connections.get() + 1);
                actix_rt::spawn(serve(stream, answer, requests.clone()));
            }
        });
        server
    }

    async fn send(&self, client: &Client) -> Result<Response, SendError> {
        let mut head = RequestHead::default();
        head.method = Method::GET;
        client.send(self.address, head, &Bytes::new()).await
    }

    /// Sends a request and receives the whole response.
    async fn exchange(&self, client: &Client) -> Result<Bytes, ResponseError> {
        let mut response = self.send(client).await.expect("a response");
        response.whole_body(MAX_BYTES).await
    }
}

async fn serve(mut stream: TcpStream, answer: &str, requests: Rc<Cell<usize>>) {
    let mut received = Vec::new();
    while let Ok(count) = stream.read_buf(&mut received).await
        && count > 0
    {
        if received.ends_with(b"\r\n\r\n") {
            received.clear();
            requests.set(requests.get() + 1);
            stream.write_all(answer.as_bytes()).await.expect("a client");
        }
    }
}

#[actix_rt::test]
async fn connections_are_used_again_after_whole_responses() {
    let table = [
        ("Content-Length: 2\r\n\r\nhi", 1),
        ("Content-Length: 0\r\n\r\n", 1),
        ("Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", 1),
        ("Content-Length: 2\r\nConnection: close\r\n\r\nhi", 3),
        ("Content-Length: 2\r\n\r\nhi and more", 3),
    ];
    for (answer, connections) in table {
        let answer: &str = Box::leak(format!("HTTP/1.1 200 OK\r\n{answer}").into_boxed_str());
        let server = Server::start(answer).await;
        let client = Client::new(CONNECT_TIMEOUT, 1);
        for _ in 0..3 {
            server.exchange(&client).await.expect("whole");
        }
        assert_eq!(server.connections.get(), connections, "{answer}");
    }
}

#[actix_rt::test]
async fn a_request_that_is_sent_alone_shares_its_connection_with_no_other() {
    let server = Server::start("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi").await;
    let client = Client::new(CONNECT_TIMEOUT, 1);
    // The kept connection stays with the requests that aren't sent alone.
    for (is_alone, connections) in [(false, 1), (true, 2), (true, 3), (false, 3), (true, 4)] {
        let mut response = match is_alone {
            true => {
                let head = RequestHead::default();
                client.send_alone(server.address, head, &Bytes::new()).await
            }
            false => server.send(&client).await,
        };
        let response = response.as_mut().expect("a response");
        response.whole_body(MAX_BYTES).await.expect("whole");
        assert_eq!(server.connections.get(), connections);
    }
}

#[actix_rt::test]
async fn a_connection_whose_response_is_not_read_is_closed() {
    let server = Server::start("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi").await;
    let client = Client::new(CONNECT_TIMEOUT, 1);
    for _ in 0..3 {
        drop(server.send(&client).await.expect("a response"));
    }
    assert_eq!(server.connections.get(), 3);
}

#[actix_rt::test]
async fn a_body_beyond_the_limit_is_not_received() {
    let server = Server::start("HTTP/1.1 200 OK\r\nContent-Length: 1001\r\n\r\n").await;
    let received = server.exchange(&Client::new(CONNECT_TIMEOUT, 1)).await;
    assert_eq!(received, Err(ResponseError::TooLarge(MAX_BYTES)));
}

#[actix_rt::test]
async fn requests_wait_while_the_most_exchanges_are_in_progress() {
    let server = Server::start("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi").await;
    let client = Client::new(CONNECT_TIMEOUT, 2);
    let first = server.send(&client).await.expect("a response");
    let _second = server.send(&client).await.expect("a response");
    let waiting = actix_rt::time::timeout(EXCHANGE_TIME, server.send(&client)).await;
    assert!(waiting.is_err());
    assert_eq!(server.requests.get(), 2);
    drop(first);
    server.send(&client).await.expect("a response");
    assert_eq!(server.requests.get(), 3);
}

#[actix_rt::test]
async fn urls_are_split_and_resolved() {
    let table = [
        (
            "http://127.0.0.1:1/v1/x?y=http://z/",
            Some(("127.0.0.1:1", "/v1/x?y=http://z/")),
        ),
        ("http://node-a:80", Some(("node-a:80", ""))),
        ("http:///v1", None),
        ("http://", None),
        ("https://127.0.0.1:1/", None),
        ("127.0.0.1:1", None),
        ("", None),
    ];
    for (url, expected) in table {
        let expected = expected.map(|(authority, path)| Url { authority, path });
        assert_eq!(Url::split(url), expected, "{url}");
    }
    let address = SocketAddr::from(([127, 0, 0, 1], 7_301));
    let url = Url::split("http://127.0.0.1:7301/v1").expect("a URL");
    assert_eq!(url.resolve().await.expect("an address"), address);
    let without_port = Url::split("http://127.0.0.1").expect("a URL");
    assert!(without_port.resolve().await.is_err());
}
