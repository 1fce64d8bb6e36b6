//! Streams of messages between hosts: one HTTP/2 stream on a connection of its own, with messages
//! in `bincode`.

use std::net;

use base::clock;
use bytes::Bytes;
use peer::frame;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::{net as tokio_net, task, time};

/// Time to open a connection and a stream on it.
const CONNECT_TIMEOUT: clock::Millis = clock::Millis(400);
/// Time for which sent bytes may stay unacknowledged before the kernel resets the connection.
const TCP_USER_TIMEOUT: clock::Millis = clock::Millis(2_000);

/// Error of a stream: the other host is unreachable, has disconnected, did not respond in time, or
/// sent something that cannot be decoded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Closed;

/// Sending half of a stream.
pub struct Sender {
    stream: h2::SendStream<Bytes>,
    /// Bytes of all messages sent so far.
    pub sent_bytes: u64,
}

/// Receiving half of a stream.
pub struct Receiver {
    body: h2::RecvStream,
    reader: frame::Reader,
    /// Bytes received so far.
    pub received_bytes: u64,
}

/// Message stream to or from another host. Dropping it closes the stream.
pub struct Link {
    /// Sends messages to the other host.
    pub sender: Sender,
    /// Receives messages from the other host.
    pub receiver: Receiver,
    task: Option<task::AbortHandle>,
}

impl Drop for Link {
    fn drop(&mut self) {
        if let Some(task) = &self.task {
            task.abort();
        }
    }
}

impl Sender {
    fn new(stream: h2::SendStream<Bytes>) -> Self {
        Self {
            stream,
            sent_bytes: 0,
        }
    }

    /// Sends one message, as fast as the other host's flow control allows.
    ///
    /// # Errors
    ///
    /// The stream is closed, or the message cannot be encoded.
    pub async fn send<T: Serialize>(&mut self, message: &T) -> Result<(), Closed> {
        let mut bytes = Vec::new();
        frame::write(message, &mut bytes).map_err(|_| Closed)?;
        self.sent_bytes += bytes.len() as u64;
        let mut unsent = Bytes::from(bytes);
        while !unsent.is_empty() {
            self.stream.reserve_capacity(unsent.len());
            let mut capacity = self.stream.capacity();
            if capacity == 0 {
                // `poll_capacity` wakes only for capacity that is assigned after this point, so the
                // capacity at hand is used first.
                let assigned = std::future::poll_fn(|cx| self.stream.poll_capacity(cx)).await;
                let Some(Ok(assigned)) = assigned else {
                    return Err(Closed);
                };
                capacity = assigned;
            }
            let chunk = unsent.split_to(capacity.min(unsent.len()));
            self.stream.send_data(chunk, false).map_err(|_| Closed)?;
        }
        Ok(())
    }
}

impl Receiver {
    fn new(body: h2::RecvStream) -> Self {
        Self {
            body,
            reader: frame::Reader::default(),
            received_bytes: 0,
        }
    }

    /// Receives one message within `limit`.
    ///
    /// # Errors
    ///
    /// The stream is closed, no whole message arrived in time, or the message cannot be decoded.
    pub async fn receive<T: DeserializeOwned>(
        &mut self,
        limit: clock::Millis,
    ) -> Result<T, Closed> {
        let received = time::timeout(limit.duration(), self.next()).await;
        received.unwrap_or(Err(Closed))
    }

    /// Receives the next message, whenever it comes. Dropping the future loses no bytes.
    ///
    /// # Errors
    ///
    /// The stream is closed, or the message cannot be decoded.
    pub async fn next<T: DeserializeOwned>(&mut self) -> Result<T, Closed> {
        loop {
            if let Some(message) = self.reader.read().map_err(|_| Closed)? {
                return Ok(message);
            }
            let Some(Ok(bytes)) = self.body.data().await else {
                return Err(Closed);
            };
            self.received_bytes += bytes.len() as u64;
            self.reader.push(&bytes);
            let flow_control = self.body.flow_control();
            flow_control
                .release_capacity(bytes.len())
                .map_err(|_| Closed)?;
        }
    }
}

fn set_socket_options(stream: &tokio_net::TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    socket2::SockRef::from(stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT.duration()))
}

/// Opens a stream to the host at `address`.
///
/// # Errors
///
/// The host cannot be reached in time.
pub async fn open(address: net::SocketAddr) -> Result<Link, Closed> {
    let opened = time::timeout(CONNECT_TIMEOUT.duration(), connect(address)).await;
    opened.unwrap_or(Err(Closed))
}

async fn connect(address: net::SocketAddr) -> Result<Link, Closed> {
    let stream = tokio_net::TcpStream::connect(address).await;
    let stream = stream.map_err(|_| Closed)?;
    set_socket_options(&stream).map_err(|_| Closed)?;
    let (requests, connection) = h2::client::handshake(stream).await.map_err(|_| Closed)?;
    let task = task::spawn_local(async move {
        // The end of the connection also ends the stream, where it is handled.
        let _ = connection.await;
    });
    let abort = task.abort_handle();
    let mut requests = requests.ready().await.map_err(|_| Closed)?;
    let request = http::Request::post(format!("http://{address}/"));
    let request = request.body(()).map_err(|_| Closed)?;
    let (response, sender) = requests.send_request(request, false).map_err(|_| Closed)?;
    let response = response.await.map_err(|_| Closed)?;
    Ok(Link {
        sender: Sender::new(sender),
        receiver: Receiver::new(response.into_body()),
        task: Some(abort),
    })
}

/// Accepts the single stream of a connection from another host, and drives the connection until
/// `handle` has finished with the stream.
pub async fn accept<F, Fut>(stream: tokio_net::TcpStream, handle: F)
where
    F: FnOnce(Link) -> Fut,
    Fut: Future<Output = ()>,
{
    if let Err(e) = set_socket_options(&stream) {
        tracing::debug!(event = "socket_option", error = %e);
    }
    let Ok(Ok(mut connection)) =
        time::timeout(CONNECT_TIMEOUT.duration(), h2::server::handshake(stream)).await
    else {
        return;
    };
    let Ok(Some(Ok((request, mut respond)))) =
        time::timeout(CONNECT_TIMEOUT.duration(), connection.accept()).await
    else {
        return;
    };
    let Ok(sender) = respond.send_response(http::Response::new(()), false) else {
        return;
    };
    let link = Link {
        sender: Sender::new(sender),
        receiver: Receiver::new(request.into_body()),
        task: None,
    };
    tokio::select! {
        () = handle(link) => {}
        // The connection ends at the next stream or at an error: only one stream per connection is
        // accepted.
        _ = connection.accept() => {}
    }
}
