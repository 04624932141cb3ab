//! The operators' client and answers of nodes that are none, or only a part of one.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, TcpListener};

use elderworks_cli::verbs::{ApiClient, VerbError};
use elderworks_control::api::Collection;
use elderworks_types::resource::Kind;

const LIST: &str = r#"{"apiVersion":"elderworks/v1","kind":"BudgetList","items":[]}"#;

/// Starts a node that answers the first request and closes the connection. Returns its URL.
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

async fn list(answer: String) -> Result<usize, VerbError> {
    let client = ApiClient::new(&serve_once(answer), None);
    let list = client.list(Collection::Writable(Kind::Budget)).await?;
    Ok(list.items.len())
}

#[actix_rt::test]
async fn whole_answers_are_read() {
    let length = LIST.len();
    for lines in [
        format!("Content-Length: {length}\r\n\r\n{LIST}"),
        format!("Content-Length: {length}\r\nUpgrade: websocket\r\n\r\n{LIST}"),
        format!("Transfer-Encoding: chunked\r\n\r\n{length:x}\r\n{LIST}\r\n0\r\n\r\n"),
        format!("X-Extra: 1\r\n\r\n{LIST}"),
    ] {
        let read = list(format!("HTTP/1.1 200 OK\r\n{lines}")).await;
        assert!(matches!(read, Ok(0)), "{lines}: {read:?}");
    }
}

/// A change that such an answer belongs to may have been made.
#[actix_rt::test]
async fn broken_answers_are_failures_of_the_connection() {
    let length = LIST.len();
    let mut wrong = Vec::new();
    for answer in [
        format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{LIST}",
            length + 1
        ),
        format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{length:x}\r\n{LIST}\r\n"),
        format!("HTTP/1.1 200 OK\r\nContent-Length : {length}\r\n\r\n{LIST}"),
        format!("HTTP/1.1 200 OK\r\nX Extra: 1\r\nContent-Length: {length}\r\n\r\n{LIST}"),
        format!("HTTP/1.1 000 OK\r\nContent-Length: {length}\r\n\r\n{LIST}"),
        format!("HTTP/1.1 600 OK\r\nContent-Length: {length}\r\n\r\n{LIST}"),
    ] {
        let read = list(answer.clone()).await;
        if !matches!(read, Err(VerbError::ConnectionLost(_))) {
            wrong.push((answer, read));
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}
