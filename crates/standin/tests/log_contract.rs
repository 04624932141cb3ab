//! Tests of the log interface, through its client and by raw requests.

mod common;

use std::time::Duration;

use awc::http::Method;
use bytes::Bytes;
use common::{
    BadRequest, INVALID, NOT_FOUND, OVERSIZED, TEST_TIMEOUT, TOO_LARGE, WRONG_METHOD,
    assert_refused, endpoint, free_port, put_faults,
};
use elderworks_backend::{BackendError, HttpLogClient, LogClient, LostReason};
use elderworks_platform_model::LogFaults;
use elderworks_standin::{ServerHandle, log};
use elderworks_types::Offset;

const NO_WAIT: Duration = Duration::ZERO;
const PAGE_BYTES: usize = 1 << 20;

fn start() -> (ServerHandle, HttpLogClient) {
    let server = log::serve(free_port(), log::LogSettings::default()).expect("the server starts");
    let client = HttpLogClient::new(endpoint(&server));
    (server, client)
}

async fn records(client: &HttpLogClient, stream: &str, from: u64) -> Vec<Vec<u8>> {
    let page = client
        .read(stream, Offset(from), PAGE_BYTES, NO_WAIT)
        .await
        .expect("a page");
    page.records.into_iter().map(|record| record.data).collect()
}

#[actix_rt::test]
async fn records_come_back_at_their_offsets_byte_for_byte() {
    let (_server, client) = start();
    let all_bytes: Vec<u8> = (0..=u8::MAX).collect();
    let stream = "names may hold / and % and ü";
    let first = client.append(stream, Bytes::from(all_bytes.clone())).await;
    assert_eq!(first, Ok(Offset(0)));
    let second = client.append(stream, Bytes::new()).await;
    assert_eq!(second, Ok(Offset(1)));
    assert_eq!(records(&client, stream, 0).await, [all_bytes, Vec::new()]);
    assert_eq!(records(&client, stream, 1).await, [Vec::<u8>::new()]);
    assert!(records(&client, "another", 0).await.is_empty());
    let past = client.read(stream, Offset(7), PAGE_BYTES, NO_WAIT).await;
    let past = past.expect("a page");
    assert!(past.records.is_empty());
    assert_eq!(past.end, Offset(2));
}

#[actix_rt::test]
async fn a_read_waits_for_the_next_record() {
    let (_server, client) = start();
    let reader = client.read("stream", Offset(0), PAGE_BYTES, TEST_TIMEOUT);
    let reader = actix_rt::spawn(reader);
    actix_rt::task::yield_now().await;
    let appended = client.append("stream", Bytes::from_static(b"late")).await;
    assert_eq!(appended, Ok(Offset(0)));
    let page = reader.await.expect("the reader ends").expect("a page");
    assert_eq!(page.records[0].data, b"late");
}

#[actix_rt::test]
async fn an_append_whose_answer_is_lost_can_be_read_back() {
    let (server, client) = start();
    put_faults(
        &server,
        &LogFaults {
            lose_next_answers: 1,
            ..LogFaults::default()
        },
    )
    .await;
    let lost = client.append("stream", Bytes::from_static(b"kept")).await;
    let lost = lost.expect_err("no answer");
    let broken = BackendError::Lost {
        reason: LostReason::Broken,
        detail: String::new(),
        usage: Default::default(),
    };
    assert_eq!(
        std::mem::discriminant(&lost),
        std::mem::discriminant(&broken)
    );
    assert!(!lost.is_known_not_run());
    assert_eq!(records(&client, "stream", 0).await, [b"kept"]);
    let next = client.append("stream", Bytes::from_static(b"next")).await;
    assert_eq!(next, Ok(Offset(1)));
}

#[actix_rt::test]
async fn a_log_that_is_down_answers_nothing_and_keeps_its_records() {
    let (server, client) = start();
    client
        .append("stream", Bytes::from_static(b"before"))
        .await
        .expect("appended");
    let down = LogFaults {
        down: true,
        ..LogFaults::default()
    };
    put_faults(&server, &down).await;
    let append = client.append("stream", Bytes::from_static(b"during")).await;
    assert!(
        matches!(append, Err(BackendError::Lost { .. })),
        "{append:?}"
    );
    let read = client.read("stream", Offset(0), PAGE_BYTES, NO_WAIT).await;
    assert!(matches!(read, Err(BackendError::Lost { .. })), "{read:?}");
    put_faults(&server, &LogFaults::default()).await;
    assert_eq!(records(&client, "stream", 0).await, [b"before"]);
}

#[actix_rt::test]
async fn an_append_to_a_stopped_log_is_reported_as_not_sent() {
    let (server, client) = start();
    server.stop().await;
    let append = client.append("stream", Bytes::from_static(b"x")).await;
    assert!(
        matches!(append, Err(BackendError::NotSent { .. })),
        "{append:?}"
    );
}

#[actix_rt::test]
async fn bad_requests_are_refused() {
    let (server, client) = start();
    let table = [
        BadRequest::new("unknown path", Method::GET, "/v1/nothing", b"", NOT_FOUND),
        BadRequest::new("root", Method::GET, "/", b"", NOT_FOUND),
        BadRequest::new(
            "no stream",
            Method::GET,
            "/v1/streams//records",
            b"",
            NOT_FOUND,
        ),
        BadRequest::new(
            "not UTF-8",
            Method::GET,
            "/v1/streams/%ff/records",
            b"",
            INVALID,
        ),
        BadRequest::new(
            "wrong method",
            Method::DELETE,
            "/v1/streams/s/records",
            b"",
            WRONG_METHOD,
        ),
        BadRequest::new(
            "offset that is no number",
            Method::GET,
            "/v1/streams/s/records?from=x",
            b"",
            INVALID,
        ),
        BadRequest::new(
            "negative offset",
            Method::GET,
            "/v1/streams/s/records?from=-1",
            b"",
            INVALID,
        ),
        BadRequest::new(
            "oversized record",
            Method::POST,
            "/v1/streams/s/records",
            &OVERSIZED,
            TOO_LARGE,
        ),
        BadRequest::new("malformed faults", Method::PUT, "/v1/faults", b"{", INVALID),
        BadRequest::new(
            "unknown fault",
            Method::PUT,
            "/v1/faults",
            br#"{"dwon": true}"#,
            INVALID,
        ),
    ];
    assert_refused(&server, &table).await;
    assert!(records(&client, "s", 0).await.is_empty());
}
