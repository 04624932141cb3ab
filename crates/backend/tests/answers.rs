//! Classification of responses and connection failures, with raw responses from a test server.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, TcpListener, TcpStream};
use std::time::Duration;

use elderworks_backend::{
    BackendError, Endpoint, HttpClient, HttpLogClient, LogClient, LostReason,
};
use elderworks_platform_api::ErrorCode;
use elderworks_types::Offset;

const TEST_TIMEOUT: Duration = Duration::from_secs(20);
const PAGE_BYTES: usize = 1 << 20;

/// How a server ends the connection after its answer.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Ending {
    Close,
    Reset,
    /// Waits for the client to close it.
    Hang,
}

/// Starts a server that answers the first request with `answer` and ends the connection. Returns the
/// server's URL.
fn serve_once(answer: Vec<u8>, ending: Ending) -> String {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let address = listener.local_addr().expect("bound");
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a client");
        read_head(&mut stream);
        stream.write_all(&answer).expect("the client reads");
        match ending {
            Ending::Close => {}
            Ending::Reset => {
                let socket = socket2::SockRef::from(&stream);
                socket.set_linger(Some(Duration::ZERO)).expect("an option");
            }
            Ending::Hang => {
                // Returns once the client closes the connection.
                let _ = stream.read(&mut [0]);
            }
        }
    });
    format!("http://{address}")
}

fn read_head(stream: &mut TcpStream) {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).expect("a request");
        head.push(byte[0]);
    }
}

async fn read(url: &str, timeout: Duration) -> Result<Vec<Vec<u8>>, BackendError> {
    let client = HttpLogClient::new(Endpoint::new(HttpClient::new(), url, timeout));
    let page = client
        .read("stream", Offset(0), PAGE_BYTES, Duration::ZERO)
        .await?;
    Ok(page.records.into_iter().map(|record| record.data).collect())
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Classified {
    Rejected(ErrorCode, Option<Duration>),
    Lost(LostReason),
    Errored(ErrorCode),
}

fn classify(error: BackendError) -> Classified {
    match error {
        BackendError::NotSent { detail } => {
            panic!("not sent, although the server accepts connections: {detail}")
        }
        BackendError::Rejected {
            code, retry_after, ..
        } => Classified::Rejected(code, retry_after),
        BackendError::Lost { reason, .. } => Classified::Lost(reason),
        BackendError::Errored { code, .. } => Classified::Errored(code),
    }
}

/// Returns a response whose `content-length` is correct.
fn complete(head: &str, body: &str) -> Vec<u8> {
    with_length(head, body, body.len())
}

/// Returns a response whose connection closes before the end of the body.
fn truncated(head: &str, body: &str) -> Vec<u8> {
    with_length(head, body, body.len() + 1)
}

fn with_length(head: &str, body: &str, length: usize) -> Vec<u8> {
    format!("HTTP/1.1 {head}\r\ncontent-length: {length}\r\n\r\n{body}").into_bytes()
}

/// Returns a response in chunks whose connection closes before the last one.
fn without_last_chunk(body: &str) -> Vec<u8> {
    let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    format!("{head}{:x}\r\n{body}\r\n", body.len()).into_bytes()
}

const PAGE: &str = r#"{"records":[{"offset":0,"data":"b25l"}],"end":1}"#;
const OTHER_PAGE: &str = r#"{"records":[{"offset":7,"data":"b25l"}],"end":8}"#;
const REFUSAL: &str = r#"{"error":{"code":"queue_full","message":"full"},"run":false}"#;
const UNAVAILABLE: &str = "503 Service Unavailable\r\nretry-after: 2";

#[actix_rt::test]
async fn a_valid_answer_is_accepted() {
    let url = serve_once(complete("200 OK", PAGE), Ending::Close);
    assert_eq!(read(&url, TEST_TIMEOUT).await, Ok(vec![b"one".to_vec()]));
}

#[actix_rt::test]
async fn failures_are_classified_by_whether_the_request_may_have_run() {
    let broken = Classified::Lost(LostReason::Broken);
    let malformed = Classified::Lost(LostReason::Malformed);
    let errored = Classified::Errored(ErrorCode::Other);
    let rejected = Classified::Rejected(ErrorCode::QueueFull, Some(Duration::from_secs(2)));
    let chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n9\r\n{\"records\r\n";
    let redirect = "307 Temporary Redirect\r\nlocation: http://127.0.0.1:1/";
    let table = [
        ("closed at once", Vec::new(), broken),
        ("cut in the status line", b"HTTP/1.1 20".to_vec(), broken),
        (
            "cut in the headers",
            b"HTTP/1.1 200 OK\r\nco".to_vec(),
            broken,
        ),
        (
            "another protocol",
            b"220 mail ready\r\n\r\n".to_vec(),
            malformed,
        ),
        ("cut before the body", truncated("200 OK", ""), broken),
        ("cut in the body", truncated("200 OK", PAGE), broken),
        ("cut between chunks", chunked.into(), broken),
        (
            "cut before the last chunk",
            without_last_chunk(PAGE),
            broken,
        ),
        ("a status of zeros", complete("000 OK", PAGE), malformed),
        ("an unknown status", complete("600 OK", PAGE), malformed),
        (
            "a blank in a name",
            complete("200 OK\r\nX Extra: 1", PAGE),
            malformed,
        ),
        (
            "a blank before a colon",
            complete("200 OK\r\nX-Extra : 1", PAGE),
            malformed,
        ),
        (
            "a control byte in a name",
            complete("200 OK\r\nX-\u{1}: 1", PAGE),
            malformed,
        ),
        (
            "two lengths",
            complete("200 OK\r\nContent-Length: 48", PAGE),
            malformed,
        ),
        (
            "an unknown coding",
            complete("200 OK\r\nTransfer-Encoding: gzip", PAGE),
            malformed,
        ),
        (
            "beyond the limit",
            with_length("200 OK", "", 99_999_999),
            malformed,
        ),
        (
            "no body",
            b"HTTP/1.1 204 No Content\r\n\r\n".to_vec(),
            malformed,
        ),
        ("not JSON", complete("200 OK", "well"), malformed),
        ("other records", complete("200 OK", OTHER_PAGE), malformed),
        ("a redirect", complete(redirect, ""), errored),
        (
            "an error without a claim",
            complete("502 Bad Gateway", "html"),
            errored,
        ),
        ("a refusal", complete(UNAVAILABLE, REFUSAL), rejected),
        (
            "a refusal cut short",
            truncated(UNAVAILABLE, REFUSAL),
            broken,
        ),
    ];
    let mut wrong = Vec::new();
    for (name, answer, expected) in table {
        let url = serve_once(answer, Ending::Close);
        let found = read(&url, TEST_TIMEOUT).await.map_err(classify);
        if found != Err(expected) {
            wrong.push((name, found));
        }
    }
    assert!(wrong.is_empty(), "{wrong:?}");
}

/// Its connection tells where such an answer ends.
#[actix_rt::test]
async fn an_answer_without_a_length_is_whole_unless_its_connection_is_reset() {
    let answer = format!("HTTP/1.1 200 OK\r\n\r\n{PAGE}").into_bytes();
    let url = serve_once(answer.clone(), Ending::Close);
    assert_eq!(read(&url, TEST_TIMEOUT).await, Ok(vec![b"one".to_vec()]));
    let url = serve_once(answer, Ending::Reset);
    let error = read(&url, TEST_TIMEOUT).await.expect_err("reset");
    assert_eq!(classify(error), Classified::Lost(LostReason::Broken));
}

#[actix_rt::test]
async fn an_offer_of_another_protocol_leaves_the_body() {
    let answer = complete("200 OK\r\nUpgrade: websocket", PAGE);
    let url = serve_once(answer, Ending::Hang);
    assert_eq!(read(&url, TEST_TIMEOUT).await, Ok(vec![b"one".to_vec()]));
}

#[actix_rt::test]
async fn an_incomplete_answer_times_out() {
    for answer in [Vec::new(), truncated("200 OK", "{")] {
        let url = serve_once(answer, Ending::Hang);
        let error = read(&url, Duration::from_millis(100)).await;
        let error = error.expect_err("the answer is incomplete");
        assert_eq!(classify(error), Classified::Lost(LostReason::TimedOut));
    }
}

#[actix_rt::test]
async fn requests_without_a_connection_are_not_sent() {
    let unused = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let refusing = format!("http://{}", unused.local_addr().expect("bound"));
    drop(unused);
    let table = [
        refusing.as_str(),
        "http://",
        "127.0.0.1:1",
        "ftp://127.0.0.1:1",
        "",
    ];
    for url in table {
        let error = read(url, TEST_TIMEOUT).await.expect_err(url);
        assert!(
            matches!(error, BackendError::NotSent { .. }),
            "{url}: {error:?}"
        );
    }
}
