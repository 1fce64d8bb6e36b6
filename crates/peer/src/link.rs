//! Connections to other hosts, which a background thread opens and reopens.
//!
//! A host connects to the hosts given to [`Links::keep_connected`] and accepts connections from all
//! others. Messages to a host that is not connected, or whose send queue is full, are dropped:
//! senders repeat the messages that must arrive.

use std::collections;
use std::io;
use std::net;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

use base::{clock, name};
use tokio::sync::mpsc;

use crate::{auth, frame, message};

/// Capacity of the send queue of one host, in messages.
const QUEUE_CAPACITY: usize = 4096;
/// Time limit for opening and authenticating a connection.
const OPEN_TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// Delay between two attempts to connect to a host, and after a failed accept.
const RECONNECT_DELAY: time::Duration = time::Duration::from_millis(300);
/// A connection is closed if no data arrives, or a send does not complete, within this time.
const IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(6);
/// Largest number of accepted connections that are not authenticated yet; further ones are closed.
const MAX_UNAUTHENTICATED: usize = 64;
/// Initial flow-control window of HTTP/2 streams and connections, in bytes.
const WINDOW_BYTES: u32 = 1 << 20;

/// Receives messages and connection events. The methods run on the network thread, which serves
/// all connections, so they must not block for long.
pub trait MessageHandler: Send + Sync {
    /// A message from `host` arrived.
    fn message(&self, host: &name::Host, message: message::Message);
    /// An authenticated connection to `host` was established, in either direction.
    fn opened(&self, host: &name::Host);
    /// A connection to `host` was closed. A newer one may already be open.
    fn closed(&self, host: &name::Host);
}

/// Name and credentials of this host, the same for all connections.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Name of this host.
    pub host: name::Host,
    /// Data centre of this host.
    pub dc: name::Dc,
    /// Secret that all hosts of the system share.
    pub secret: String,
}

#[derive(Debug)]
struct Peer {
    address: net::SocketAddr,
    dc: name::Dc,
    /// Whether this host opens the connection; otherwise it only accepts one.
    keep_connected: bool,
    /// Send queues of the open connections, the newest last. A connection ends once its queue is
    /// dropped. A host that restarted may connect again before its old connection is detected as
    /// dead.
    queues: Queues,
}

type Queues = smallvec::SmallVec<[mpsc::Sender<message::Message>; 2]>;

struct Shared {
    identity: Identity,
    handler: sync::Weak<dyn MessageHandler>,
    peers: sync::Mutex<collections::HashMap<name::Host, Peer>>,
    unauthenticated: atomic::AtomicUsize,
    sent_bytes: atomic::AtomicU64,
    received_bytes: atomic::AtomicU64,
    /// Notified when a host to connect to was added or has a new address.
    peers_changed: tokio::sync::Notify,
}

/// All connections of this host. Dropping it closes them and stops the network thread.
pub struct Links {
    shared: sync::Arc<Shared>,
    stop: Option<tokio::sync::oneshot::Sender<()>>,
    thread: Option<thread::JoinHandle<()>>,
    address: net::SocketAddr,
}

impl Links {
    /// Listens on `address` and starts the network thread.
    ///
    /// # Errors
    ///
    /// The address can't be bound, or the runtime or the thread can't be started.
    pub fn start(
        identity: Identity,
        address: net::SocketAddr,
        handler: sync::Weak<dyn MessageHandler>,
    ) -> io::Result<Self> {
        let listener = net::TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let shared = sync::Arc::new(Shared {
            identity,
            handler,
            peers: sync::Mutex::default(),
            unauthenticated: atomic::AtomicUsize::new(0),
            sent_bytes: atomic::AtomicU64::new(0),
            received_bytes: atomic::AtomicU64::new(0),
            peers_changed: tokio::sync::Notify::new(),
        });
        let (stop, stopped) = tokio::sync::oneshot::channel();
        let thread_shared = shared.clone();
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let thread = thread::Builder::new().name("peers".into()).spawn(move || {
            let local = tokio::task::LocalSet::new();
            local.block_on(&runtime, run_network(thread_shared, listener, stopped));
        })?;
        Ok(Self {
            shared,
            stop: Some(stop),
            thread: Some(thread),
            address,
        })
    }

    /// Address on which this host accepts connections.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Connects to `host` at `address` and reconnects after failures, until
    /// [`Links::remove`] is called. Has no effect for this host itself.
    pub fn keep_connected(&self, host: &name::Host, dc: &name::Dc, address: net::SocketAddr) {
        if host == &self.shared.identity.host {
            return;
        }
        let mut peers = self.shared.lock();
        let peer = peers.entry(host.clone()).or_insert_with(|| Peer {
            address,
            dc: dc.clone(),
            keep_connected: false,
            queues: Queues::new(),
        });
        let address_changed = peer.address != address;
        peer.address = address;
        if peer.keep_connected && !address_changed {
            return;
        }
        peer.keep_connected = true;
        drop(peers);
        self.shared.peers_changed.notify_one();
    }

    /// Closes the connections to `host` and stops reconnecting to it.
    pub fn remove(&self, host: &name::Host) {
        self.shared.lock().remove(host);
    }

    /// Queues a message to `host`. Returns `false` if the host is not connected or its queue is
    /// full; the message is dropped then.
    pub fn send(&self, host: &name::Host, message: message::Message) -> bool {
        let peers = self.shared.lock();
        let Some(queue) = peers.get(host).and_then(|p| p.queues.last()) else {
            return false;
        };
        queue.try_send(message).is_ok()
    }

    /// Hosts that are connected at the moment, with their data centres.
    pub fn connected(&self) -> Vec<(name::Host, name::Dc)> {
        let peers = self.shared.lock();
        let connected = peers.iter().filter(|(_, p)| !p.queues.is_empty());
        connected
            .map(|(host, p)| (host.clone(), p.dc.clone()))
            .collect()
    }

    /// Bytes of message frames sent and received since the start, in this order.
    pub fn transferred_bytes(&self) -> (u64, u64) {
        let order = atomic::Ordering::Relaxed;
        (
            self.shared.sent_bytes.load(order),
            self.shared.received_bytes.load(order),
        )
    }
}

impl Drop for Links {
    fn drop(&mut self) {
        if let Some(stop) = self.stop.take() {
            let _ = stop.send(());
        }
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Shared {
    fn lock(&self) -> sync::MutexGuard<'_, collections::HashMap<name::Host, Peer>> {
        self.peers
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    fn hello(&self) -> auth::Hello {
        use std::hash::BuildHasher as _;
        let mut nonce = [0; auth::NONCE_BYTES];
        for half in nonce.chunks_mut(8) {
            // `RandomState` takes its keys from the random numbers of the operating system.
            let random = std::hash::RandomState::new().hash_one(clock::Clock::System.now().0);
            half.copy_from_slice(&random.to_le_bytes());
        }
        auth::Hello {
            version: message::VERSION,
            host: self.identity.host.clone(),
            dc: self.identity.dc.clone(),
            nonce,
        }
    }

    fn hosts_to_dial(&self) -> Vec<(name::Host, net::SocketAddr)> {
        let mut out = Vec::new();
        for (host, peer) in self.lock().iter() {
            if peer.keep_connected && peer.queues.is_empty() {
                out.push((host.clone(), peer.address));
            }
        }
        out
    }
}

async fn run_network(
    shared: sync::Arc<Shared>,
    listener: net::TcpListener,
    stopped: tokio::sync::oneshot::Receiver<()>,
) {
    let Ok(listener) = tokio::net::TcpListener::from_std(listener) else {
        return;
    };
    let accepting = accept_all(shared.clone(), listener);
    let dialing = dial_all(shared);
    tokio::select! {
        _ = stopped => {}
        () = accepting => {}
        () = dialing => {}
    }
}

async fn accept_all(shared: sync::Arc<Shared>, listener: tokio::net::TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(RECONNECT_DELAY).await;
            continue;
        };
        if shared.unauthenticated.load(atomic::Ordering::Relaxed) >= MAX_UNAUTHENTICATED {
            continue;
        }
        shared
            .unauthenticated
            .fetch_add(1, atomic::Ordering::Relaxed);
        tokio::task::spawn_local(serve_incoming(shared.clone(), stream));
    }
}

async fn dial_all(shared: sync::Arc<Shared>) {
    let mut dialing: collections::HashMap<name::Host, tokio::task::JoinHandle<()>> =
        collections::HashMap::new();
    loop {
        dialing.retain(|_, task| !task.is_finished());
        for (host, address) in shared.hosts_to_dial() {
            if dialing.contains_key(&host) {
                continue;
            }
            let task = tokio::task::spawn_local(dial(shared.clone(), host.clone(), address));
            dialing.insert(host, task);
        }
        let changed = shared.peers_changed.notified();
        let _ = tokio::time::timeout(RECONNECT_DELAY, changed).await;
    }
}

/// The two directions of the HTTP/2 stream of a connection.
struct Channel {
    out: h2::SendStream<bytes::Bytes>,
    body: h2::RecvStream,
    reader: frame::Reader,
}

/// The connection ended or must be closed; the cause is not kept.
#[derive(Clone, Copy, Debug)]
struct Closed;

impl Channel {
    async fn send<T: serde::Serialize>(&mut self, message: &T) -> Result<(), Closed> {
        let mut bytes = Vec::new();
        frame::write(message, &mut bytes).map_err(|_| Closed)?;
        send_bytes(&mut self.out, bytes).await
    }

    async fn receive<T: serde::de::DeserializeOwned>(&mut self) -> Result<T, Closed> {
        loop {
            if let Some(message) = self.reader.read().map_err(|_| Closed)? {
                return Ok(message);
            }
            let Some(Ok(bytes)) = self.body.data().await else {
                return Err(Closed);
            };
            self.reader.push(&bytes);
            let _ = self.body.flow_control().release_capacity(bytes.len());
        }
    }

    /// Exchanges greetings and proofs with the other host. Returns its greeting once it is
    /// verified.
    async fn authenticate(&mut self, shared: &Shared) -> Result<auth::Hello, Closed> {
        let ours = shared.hello();
        self.send(&ours).await?;
        let theirs: auth::Hello = self.receive().await?;
        let secret = &shared.identity.secret;
        self.send(&auth::prove(secret, &ours.host, &theirs)).await?;
        let proof: auth::Proof = self.receive().await?;
        let same_version = theirs.version == message::VERSION;
        if !same_version || !auth::verify(secret, &theirs, &ours, &proof) {
            tracing::warn!(event = "peer_refused", host = %theirs.host, version = theirs.version);
            return Err(Closed);
        }
        Ok(theirs)
    }
}

async fn send_bytes(out: &mut h2::SendStream<bytes::Bytes>, bytes: Vec<u8>) -> Result<(), Closed> {
    let mut unsent = bytes::Bytes::from(bytes);
    while !unsent.is_empty() {
        out.reserve_capacity(unsent.len());
        // `poll_capacity` reports only capacity that is assigned later, so capacity that is
        // available already must be used first.
        let mut available = out.capacity();
        if available == 0 {
            let ready = std::future::poll_fn(|cx| out.poll_capacity(cx));
            let Some(Ok(assigned)) = ready.await else {
                return Err(Closed);
            };
            available = assigned;
        }
        let chunk = unsent.split_to(available.min(unsent.len()));
        out.send_data(chunk, false).map_err(|_| Closed)?;
    }
    Ok(())
}

async fn dial(shared: sync::Arc<Shared>, host: name::Host, address: net::SocketAddr) {
    let opened = tokio::time::timeout(OPEN_TIMEOUT, open(&shared, address)).await;
    let Ok(Ok((channel, hello))) = opened else {
        return;
    };
    if hello.host != host {
        tracing::warn!(event = "peer_misnamed", host = %host, found = %hello.host);
        return;
    }
    run_connection(&shared, channel, hello).await;
}

async fn open(shared: &Shared, address: net::SocketAddr) -> Result<(Channel, auth::Hello), Closed> {
    let stream = tokio::net::TcpStream::connect(address)
        .await
        .map_err(|_| Closed)?;
    let _ = stream.set_nodelay(true);
    let builder = h2::client::Builder::new()
        .initial_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
        .handshake(stream)
        .await;
    let (mut client, connection) = builder.map_err(|_| Closed)?;
    tokio::task::spawn_local(connection);
    let request = http::Request::post("http://peer/")
        .body(())
        .map_err(|_| Closed)?;
    let (response, out) = client.send_request(request, false).map_err(|_| Closed)?;
    let body = response.await.map_err(|_| Closed)?.into_body();
    let mut channel = Channel {
        out,
        body,
        reader: frame::Reader::default(),
    };
    let hello = channel.authenticate(shared).await?;
    Ok((channel, hello))
}

async fn serve_incoming(shared: sync::Arc<Shared>, stream: tokio::net::TcpStream) {
    let opened = tokio::time::timeout(OPEN_TIMEOUT, accept_peer(&shared, stream)).await;
    shared
        .unauthenticated
        .fetch_sub(1, atomic::Ordering::Relaxed);
    let Ok(Ok((channel, hello))) = opened else {
        return;
    };
    run_connection(&shared, channel, hello).await;
}

async fn accept_peer(
    shared: &Shared,
    stream: tokio::net::TcpStream,
) -> Result<(Channel, auth::Hello), Closed> {
    let _ = stream.set_nodelay(true);
    let builder = h2::server::Builder::new()
        .initial_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
        .max_concurrent_streams(1)
        .handshake(stream)
        .await;
    let mut connection = builder.map_err(|_| Closed)?;
    let Some(Ok((request, mut respond))) = connection.accept().await else {
        return Err(Closed);
    };
    let body = request.into_body();
    let out = respond
        .send_response(http::Response::new(()), false)
        .map_err(|_| Closed)?;
    tokio::task::spawn_local(async move { while connection.accept().await.is_some() {} });
    let mut channel = Channel {
        out,
        body,
        reader: frame::Reader::default(),
    };
    let hello = channel.authenticate(shared).await?;
    Ok((channel, hello))
}

/// Sends and receives messages until the connection ends.
async fn run_connection(shared: &sync::Arc<Shared>, channel: Channel, hello: auth::Hello) {
    let (sender, queue) = mpsc::channel(QUEUE_CAPACITY);
    // The connection holds no strong reference to its queue, so that [`Links::remove`] ends it.
    let weak_sender = sender.downgrade();
    register(shared, &hello, sender);
    let Some(handler) = shared.handler.upgrade() else {
        return;
    };
    tracing::info!(event = "peer_opened", host = %hello.host, dc = %hello.dc);
    handler.opened(&hello.host);
    let Channel { out, body, reader } = channel;
    let writing = write_all(shared, out, queue);
    let reading = read_all(shared, body, reader, &hello.host);
    tokio::select! {
        () = writing => {}
        () = reading => {}
    }
    unregister(shared, &hello.host, &weak_sender);
    tracing::info!(event = "peer_closed", host = %hello.host);
    handler.closed(&hello.host);
}

fn register(shared: &Shared, hello: &auth::Hello, sender: mpsc::Sender<message::Message>) {
    let mut peers = shared.lock();
    let peer = peers.entry(hello.host.clone()).or_insert_with(|| Peer {
        address: net::SocketAddr::from(([0, 0, 0, 0], 0)),
        dc: hello.dc.clone(),
        keep_connected: false,
        queues: Queues::new(),
    });
    peer.dc = hello.dc.clone();
    peer.queues.push(sender);
}

fn unregister(shared: &Shared, host: &name::Host, sender: &mpsc::WeakSender<message::Message>) {
    let Some(sender) = sender.upgrade() else {
        return;
    };
    if let Some(peer) = shared.lock().get_mut(host) {
        peer.queues.retain(|queue| !queue.same_channel(&sender));
    }
}

async fn write_all(
    shared: &Shared,
    mut out: h2::SendStream<bytes::Bytes>,
    mut queue: mpsc::Receiver<message::Message>,
) {
    let mut batch = Vec::new();
    loop {
        let count = queue.recv_many(&mut batch, QUEUE_CAPACITY).await;
        if count == 0 {
            return;
        }
        let mut bytes = Vec::new();
        for message in batch.drain(..) {
            if frame::write(&message, &mut bytes).is_err() {
                tracing::error!(event = "message_too_long");
            }
        }
        let len = bytes.len() as u64;
        shared.sent_bytes.fetch_add(len, atomic::Ordering::Relaxed);
        let sending = send_bytes(&mut out, bytes);
        match tokio::time::timeout(IDLE_TIMEOUT, sending).await {
            Ok(Ok(())) => {}
            _ => return,
        }
    }
}

async fn read_all(
    shared: &Shared,
    mut body: h2::RecvStream,
    mut reader: frame::Reader,
    host: &name::Host,
) {
    loop {
        loop {
            match reader.read::<message::Message>() {
                Ok(Some(message)) => {
                    let Some(handler) = shared.handler.upgrade() else {
                        return;
                    };
                    handler.message(host, message);
                }
                Ok(None) => break,
                Err(frame::InvalidFrame) => {
                    tracing::warn!(event = "peer_garbage", host = %host);
                    return;
                }
            }
        }
        let Ok(Some(Ok(bytes))) = tokio::time::timeout(IDLE_TIMEOUT, body.data()).await else {
            return;
        };
        shared
            .received_bytes
            .fetch_add(bytes.len() as u64, atomic::Ordering::Relaxed);
        reader.push(&bytes);
        let _ = body.flow_control().release_capacity(bytes.len());
    }
}
