//! The client of the callers' API and answers that are none, or only a part of one.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, TcpListener};

use elderworks_sidecar::client::{CallerClient, ClientError};
use elderworks_types::RunId;

const HISTORY: &str = r#"{"messages":[]}"#;

/// Starts a server that answers the first request and closes the connection. Returns its URL.
fn serve_once(answer: String) -> String {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let url = format!("http://{}", listener.local_addr().expect("an address"));
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a client");
        let mut received = Vec::new();
        let mut byte = [0];
        while !received.ends_with(b"\r\n\r\n") {
            stream.read_exact(&mut byte).expect("a request");
            received.push(byte[0]);
        }
        stream
            .write_all(answer.as_bytes())
            .expect("the client reads");
    });
    url
}

async fn history(answer: String) -> Result<usize, ClientError> {
    let client = CallerClient::new(&serve_once(answer), "token");
    let messages = client.history(RunId::root(1)).await?;
    Ok(messages.len())
}

#[actix_rt::test]
async fn whole_answers_are_read() {
    let length = HISTORY.len();
    for lines in [
        format!("Content-Length: {length}\r\n\r\n{HISTORY}"),
        format!("Content-Length: {length}\r\nUpgrade: websocket\r\n\r\n{HISTORY}"),
        format!("Transfer-Encoding: chunked\r\n\r\n{length:x}\r\n{HISTORY}\r\n0\r\n\r\n"),
        format!("X-Extra: 1\r\n\r\n{HISTORY}"),
    ] {
        let read = history(format!("HTTP/1.1 200 OK\r\n{lines}")).await;
        assert_eq!(read, Ok(0), "{lines}");
    }
}

#[actix_rt::test]
async fn broken_answers_are_failures_of_the_connection() {
    let length = HISTORY.len();
    let mut wrong = Vec::new();
    for answer in [
        format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{HISTORY}",
            length + 1
        ),
        format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{length:x}\r\n{HISTORY}\r\n"),
        format!("HTTP/1.1 200 OK\r\nContent-Length : {length}\r\n\r\n{HISTORY}"),
        format!("HTTP/1.1 200 OK\r\nX Extra: 1\r\nContent-Length: {length}\r\n\r\n{HISTORY}"),
        format!("HTTP/1.1 000 OK\r\nContent-Length: {length}\r\n\r\n{HISTORY}"),
        format!("HTTP/1.1 600 OK\r\nContent-Length: {length}\r\n\r\n{HISTORY}"),
    ] {
        let read = history(answer.clone()).await;
        if !matches!(read, Err(ClientError::Connection(_))) {
            wrong.push((answer, read));
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}
