//! Whether a request whose connection ended without an answer was read.
//!
//! An instance may end a connection between two requests, and a request may cross that
//! end. It must not end one after it has read a request. Callers see the same first sign
//! of both: the other side has ended its half.

use citronway_standin::soak::{Answer, Cut, exchange, was_reset};
use googletest::prelude::*;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};

const REQUEST: &[u8] = b"GET /status/1 HTTP/1.1\r\nhost: h.example\r\n\r\n";

async fn pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let near = TcpStream::connect(address).await.expect("a connection");
    let (far, _) = listener.accept().await.expect("a connection");
    (near, far)
}

/// Reads the whole request.
async fn read(far: &mut TcpStream) {
    let mut buf = vec![0; REQUEST.len()];
    far.read_exact(&mut buf).await.expect("a request");
}

/// Waits for the request without reading it.
async fn arrived(far: &TcpStream) {
    far.peek(&mut [0]).await.expect("a request");
}

#[gtest]
#[tokio::test]
async fn a_request_that_was_read_is_told_from_one_that_was_not() {
    let (mut near, mut far) = pair().await;
    let answerless = async move {
        read(&mut far).await;
        drop(far);
    };
    let (got, ()) = tokio::join!(exchange(&mut near, REQUEST), answerless);
    expect_that!(got, err(eq(&Cut::Read)));
    expect_that!(was_reset(&near), ok(eq(&false)));

    let (mut near, far) = pair().await;
    let unread = async move {
        arrived(&far).await;
        drop(far);
    };
    let (got, ()) = tokio::join!(exchange(&mut near, REQUEST), unread);
    expect_that!(got, err(eq(&Cut::Unread)));
}

#[gtest]
#[tokio::test]
async fn a_request_that_crosses_the_end_of_its_connection_was_not_read() {
    let (mut near, mut far) = pair().await;
    far.shutdown().await.expect("its half ends");
    let got = exchange(&mut near, REQUEST).await;
    expect_that!(got, err(eq(&Cut::Read)));
    expect_that!(was_reset(&near), ok(eq(&false)));
    arrived(&far).await;
    drop(far);
    expect_that!(was_reset(&near), ok(eq(&true)));
}

#[gtest]
#[tokio::test]
async fn an_answer_is_whole_or_cut() {
    let (mut near, mut far) = pair().await;
    let answers = async move {
        read(&mut far).await;
        let answer = b"HTTP/1.1 503 Busy\r\nConnection: close\r\nContent-Length: 4\r\n\r\nfull";
        far.write_all(answer).await.expect("a reader");
    };
    let (got, ()) = tokio::join!(exchange(&mut near, REQUEST), answers);
    let whole = Answer {
        status: 503,
        body: "full".to_owned(),
        is_last: true,
    };
    expect_that!(got, ok(eq(&whole)));

    let (mut near, mut far) = pair().await;
    let breaks_off = async move {
        read(&mut far).await;
        let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfu";
        far.write_all(answer).await.expect("a reader");
    };
    let (got, ()) = tokio::join!(exchange(&mut near, REQUEST), breaks_off);
    expect_that!(got, err(eq(&Cut::Within)));
}

/// What the caller is told of `answer`, whose connection is reset behind it.
async fn told_of_reset(answer: &str) -> Result<Answer, Cut> {
    let (mut near, mut far) = pair().await;
    let resets = async move {
        // What is left unread makes the end of the connection a reset.
        arrived(&far).await;
        far.write_all(answer.as_bytes()).await.expect("a reader");
    };
    let (got, ()) = tokio::join!(exchange(&mut near, REQUEST), resets);
    got
}

/// Guards against a cut answer that counts as whole, or a whole one that does not.
#[gtest]
#[tokio::test]
async fn an_answer_is_whole_by_its_framing_whatever_ends_its_connection() {
    let whole = |body: &str, is_last| {
        Ok(Answer {
            status: 200,
            body: body.to_owned(),
            is_last,
        })
    };
    let cases = [
        ("Content-Length: 4\r\n\r\nfull", whole("full", false)),
        ("Content-Length: 4\r\n\r\nful", Err(Cut::Within)),
        ("Content-Length: 4\r\n", Err(Cut::Within)),
        (
            "Content-Length: 4\r\n\r\nfullHTTP/1.1 503 B",
            Err(Cut::Wrong),
        ),
        (
            "Connection: close\r\nContent-Length: 4\r\n\r\nfull",
            whole("full", true),
        ),
        (
            "Connection: close\r\nContent-Length: 4\r\n\r\nfull.",
            Err(Cut::Wrong),
        ),
        ("Connection: close\r\n\r\nfull", Err(Cut::Wrong)),
        (
            "Content-Length: 4\r\nContent-Length: 4\r\n\r\nfull",
            Err(Cut::Wrong),
        ),
        (
            "Transfer-Encoding: chunked\r\n\r\n2\r\nfu\r\n2\r\nll\r\n0\r\n\r\n",
            whole("full", false),
        ),
        (
            "Transfer-Encoding: chunked\r\n\r\n2\r\nfu\r\n2\r\nll\r\n0\r\n",
            Err(Cut::Within),
        ),
    ];
    for (answer, told) in cases {
        let got = told_of_reset(&format!("HTTP/1.1 200 OK\r\n{answer}")).await;
        expect_that!(got, eq(&told), "{answer:?}");
    }
    let none = told_of_reset("HTTP/1.1 204 No Content\r\n\r\n").await;
    expect_that!(none.map(|answer| answer.status), ok(eq(204)));
}
