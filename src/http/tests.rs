use super::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const TIMEOUT: Duration = Duration::from_secs(5);

async fn get(address: SocketAddr, timeout: Duration) -> Result<HttpResponse, HttpError> {
    let http = HttpClient::default();
    http.send(address, HttpRequest::get("/"), timeout).await
}

/// Starts a server that answers the first request with the bytes of `response` and then keeps the
/// connection open. Returns the server's address.
async fn start_server(response: Vec<u8>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        // A client treats bytes that arrive before it has sent its request as a server error.
        let mut request = [0; 1024];
        assert!(stream.read(&mut request).await.unwrap() > 0);
        // The client closes the connection when the response is too long.
        let _ = stream.write_all(&response).await;
        std::future::pending::<()>().await;
    });
    address
}

#[tokio::test]
async fn refused_connection_is_reported_as_request_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let error = get(address, TIMEOUT).await.unwrap_err();
    assert!(matches!(error, HttpError::NotSent(SendError::Connect(_))));
    assert_eq!(error.to_string(), "not sent: client error (Connect)");
}

#[tokio::test]
async fn missing_response_is_reported_as_timeout_of_a_sent_request() {
    let address = start_server(Vec::new()).await;
    let error = get(address, Duration::from_millis(50)).await.unwrap_err();
    assert_eq!(error.to_string(), "no complete response: timed out");
}

#[tokio::test]
async fn response_over_the_size_limit_is_refused() {
    let length = constants::MAX_RESPONSE_BYTES + 1;
    let mut response = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n").into_bytes();
    response.resize(response.len() + length, b'x');
    let address = start_server(response).await;
    let error = get(address, TIMEOUT).await.unwrap_err();
    assert!(matches!(error, HttpError::ResponseTooLong), "{error}");
    assert_eq!(error.to_string(), "response body over 1048576 bytes");
}

#[tokio::test]
async fn complete_response_is_returned_with_its_status() {
    let address = start_server(b"HTTP/1.1 503 No\r\ncontent-length: 4\r\n\r\nbusy".to_vec()).await;
    let response = get(address, TIMEOUT).await.unwrap();
    assert_eq!((response.status, &*response.body), (503, &b"busy"[..]));
}
