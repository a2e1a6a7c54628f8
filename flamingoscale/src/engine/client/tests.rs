//! Tests of what counts as the answer of an endpoint.

use tokio::{
    io::{
        AsyncReadExt as _,
        AsyncWriteExt as _, //
    },
    net::{
        TcpListener,
        TcpStream, //
    }, //
};

use super::*;

/// How an endpoint frames the body of its answer.
const FRAMINGS: [&str; 3] = [
    "content-length: 2\r\n",
    "transfer-encoding: chunked\r\n",
    "",
];

/// Reads a request, which has no body.
async fn read_request(connection: &mut TcpStream) {
    let mut request = Vec::new();
    while !request.ends_with(b"\r\n\r\n") {
        let read = connection.read_buf(&mut request).await.unwrap();
        assert!(read > 0, "the request is whole");
    }
}

/// Calls an endpoint that answers with the beginning of a head and then ends the connection, with a reset or
/// without. On a connection that is `kept`, an earlier request has been answered.
async fn outcome_of_cut_head(start: &[u8], kept: bool, resets: bool) -> Outcome<u16> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address: Arc<str> = listener.local_addr().unwrap().to_string().into();
    let endpoint = async {
        let (mut connection, _) = listener.accept().await.unwrap();
        read_request(&mut connection).await;
        if kept {
            let whole = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
            connection.write_all(whole).await.unwrap();
            read_request(&mut connection).await;
        }
        connection.write_all(start).await.unwrap();
        if resets {
            connection.set_zero_linger().unwrap();
        }
    };
    let calls = async {
        let client = if kept { pooled(&address) } else { unpooled() };
        let url = format!("http://{address}/");
        if kept {
            assert_eq!(client.get(&url).send().await.unwrap().status(), 200);
        }
        match client.get(&url).send().await {
            Ok(response) => Outcome::Ran(response.status().as_u16()),
            Err(error) => send_error_outcome(&error),
        }
    };
    let (outcome, ()) = futures::join!(calls, endpoint);
    outcome
}

/// Guards against MIXED: an answer whose head breaks off, wherever it does, is none, and leaves open whether
/// the request ran. See docs/incidents/cut-heads.md.
#[actix_rt::test]
async fn answer_whose_head_is_cut_off_is_unknown() {
    for framing in FRAMINGS {
        let head = format!("HTTP/1.1 200 OK\r\nflamingoscale-endpoint: s1\r\n{framing}\r\n");
        for kept in [false, true] {
            for resets in [false, true] {
                for length in 0..head.len() {
                    let start = &head.as_bytes()[..length];
                    let outcome = outcome_of_cut_head(start, kept, resets).await;
                    let cut = &head[..length];
                    assert!(
                        matches!(outcome, Outcome::Unknown(_)),
                        "kept {kept}, resets {resets}: {cut:?}: {outcome:?}"
                    );
                }
            }
        }
    }
}
