//! A TCP proxy that injects faults: it cuts, delays or slows down connections, or drops their bytes in
//! one direction or both.

use socket2::{Domain, Socket, Type};
use std::{
    collections::BTreeMap,
    io::{self, Read, Write},
    net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

/// Address that proxies listen on. Connections within the computer come from 127.0.0.1 unless they are
/// bound, so none takes the port of a proxy that refuses connections for a while.
const ADDRESS: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 2);
/// Length of the queue of connections to be accepted.
const BACKLOG: i32 = 128;
/// Timeout for the connection that fills a queue.
const FILLER_TIMEOUT: Duration = Duration::from_millis(100);
/// Most bytes that one read from a connection returns.
const BUF_BYTES: usize = 64 * 1024;
/// Pieces per second in which bytes arrive at a limited rate.
const PIECES_PER_S: u64 = 20;

/// A connection from a client to the server, and which bytes on it are dropped.
struct Connection {
    client: TcpStream,
    server: TcpStream,
    drops_requests: Arc<AtomicBool>,
    drops_responses: Arc<AtomicBool>,
}

#[derive(Default)]
struct State {
    /// Whether new connections are accepted.
    is_open: bool,
    next_connection_id: u64,
    connections: BTreeMap<u64, Connection>,
    accept_thread: Option<thread::JoinHandle<()>>,
    /// Socket that keeps the port while no connections are accepted. If it listens, the connection with
    /// it fills its queue, so that new connections hang.
    closed_socket: Option<(Socket, Option<TcpStream>)>,
}

struct Shared {
    address: SocketAddr,
    /// Bound to the address all the time, and never listens: between two sockets that do, no other process
    /// may take the port.
    _keeper: Socket,
    target: SocketAddr,
    delay_ms: AtomicU64,
    /// Bytes per second of each connection in each direction; 0 for no limit.
    rate: AtomicU64,
    state: Mutex<State>,
}

/// Forwards connections to a server on 127.0.0.1, and injects faults on demand.
///
/// Clones share the same proxy.
#[derive(Clone)]
pub struct FaultProxy {
    shared: Arc<Shared>,
}

impl FaultProxy {
    /// Starts a proxy on a free port of a loopback address that forwards connections to `target`.
    ///
    /// # Errors
    ///
    /// If no port can be bound.
    pub fn start(target: SocketAddr) -> io::Result<Self> {
        let keeper = bind(SocketAddr::from((ADDRESS, 0)))?;
        let address = keeper.local_addr()?.as_socket().ok_or(io::ErrorKind::AddrNotAvailable)?;
        let listener = bind(address)?;
        listener.listen(BACKLOG)?;
        let state = Mutex::new(State { is_open: true, ..State::default() });
        let (delay_ms, rate) = (AtomicU64::new(0), AtomicU64::new(0));
        let shared = Shared { address, _keeper: keeper, target, delay_ms, rate, state };
        let proxy = Self { shared: Arc::new(shared) };
        proxy.spawn_accept(listener.into());
        Ok(proxy)
    }

    /// The address that clients connect to.
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Number of open connections.
    pub fn connections(&self) -> usize {
        self.shared.lock().connections.len()
    }

    /// Number of connections accepted and forwarded to the server so far.
    pub fn accepted(&self) -> u64 {
        self.shared.lock().next_connection_id
    }

    /// Drops all further bytes on the open connections, which stay open. New connections work.
    pub fn silence(&self) {
        let state = self.shared.lock();
        for connection in state.connections.values() {
            connection.drops_requests.store(true, Ordering::SeqCst);
            connection.drops_responses.store(true, Ordering::SeqCst);
        }
    }

    /// Drops all further bytes from the clients on the open connections, which stay open: responses still
    /// arrive, requests don't. New connections work.
    pub fn silence_requests(&self) {
        let state = self.shared.lock();
        state
            .connections
            .values()
            .for_each(|connection| connection.drops_requests.store(true, Ordering::SeqCst));
    }

    /// Drops all further bytes from the server on the open connections, which stay open: requests
    /// still arrive, responses don't. New connections work.
    pub fn silence_responses(&self) {
        let state = self.shared.lock();
        state
            .connections
            .values()
            .for_each(|connection| connection.drops_responses.store(true, Ordering::SeqCst));
    }

    /// Delays the bytes of each read (at most 64 KiB) by this time, rounded down to milliseconds, in
    /// both directions.
    pub fn set_delay(&self, delay: Duration) {
        let ms = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
        self.shared.delay_ms.store(ms, Ordering::SeqCst);
    }

    /// Limits each connection to this number of bytes per second in each direction; 0 ends the limit.
    pub fn set_rate(&self, bytes_per_s: u64) {
        self.shared.rate.store(bytes_per_s, Ordering::SeqCst);
    }

    /// Closes all open connections. New connections work.
    pub fn cut(&self) {
        let mut state = self.shared.lock();
        std::mem::take(&mut state.connections).values().for_each(Connection::shut_down);
    }

    /// Closes all connections and refuses new ones, until [`FaultProxy::open`].
    pub fn close(&self) {
        self.refuse();
        self.cut();
    }

    /// Refuses new connections, until [`FaultProxy::open`]. Open ones work.
    pub fn refuse(&self) {
        let accept_thread = {
            let mut state = self.shared.lock();
            state.is_open = false;
            state.accept_thread.take()
        };
        let Some(accept_thread) = accept_thread else { return };
        // A connection wakes the accepting thread, which then drops the listener.
        let _ = TcpStream::connect(self.shared.address);
        let _ = accept_thread.join();
        // A socket that is bound but doesn't listen keeps the port from being used by others.
        match bind(self.shared.address) {
            Ok(socket) => self.shared.lock().closed_socket = Some((socket, None)),
            Err(err) => log::warn!("fault proxy {}: port not kept: {err}", self.shared.address),
        }
    }

    /// Drops all further bytes on the open connections, which stay open, and lets new connections
    /// hang, until [`FaultProxy::open`].
    ///
    /// # Errors
    ///
    /// If the port can't be bound again.
    pub fn hang(&self) -> io::Result<()> {
        self.silence();
        self.hang_new()
    }

    /// Lets new connections hang, until [`FaultProxy::open`]. Open ones work.
    ///
    /// # Errors
    ///
    /// If the port can't be bound again.
    pub fn hang_new(&self) -> io::Result<()> {
        self.refuse();
        let kept = self.shared.lock().closed_socket.take();
        let socket = kept.map_or_else(|| bind(self.shared.address), |(socket, _)| Ok(socket))?;
        // The queue has room for one connection. Packets that open further ones are dropped.
        socket.listen(0)?;
        // If it can't be made, a client has filled the queue.
        let filler = TcpStream::connect_timeout(&self.shared.address, FILLER_TIMEOUT).ok();
        self.shared.lock().closed_socket = Some((socket, filler));
        Ok(())
    }

    /// Accepts connections again, on the same address.
    ///
    /// # Errors
    ///
    /// If the port can't be bound again, or not listened on.
    pub fn open(&self) -> io::Result<()> {
        let mut state = self.shared.lock();
        if state.is_open {
            return Ok(());
        }
        let kept = state.closed_socket.take();
        let socket = kept.map_or_else(|| bind(self.shared.address), |(socket, _)| Ok(socket))?;
        socket.listen(BACKLOG)?;
        state.is_open = true;
        drop(state);
        self.spawn_accept(socket.into());
        Ok(())
    }

    /// Accepts connections on a thread of its own, until the proxy refuses them.
    fn spawn_accept(&self, listener: TcpListener) {
        let shared = Arc::clone(&self.shared);
        let accept_thread = thread::spawn(move || {
            for client in listener.incoming() {
                if !shared.lock().is_open {
                    return;
                }
                let result = client.and_then(|client| shared.forward(client));
                if let Err(e) = result {
                    log::debug!("fault proxy {}: {e}", shared.address);
                }
            }
        });
        self.shared.lock().accept_thread = Some(accept_thread);
    }
}

/// Socket with an address of a proxy that doesn't listen yet. Others of the same proxy may have the same address.
fn bind(address: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_reuse_port(true)?;
    socket.bind(&address.into())?;
    Ok(socket)
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Connects to the server, and copies bytes in both directions.
    fn forward(self: &Arc<Self>, client: TcpStream) -> io::Result<()> {
        let server = TcpStream::connect(self.target)?;
        client.set_nodelay(true)?;
        server.set_nodelay(true)?;
        let drops_requests = Arc::new(AtomicBool::new(false));
        let drops_responses = Arc::new(AtomicBool::new(false));
        let to_server = (client.try_clone()?, server.try_clone()?);
        let to_client = (server.try_clone()?, client.try_clone()?);
        let id = {
            let mut state = self.lock();
            let id = state.next_connection_id;
            state.next_connection_id += 1;
            let (drops_requests, drops_responses) =
                (drops_requests.clone(), drops_responses.clone());
            let connection = Connection { client, server, drops_requests, drops_responses };
            state.connections.insert(id, connection);
            id
        };
        self.spawn_copy(id, to_server, drops_requests);
        self.spawn_copy(id, to_client, drops_responses);
        Ok(())
    }

    /// Copies bytes in one direction on a thread of its own, and closes the connection at the end.
    fn spawn_copy(
        self: &Arc<Self>,
        id: u64,
        (from, to): (TcpStream, TcpStream),
        drops_bytes: Arc<AtomicBool>,
    ) {
        let shared = Arc::clone(self);
        thread::spawn(move || {
            copy(from, to, &drops_bytes, &shared);
            let mut state = shared.lock();
            // A silent connection stays open when one side closes it, so that the other side doesn't
            // notice.
            if state.connections.get(&id).is_some_and(Connection::is_silent) {
                return;
            }
            if let Some(connection) = state.connections.remove(&id) {
                connection.shut_down();
            }
        });
    }
}

impl Connection {
    /// Whether bytes are dropped in either direction.
    fn is_silent(&self) -> bool {
        self.drops_requests.load(Ordering::SeqCst) || self.drops_responses.load(Ordering::SeqCst)
    }

    /// Closes both sides.
    fn shut_down(&self) {
        let _ = self.client.shutdown(Shutdown::Both);
        let _ = self.server.shutdown(Shutdown::Both);
    }
}

/// Copies bytes until either side is closed, and drops them while `drops_bytes` is set.
fn copy(mut from: TcpStream, mut to: TcpStream, drops_bytes: &AtomicBool, shared: &Shared) {
    let mut buf = vec![0; BUF_BYTES];
    loop {
        let n = match from.read(&mut buf) {
            Ok(0) | Err(_) => return,
            Ok(n) => n,
        };
        thread::sleep(Duration::from_millis(shared.delay_ms.load(Ordering::SeqCst)));
        let mut rest = &buf[..n];
        while !rest.is_empty() {
            let piece;
            (piece, rest) = rest.split_at(wait_for_piece(rest.len(), &shared.rate));
            if !drops_bytes.load(Ordering::SeqCst) && to.write_all(piece).is_err() {
                return;
            }
        }
    }
}

/// Waits as long as the next piece of `n` bytes takes at this rate. Returns its length.
fn wait_for_piece(n: usize, rate: &AtomicU64) -> usize {
    let rate = rate.load(Ordering::SeqCst);
    if rate == 0 {
        return n;
    }
    let piece_bytes = n.min((rate / PIECES_PER_S).max(1) as usize);
    thread::sleep(Duration::from_secs_f64(piece_bytes as f64 / rate as f64));
    piece_bytes
}
