use super::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const TIMEOUT: Duration = Duration::from_secs(5);

async fn get(address: SocketAddr, timeout: Duration) -> Result<HttpResponse, HttpError> {
    let http = HttpClient::default();
    http.send(address, HttpRequest::get("/"), timeout).await
}

/// A server that answers the first request with these bytes, and keeps the connection open.
async fn server(response: Vec<u8>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        // A client takes what comes before its request as a fault of the server.
        let mut request = [0; 1024];
        assert!(stream.read(&mut request).await.unwrap() > 0);
        // The client closes the connection when the response is too long.
        let _ = stream.write_all(&response).await;
        std::future::pending::<()>().await;
    });
    address
}

#[tokio::test]
async fn a_refused_connection_means_that_nothing_was_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let error = get(address, TIMEOUT).await.unwrap_err();
    assert!(matches!(error, HttpError::NotSent(SendError::Connect(_))));
    assert_eq!(error.to_string(), "not sent: client error (Connect)");
}

#[tokio::test]
async fn a_response_that_does_not_come_is_told_from_a_request_not_sent() {
    let address = server(Vec::new()).await;
    let error = get(address, Duration::from_millis(50)).await.unwrap_err();
    assert_eq!(error.to_string(), "no answer: timed out");
}

#[tokio::test]
async fn a_response_that_is_too_long_is_given_up() {
    let length = constants::MAX_RESPONSE_BYTES + 1;
    let mut response = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n").into_bytes();
    response.resize(response.len() + length, b'x');
    let address = server(response).await;
    let error = get(address, TIMEOUT).await.unwrap_err();
    assert!(matches!(error, HttpError::ResponseTooLong), "{error}");
    assert_eq!(error.to_string(), "answer over 1048576 bytes");
}

#[tokio::test]
async fn a_response_is_read_with_its_status() {
    let address = server(b"HTTP/1.1 503 No\r\ncontent-length: 4\r\n\r\nbusy".to_vec()).await;
    let response = get(address, TIMEOUT).await.unwrap();
    assert_eq!((response.status, &*response.body), (503, &b"busy"[..]));
}
