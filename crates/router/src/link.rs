//! Streams of messages between hosts: h2 on one connection, messages in `bincode`.

use std::net;

use base::clock;
use bytes::Bytes;
use peer::frame;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::{net as tokio_net, task, time};

/// Time to open a connection and a stream on it.
const CONNECT: clock::Millis = clock::Millis(400);
/// How long a connection may hold unacknowledged bytes before the kernel resets it.
const SILENCE: clock::Millis = clock::Millis(2_000);

/// The other side is gone, silent or can't be understood.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Closed;

/// Sends messages on a stream.
pub struct Sender(h2::SendStream<Bytes>);

/// Receives messages from a stream.
pub struct Receiver {
    body: h2::RecvStream,
    reader: frame::Reader,
}

/// One stream to or from another host. Dropping it ends it.
pub struct Link {
    /// Messages out.
    pub sender: Sender,
    /// Messages in.
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
    /// Sends one message.
    ///
    /// # Errors
    ///
    /// The stream is closed.
    pub async fn send<T: Serialize>(&mut self, message: &T) -> Result<(), Closed> {
        let mut bytes = Vec::new();
        frame::write(message, &mut bytes).map_err(|_| Closed)?;
        let mut rest = Bytes::from(bytes);
        while !rest.is_empty() {
            self.0.reserve_capacity(rest.len());
            let mut room = self.0.capacity();
            if room == 0 {
                // Only capacity assigned later wakes the poll.
                let assigned = std::future::poll_fn(|cx| self.0.poll_capacity(cx)).await;
                let Some(Ok(assigned)) = assigned else {
                    return Err(Closed);
                };
                room = assigned;
            }
            let part = rest.split_to(room.min(rest.len()));
            self.0.send_data(part, false).map_err(|_| Closed)?;
        }
        Ok(())
    }
}

impl Receiver {
    /// Receives one message within `limit`.
    ///
    /// # Errors
    ///
    /// The stream is closed, silent, or holds something else.
    pub async fn receive<T: DeserializeOwned>(
        &mut self,
        limit: clock::Millis,
    ) -> Result<T, Closed> {
        let received = time::timeout(limit.duration(), self.next()).await;
        received.unwrap_or(Err(Closed))
    }

    async fn next<T: DeserializeOwned>(&mut self) -> Result<T, Closed> {
        loop {
            if let Some(message) = self.reader.read().map_err(|_| Closed)? {
                return Ok(message);
            }
            let Some(Ok(bytes)) = self.body.data().await else {
                return Err(Closed);
            };
            self.reader.push(&bytes);
            let flow = self.body.flow_control();
            flow.release_capacity(bytes.len()).map_err(|_| Closed)?;
        }
    }
}

fn prepare(stream: &tokio_net::TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    socket2::SockRef::from(stream).set_tcp_user_timeout(Some(SILENCE.duration()))
}

/// Opens a stream to the host at `address`.
///
/// # Errors
///
/// It can't be reached in time.
pub async fn open(address: net::SocketAddr) -> Result<Link, Closed> {
    let opened = time::timeout(CONNECT.duration(), open_now(address)).await;
    opened.unwrap_or(Err(Closed))
}

async fn open_now(address: net::SocketAddr) -> Result<Link, Closed> {
    let stream = tokio_net::TcpStream::connect(address).await;
    let stream = stream.map_err(|_| Closed)?;
    prepare(&stream).map_err(|_| Closed)?;
    let (requests, connection) = h2::client::handshake(stream).await.map_err(|_| Closed)?;
    let task = task::spawn_local(async move {
        // The end shows on the stream.
        let _ = connection.await;
    });
    let abort = task.abort_handle();
    let mut requests = requests.ready().await.map_err(|_| Closed)?;
    let request = http::Request::post(format!("http://{address}/"));
    let request = request.body(()).map_err(|_| Closed)?;
    let (answer, sender) = requests.send_request(request, false).map_err(|_| Closed)?;
    let answer = answer.await.map_err(|_| Closed)?;
    Ok(Link {
        sender: Sender(sender),
        receiver: Receiver {
            body: answer.into_body(),
            reader: frame::Reader::default(),
        },
        task: Some(abort),
    })
}

/// Takes the one stream of a connection from another host, and drives the connection until
/// `handle` is done with it.
pub async fn accept<F, Fut>(stream: tokio_net::TcpStream, handle: F)
where
    F: FnOnce(Link) -> Fut,
    Fut: Future<Output = ()>,
{
    if let Err(e) = prepare(&stream) {
        tracing::debug!(event = "socket_option", error = %e);
    }
    let Ok(Ok(mut connection)) =
        time::timeout(CONNECT.duration(), h2::server::handshake(stream)).await
    else {
        return;
    };
    let Ok(Some(Ok((request, mut respond)))) =
        time::timeout(CONNECT.duration(), connection.accept()).await
    else {
        return;
    };
    let Ok(sender) = respond.send_response(http::Response::new(()), false) else {
        return;
    };
    let link = Link {
        sender: Sender(sender),
        receiver: Receiver {
            body: request.into_body(),
            reader: frame::Reader::default(),
        },
        task: None,
    };
    tokio::select! {
        () = handle(link) => {}
        // Further streams are not taken.
        _ = connection.accept() => {}
    }
}
