//! Connections to other hosts, kept up in the background.
//!
//! A host dials those it is told to want. Messages to a host that is not
//! connected, or slower than its queue is long, are dropped: every message is repeated by its
//! sender where it matters.

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

/// Messages that wait for one host at most.
const QUEUE: usize = 4096;
/// Time to open and authenticate a connection.
const OPEN: time::Duration = time::Duration::from_secs(2);
/// Pause between two tries to open a connection.
const REDIAL: time::Duration = time::Duration::from_millis(300);
/// A connection that carries no message for this long is closed.
const SILENCE: time::Duration = time::Duration::from_secs(6);
/// Connections that have not proved themselves at most.
const MAX_STRANGERS: usize = 64;
/// Largest h2 window, in bytes.
const WINDOW_BYTES: u32 = 1 << 20;

/// Takes messages as they come; called on the network thread, so it must not block for long.
pub trait MessageHandler: Send + Sync {
    /// A message came from `host`.
    fn message(&self, host: &name::Host, message: message::Message);
    /// The connection to `host` was opened.
    fn opened(&self, host: &name::Host);
    /// The connection to `host` was lost.
    fn closed(&self, host: &name::Host);
}

/// This side of all connections.
#[derive(Clone, Debug)]
pub struct Identity {
    /// This host.
    pub host: name::Host,
    /// Its data centre.
    pub dc: name::Dc,
    /// The secret that hosts share.
    pub secret: String,
}

#[derive(Debug)]
struct Peer {
    address: net::SocketAddr,
    dc: name::Dc,
    wanted: bool,
    out: Option<mpsc::Sender<message::Message>>,
}

struct Shared {
    identity: Identity,
    sink: sync::Weak<dyn MessageHandler>,
    peers: sync::Mutex<collections::HashMap<name::Host, Peer>>,
    strangers: atomic::AtomicUsize,
    sent: atomic::AtomicU64,
    received: atomic::AtomicU64,
    changed: tokio::sync::Notify,
}

/// The connections of one host.
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
    /// The address can't be bound, or the thread not started.
    pub fn start(
        identity: Identity,
        address: net::SocketAddr,
        sink: sync::Weak<dyn MessageHandler>,
    ) -> io::Result<Self> {
        let listener = net::TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let shared = sync::Arc::new(Shared {
            identity,
            sink,
            peers: sync::Mutex::default(),
            strangers: atomic::AtomicUsize::new(0),
            sent: atomic::AtomicU64::new(0),
            received: atomic::AtomicU64::new(0),
            changed: tokio::sync::Notify::new(),
        });
        let (stop, stopped) = tokio::sync::oneshot::channel();
        let running = shared.clone();
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let thread = thread::Builder::new().name("peers".into()).spawn(move || {
            let local = tokio::task::LocalSet::new();
            local.block_on(&runtime, run(running, listener, stopped));
        })?;
        Ok(Self {
            shared,
            stop: Some(stop),
            thread: Some(thread),
            address,
        })
    }

    /// Where it listens.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Wants a connection to `host` and keeps it up.
    pub fn keep_connected(&self, host: &name::Host, dc: &name::Dc, address: net::SocketAddr) {
        if host == &self.shared.identity.host {
            return;
        }
        let mut peers = self.shared.lock();
        let peer = peers.entry(host.clone()).or_insert_with(|| Peer {
            address,
            dc: dc.clone(),
            wanted: false,
            out: None,
        });
        let moved = peer.address != address;
        peer.address = address;
        if peer.wanted && !moved {
            return;
        }
        peer.wanted = true;
        drop(peers);
        self.shared.changed.notify_one();
    }

    /// Wants no connection to `host` any more.
    pub fn disconnect(&self, host: &name::Host) {
        self.shared.lock().remove(host);
    }

    /// Sends a message; tells whether it was queued.
    pub fn send(&self, host: &name::Host, message: message::Message) -> bool {
        let peers = self.shared.lock();
        let Some(out) = peers.get(host).and_then(|p| p.out.as_ref()) else {
            return false;
        };
        out.try_send(message).is_ok()
    }

    /// The hosts connected now, with their data centres.
    pub fn connected(&self) -> Vec<(name::Host, name::Dc)> {
        let peers = self.shared.lock();
        let up = peers.iter().filter(|(_, p)| p.out.is_some());
        up.map(|(host, p)| (host.clone(), p.dc.clone())).collect()
    }

    /// Bytes of frames sent and received since the start.
    pub fn transferred_bytes(&self) -> (u64, u64) {
        let order = atomic::Ordering::Relaxed;
        (
            self.shared.sent.load(order),
            self.shared.received.load(order),
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
            // Each state is keyed by the operating system's random numbers.
            let drawn = std::hash::RandomState::new().hash_one(clock::Clock::System.now().0);
            half.copy_from_slice(&drawn.to_le_bytes());
        }
        auth::Hello {
            version: message::VERSION,
            host: self.identity.host.clone(),
            dc: self.identity.dc.clone(),
            nonce,
        }
    }

    fn to_dial(&self) -> Vec<(name::Host, net::SocketAddr)> {
        let mut out = Vec::new();
        for (host, peer) in self.lock().iter() {
            if peer.wanted && peer.out.is_none() {
                out.push((host.clone(), peer.address));
            }
        }
        out
    }
}

async fn run(
    shared: sync::Arc<Shared>,
    listener: net::TcpListener,
    stopped: tokio::sync::oneshot::Receiver<()>,
) {
    let Ok(listener) = tokio::net::TcpListener::from_std(listener) else {
        return;
    };
    let accepting = accept(shared.clone(), listener);
    let dialling = dial_all(shared);
    tokio::select! {
        _ = stopped => {}
        () = accepting => {}
        () = dialling => {}
    }
}

async fn accept(shared: sync::Arc<Shared>, listener: tokio::net::TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(REDIAL).await;
            continue;
        };
        if shared.strangers.load(atomic::Ordering::Relaxed) >= MAX_STRANGERS {
            continue;
        }
        shared.strangers.fetch_add(1, atomic::Ordering::Relaxed);
        tokio::task::spawn_local(serve(shared.clone(), stream));
    }
}

async fn dial_all(shared: sync::Arc<Shared>) {
    let mut dialling: collections::HashMap<name::Host, tokio::task::JoinHandle<()>> =
        collections::HashMap::new();
    loop {
        dialling.retain(|_, task| !task.is_finished());
        for (host, address) in shared.to_dial() {
            if dialling.contains_key(&host) {
                continue;
            }
            let task = tokio::task::spawn_local(dial(shared.clone(), host.clone(), address));
            dialling.insert(host, task);
        }
        let changed = shared.changed.notified();
        let _ = tokio::time::timeout(REDIAL, changed).await;
    }
}

/// A connection's streams, before and after both sides proved themselves.
struct Channel {
    out: h2::SendStream<bytes::Bytes>,
    body: h2::RecvStream,
    reader: frame::Reader,
}

/// Why a connection ended.
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

    /// Both sides say who they are and prove it.
    async fn authenticate(&mut self, shared: &Shared) -> Result<auth::Hello, Closed> {
        let ours = shared.hello();
        self.send(&ours).await?;
        let theirs: auth::Hello = self.receive().await?;
        let secret = &shared.identity.secret;
        self.send(&auth::prove(secret, &ours.host, &theirs)).await?;
        let proof: auth::Proof = self.receive().await?;
        let known = theirs.version == message::VERSION;
        if !known || !auth::verify(secret, &theirs, &ours, &proof) {
            tracing::warn!(event = "peer_refused", host = %theirs.host, version = theirs.version);
            return Err(Closed);
        }
        Ok(theirs)
    }
}

async fn send_bytes(out: &mut h2::SendStream<bytes::Bytes>, bytes: Vec<u8>) -> Result<(), Closed> {
    let mut rest = bytes::Bytes::from(bytes);
    while !rest.is_empty() {
        out.reserve_capacity(rest.len());
        // Only capacity assigned later wakes the poll.
        let mut room = out.capacity();
        if room == 0 {
            let ready = std::future::poll_fn(|cx| out.poll_capacity(cx));
            let Some(Ok(assigned)) = ready.await else {
                return Err(Closed);
            };
            room = assigned;
        }
        let part = rest.split_to(room.min(rest.len()));
        out.send_data(part, false).map_err(|_| Closed)?;
    }
    Ok(())
}

async fn dial(shared: sync::Arc<Shared>, host: name::Host, address: net::SocketAddr) {
    let opened = tokio::time::timeout(OPEN, open(&shared, address)).await;
    let Ok(Ok((channel, hello))) = opened else {
        return;
    };
    if hello.host != host {
        tracing::warn!(event = "peer_misnamed", host = %host, found = %hello.host);
        return;
    }
    pump(&shared, channel, hello).await;
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
    let (answer, out) = client.send_request(request, false).map_err(|_| Closed)?;
    let body = answer.await.map_err(|_| Closed)?.into_body();
    let mut channel = Channel {
        out,
        body,
        reader: frame::Reader::default(),
    };
    let hello = channel.authenticate(shared).await?;
    Ok((channel, hello))
}

async fn serve(shared: sync::Arc<Shared>, stream: tokio::net::TcpStream) {
    let opened = tokio::time::timeout(OPEN, answer(&shared, stream)).await;
    shared.strangers.fetch_sub(1, atomic::Ordering::Relaxed);
    let Ok(Ok((channel, hello))) = opened else {
        return;
    };
    pump(&shared, channel, hello).await;
}

async fn answer(
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

/// Carries messages both ways until the connection ends.
async fn pump(shared: &sync::Arc<Shared>, channel: Channel, hello: auth::Hello) {
    let (sender, queue) = mpsc::channel(QUEUE);
    register(shared, &hello, sender.clone());
    let Some(sink) = shared.sink.upgrade() else {
        return;
    };
    tracing::info!(event = "peer_opened", host = %hello.host, dc = %hello.dc);
    sink.opened(&hello.host);
    let Channel { out, body, reader } = channel;
    let writing = write_all(shared, out, queue);
    let reading = read_all(shared, body, reader, &hello.host);
    tokio::select! {
        () = writing => {}
        () = reading => {}
    }
    unregister(shared, &hello.host, &sender);
    tracing::info!(event = "peer_closed", host = %hello.host);
    sink.closed(&hello.host);
}

fn register(shared: &Shared, hello: &auth::Hello, sender: mpsc::Sender<message::Message>) {
    let mut peers = shared.lock();
    let peer = peers.entry(hello.host.clone()).or_insert_with(|| Peer {
        address: net::SocketAddr::from(([0, 0, 0, 0], 0)),
        dc: hello.dc.clone(),
        wanted: false,
        out: None,
    });
    peer.dc = hello.dc.clone();
    // A host that restarted comes before its old connection is seen to be dead.
    peer.out = Some(sender);
}

fn unregister(shared: &Shared, host: &name::Host, sender: &mpsc::Sender<message::Message>) {
    let mut peers = shared.lock();
    let Some(peer) = peers.get_mut(host) else {
        return;
    };
    if peer
        .out
        .as_ref()
        .is_some_and(|out| out.same_channel(sender))
    {
        peer.out = None;
    }
}

async fn write_all(
    shared: &Shared,
    mut out: h2::SendStream<bytes::Bytes>,
    mut queue: mpsc::Receiver<message::Message>,
) {
    let mut batch = Vec::new();
    loop {
        let count = queue.recv_many(&mut batch, QUEUE).await;
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
        shared.sent.fetch_add(len, atomic::Ordering::Relaxed);
        let sending = send_bytes(&mut out, bytes);
        match tokio::time::timeout(SILENCE, sending).await {
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
                    let Some(sink) = shared.sink.upgrade() else {
                        return;
                    };
                    sink.message(host, message);
                }
                Ok(None) => break,
                Err(frame::InvalidFrame) => {
                    tracing::warn!(event = "peer_garbage", host = %host);
                    return;
                }
            }
        }
        let Ok(Some(Ok(bytes))) = tokio::time::timeout(SILENCE, body.data()).await else {
            return;
        };
        shared
            .received
            .fetch_add(bytes.len() as u64, atomic::Ordering::Relaxed);
        reader.push(&bytes);
        let _ = body.flow_control().release_capacity(bytes.len());
    }
}
