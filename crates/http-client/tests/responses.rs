//! Tables of responses: which bytes are one, where the body ends, whether it is whole.

use actix_http::Method;
use bytes::{Bytes, BytesMut};
use elderworks_http_client::response::{BodyPart, ConnectionEnd, HeadDecoder, ResponseError};

/// A response as decoded.
#[derive(Debug, PartialEq, Eq)]
struct Response {
    status: u16,
    body: Bytes,
    keeps_alive: bool,
    /// Bytes after the response.
    rest: Bytes,
}

/// Decodes what a server sends before the connection ends, received in pieces of `piece` bytes.
fn receive(
    method: &Method,
    sent: &[u8],
    piece: usize,
    end: ConnectionEnd,
) -> Result<Response, ResponseError> {
    let mut pieces = sent.chunks(piece);
    let mut buf = BytesMut::new();
    let mut heads = HeadDecoder::new(method);
    let mut decoded = loop {
        if let Some(decoded) = heads.decode(&mut buf)? {
            break decoded;
        }
        match pieces.next() {
            Some(piece) => buf.extend_from_slice(piece),
            None => return Err(ResponseError::Incomplete("no head".to_owned())),
        }
    };
    let mut body = BytesMut::new();
    loop {
        match decoded.body.decode(&mut buf)? {
            BodyPart::Data(data) => body.extend_from_slice(&data),
            BodyPart::End => break,
            BodyPart::Incomplete => match pieces.next() {
                Some(piece) => buf.extend_from_slice(piece),
                None => {
                    decoded.body.finish(end)?;
                    break;
                }
            },
        }
    }
    buf.extend_from_slice(&pieces.collect::<Vec<_>>().concat());
    Ok(Response {
        status: decoded.head.status.as_u16(),
        body: body.freeze(),
        keeps_alive: decoded.keeps_alive,
        rest: buf.freeze(),
    })
}

/// Decodes the response to a GET request, whole and byte by byte.
fn get(sent: &str) -> Result<Response, ResponseError> {
    let whole = receive(
        &Method::GET,
        sent.as_bytes(),
        usize::MAX,
        ConnectionEnd::Closed,
    );
    let by_bytes = receive(&Method::GET, sent.as_bytes(), 1, ConnectionEnd::Closed);
    assert_eq!(whole, by_bytes, "{sent:?}");
    whole
}

fn is_head_error(sent: &str) -> bool {
    matches!(get(sent), Err(ResponseError::Head(_)))
}

#[test]
fn statuses() {
    for status in ["200", "204", "205", "304", "404", "500", "599"] {
        let response = get(&format!("HTTP/1.1 {status} x\r\n\r\n"));
        assert_eq!(response.expect(status).status.to_string(), status);
    }
    let none = [
        "000", "001", "020", "099", "20", "2000", "1000", "abc", "", "-20", "2 0", "600", "999",
    ];
    for status in none {
        let sent = format!("HTTP/1.1 {status} x\r\nContent-Length: 0\r\n\r\n");
        assert!(is_head_error(&sent), "{status}: {:?}", get(&sent));
    }
    for start in [
        "HTTP/2.0 200 OK",
        "HTTP/1.2 200 OK",
        "http/1.1 200 OK",
        "200 OK",
        "\0",
    ] {
        assert!(is_head_error(&format!("{start}\r\n\r\n")), "{start}");
    }
}

#[test]
fn names_of_headers() {
    let names = [
        "X Extra",
        "X-Extra ",
        "X-Extra\t",
        " X-Extra",
        "\tX-Extra",
        "",
        "X\u{1}Extra",
        "X\0Extra",
        "X\rExtra",
        "X\u{7f}Extra",
        "X-\u{e4}",
        "Content-Length ",
        "X(Extra",
        "X-Extra\u{b}",
    ];
    for name in names {
        let line = format!("{name}: 5\r\n");
        for sent in [
            format!("HTTP/1.1 200 OK\r\n{line}\r\nhello"),
            format!("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n{line}\r\nhello"),
            format!("HTTP/1.1 200 OK\r\n{line}Content-Length: 5\r\n\r\nhello"),
        ] {
            assert!(is_head_error(&sent), "{sent:?}: {:?}", get(&sent));
        }
    }
    let no_colon = "HTTP/1.1 200 OK\r\nX-Extra\r\nContent-Length: 5\r\n\r\nhello";
    assert!(is_head_error(no_colon));
    for value in ["a\0b", "a\u{1}b", "a\u{7f}b", "a\rb"] {
        let sent = format!("HTTP/1.1 200 OK\r\nX-Extra: {value}\r\nContent-Length: 5\r\n\r\nhello");
        assert!(is_head_error(&sent), "{sent:?}");
    }
}

#[test]
fn heads_have_a_limit() {
    for endless in ["X-More: and more\r\n", "x", "\r\n"] {
        let sent = format!("HTTP/1.1 200 OK\r\n{}", endless.repeat(200_000));
        let sent = match endless {
            "\r\n" => endless.repeat(200_000),
            _ => sent,
        };
        let received = receive(&Method::GET, sent.as_bytes(), 8_192, ConnectionEnd::Closed);
        assert!(
            matches!(received, Err(ResponseError::Head(_))),
            "{received:?}"
        );
    }
    let informational = "HTTP/1.1 103 Early Hints\r\n\r\n".repeat(9);
    assert!(is_head_error(&informational));
}

#[test]
fn ends_of_bodies() {
    struct Case {
        lines: &'static str,
        sent: &'static str,
        body: &'static str,
        keeps_alive: bool,
    }
    let case = |lines, sent, body, keeps_alive| Case {
        lines,
        sent,
        body,
        keeps_alive,
    };
    let cases = [
        case("Content-Length: 5", "hello", "hello", true),
        case("Content-Length: 0", "", "", true),
        case(
            "Content-Length: 5\r\nConnection: x, Close",
            "hello",
            "hello",
            false,
        ),
        case(
            "Content-Length: 5\r\nUpgrade: websocket",
            "hello",
            "hello",
            true,
        ),
        case(
            "Content-Length: 5\r\nUpgrade: websocket\r\nConnection: upgrade",
            "hello",
            "hello",
            true,
        ),
        case("Transfer-Encoding: identity", "hello", "hello", false),
        case(
            "Transfer-Encoding: identity\r\nContent-Length: 5",
            "hello",
            "hello",
            true,
        ),
        case(
            "Transfer-Encoding: Chunked",
            "5\r\nhello\r\n0\r\n\r\n",
            "hello",
            true,
        ),
        case(
            "Transfer-Encoding: chunked",
            "2;a=b\r\nhe\r\n03\r\nllo\r\n000\r\nX-Sum: 1\r\n\r\n",
            "hello",
            true,
        ),
        case("X-Extra: 1", "hello", "hello", false),
        case("X-Extra: 1", "", "", false),
        case("Upgrade: websocket", "hello", "hello", false),
    ];
    for Case {
        lines,
        sent,
        body,
        keeps_alive,
    } in cases
    {
        let response = get(&format!("HTTP/1.1 200 OK\r\n{lines}\r\n\r\n{sent}"));
        let expected = Response {
            status: 200,
            body: Bytes::from(body),
            keeps_alive,
            rest: Bytes::new(),
        };
        assert_eq!(response, Ok(expected), "{lines}");
    }
    // The body of an HTTP/1.0 response ends like any other; its connection isn't used again.
    let old = get("HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nhello").expect("whole");
    assert_eq!((&old.body[..], old.keeps_alive), (&b"hello"[..], false));
}

#[test]
fn bytes_after_a_response_belong_to_none() {
    for framing in [
        "Content-Length: 2\r\n\r\nhi",
        "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
    ] {
        let response = get(&format!("HTTP/1.1 200 OK\r\n{framing}more")).expect("whole");
        assert_eq!(response.body, "hi", "{framing}");
        assert_eq!(response.rest, "more", "{framing}");
    }
}

#[test]
fn responses_without_a_body() {
    let heads = [
        (Method::HEAD, "200 OK\r\nContent-Length: 5"),
        (Method::HEAD, "200 OK\r\nTransfer-Encoding: chunked"),
        (Method::HEAD, "200 OK"),
        (Method::GET, "304 Not Modified\r\nContent-Length: 5"),
        (Method::GET, "204 No Content"),
        (Method::GET, "204 No Content\r\nContent-Length: 0"),
    ];
    for (method, head) in heads {
        let sent = format!("HTTP/1.1 {head}\r\n\r\nmore");
        let response = receive(&method, sent.as_bytes(), 1, ConnectionEnd::Closed);
        let response = response.expect(head);
        assert_eq!(response.body, "", "{head}");
        assert_eq!(response.rest, "more", "{head}");
    }
}

#[test]
fn informational_heads_are_skipped() {
    let response = get(
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n\
                        HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi",
    );
    assert_eq!(response.expect("whole").body, "hi");
}

#[test]
fn unclear_ends_are_errors() {
    let heads = [
        "200 OK\r\nContent-Length: 5\r\nContent-Length: 5",
        "200 OK\r\nContent-Length: 5, 5",
        "200 OK\r\nContent-Length: +5",
        "200 OK\r\nContent-Length: -5",
        "200 OK\r\nContent-Length:",
        "200 OK\r\nContent-Length: 5 5",
        "200 OK\r\nContent-Length: 0x5",
        "200 OK\r\nContent-Length: 99999999999999999999",
        "200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked",
        "200 OK\r\nTransfer-Encoding: gzip",
        "200 OK\r\nTransfer-Encoding: gzip, chunked",
        "200 OK\r\nTransfer-Encoding: chunked, identity",
        "200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
        "200 OK\r\nTransfer-Encoding:",
        "204 No Content\r\nContent-Length: 5",
        "204 No Content\r\nTransfer-Encoding: chunked",
        "100 Continue\r\nContent-Length: 5",
        "101 Switching Protocols",
        "101 Switching Protocols\r\nUpgrade: websocket\r\nConnection: upgrade",
        "199 x\r\nTransfer-Encoding: chunked",
    ];
    for head in heads {
        let response = get(&format!("HTTP/1.1 {head}\r\n\r\nhello"));
        assert!(
            matches!(response, Err(ResponseError::Framing(_))),
            "{head}: {response:?}"
        );
    }
    let old = get("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
    assert!(matches!(old, Err(ResponseError::Framing(_))), "{old:?}");
}

#[test]
fn malformed_chunks_are_errors() {
    let bodies = [
        "x\r\n",
        "\r\n",
        ";a\r\n",
        "-1\r\n",
        " 5\r\nhello\r\n",
        "5\r\nhello!\r\n0\r\n\r\n",
        "5\r\nhello\n0\r\n\r\n",
        "11111111111111111\r\n",
        "0\r\nX Extra: 1\r\n\r\n",
        "0\r\nno colon\r\n\r\n",
    ];
    for body in bodies {
        let response = get(&format!(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{body}"
        ));
        assert!(
            matches!(response, Err(ResponseError::Chunks(_))),
            "{body:?}: {response:?}"
        );
    }
}

#[test]
fn framing_without_end_is_an_error() {
    let tiny = format!("1;{}\r\nx\r\n", "e".repeat(1_000)).repeat(1_000);
    let endless = [
        "0".repeat(100_000),
        format!("1;{}", "x".repeat(100_000)),
        format!("0\r\n{}", "X-More: and more\r\n".repeat(10_000)),
        tiny,
    ];
    for body in endless {
        let sent = format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{body}");
        let received = receive(&Method::GET, sent.as_bytes(), 8_192, ConnectionEnd::Closed);
        assert!(
            matches!(received, Err(ResponseError::Chunks(_))),
            "{received:?}"
        );
    }
}

/// Only a body that ends with its connection is whole after fewer bytes, and only if nothing failed.
#[test]
fn every_cut_of_a_framed_response_is_incomplete() {
    let bodies = [
        "Content-Length: 5\r\n\r\nhello",
        "Transfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\nX-Sum: 1\r\n\r\n",
    ];
    let failed = || ConnectionEnd::Failed("connection reset".to_owned());
    for body in bodies {
        let sent = format!("HTTP/1.1 200 OK\r\n{body}");
        for len in 0..sent.len() {
            for end in [ConnectionEnd::Closed, failed()] {
                let received = receive(&Method::GET, &sent.as_bytes()[..len], 3, end);
                let is_incomplete = matches!(received, Err(ResponseError::Incomplete(_)));
                assert!(is_incomplete, "{len} of {sent:?}: {received:?}");
            }
        }
        let received = receive(&Method::GET, sent.as_bytes(), 3, failed());
        assert_eq!(received.expect("whole").body, "hello");
    }
    let sent = b"HTTP/1.1 200 OK\r\n\r\nhello";
    for len in 0..=sent.len() {
        let received = receive(&Method::GET, &sent[..len], 3, failed());
        assert!(
            matches!(received, Err(ResponseError::Incomplete(_))),
            "{len}"
        );
    }
}
