//! A TCP relay whose connections can be cut, be slow, or go silent in one direction or both.

use std::{
    collections::BTreeMap,
    io::{self, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

/// Bytes that one read from a connection returns at most.
const BUF_BYTES: usize = 64 * 1024;

/// One connection: both sides, and whether bytes of each are dropped.
struct Pair {
    client: TcpStream,
    server: TcpStream,
    drops_requests: Arc<AtomicBool>,
    drops_answers: Arc<AtomicBool>,
}

#[derive(Default)]
struct State {
    open: bool,
    next_connection: u64,
    pairs: BTreeMap<u64, Pair>,
    accepting: Option<thread::JoinHandle<()>>,
}

struct Shared {
    address: SocketAddr,
    target: SocketAddr,
    delay_ms: AtomicU64,
    state: Mutex<State>,
}

/// Passes connections on to a server on this machine.
///
/// Clones act on the same relay.
#[derive(Clone)]
pub struct FaultProxy {
    shared: Arc<Shared>,
}

impl FaultProxy {
    /// Opens a relay on a free port that leads to `target`.
    ///
    /// # Errors
    ///
    /// When no port can be bound.
    pub fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((std::net::Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        let state = Mutex::new(State { open: true, ..State::default() });
        let proxy = Self {
            shared: Arc::new(Shared { address, target, delay_ms: AtomicU64::new(0), state }),
        };
        proxy.spawn_accept(listener);
        Ok(proxy)
    }

    /// The address that clients connect to.
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Number of open connections.
    pub fn connections(&self) -> usize {
        self.shared.lock().pairs.len()
    }

    /// Number of connections accepted so far.
    pub fn accepted(&self) -> u64 {
        self.shared.lock().next_connection
    }

    /// Stops passing bytes on all open connections, without closing them.
    /// New connections work.
    pub fn silence(&self) {
        let state = self.shared.lock();
        for pair in state.pairs.values() {
            pair.drops_requests.store(true, Ordering::SeqCst);
            pair.drops_answers.store(true, Ordering::SeqCst);
        }
    }

    /// Stops passing on what the server sends on all open connections, without closing them:
    /// requests arrive, answers don't. New connections work.
    pub fn silence_responses(&self) {
        let state = self.shared.lock();
        state.pairs.values().for_each(|pair| pair.drops_answers.store(true, Ordering::SeqCst));
    }

    /// Passes bytes on later by this time, in both directions, until it is set anew.
    pub fn set_delay(&self, delay: Duration) {
        let ms = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
        self.shared.delay_ms.store(ms, Ordering::SeqCst);
    }

    /// Cuts all open connections. New connections work.
    pub fn cut(&self) {
        let mut state = self.shared.lock();
        std::mem::take(&mut state.pairs).values().for_each(Pair::shut);
    }

    /// Cuts all connections and refuses new ones, until [`FaultProxy::open`].
    pub fn close(&self) {
        self.refuse();
        self.cut();
    }

    /// Refuses new connections, until [`FaultProxy::open`]. Open ones work.
    pub fn refuse(&self) {
        let accepting = {
            let mut state = self.shared.lock();
            state.open = false;
            state.accepting.take()
        };
        if let Some(accepting) = accepting {
            // Wakes the accepting thread, which then drops the listener.
            let _ = TcpStream::connect(self.shared.address);
            let _ = accepting.join();
        }
    }

    /// Accepts connections again, on the same address.
    ///
    /// # Errors
    ///
    /// When the port can't be bound again.
    pub fn open(&self) -> io::Result<()> {
        let mut state = self.shared.lock();
        if state.open {
            return Ok(());
        }
        let listener = TcpListener::bind(self.shared.address)?;
        state.open = true;
        drop(state);
        self.spawn_accept(listener);
        Ok(())
    }

    fn spawn_accept(&self, listener: TcpListener) {
        let shared = Arc::clone(&self.shared);
        let accepting = thread::spawn(move || {
            for client in listener.incoming() {
                if !shared.lock().open {
                    return;
                }
                let passed = client.and_then(|client| shared.pass(client));
                if let Err(e) = passed {
                    log::debug!("relay {}: {e}", shared.address);
                }
            }
        });
        self.shared.lock().accepting = Some(accepting);
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn pass(self: &Arc<Self>, client: TcpStream) -> io::Result<()> {
        let server = TcpStream::connect(self.target)?;
        client.set_nodelay(true)?;
        server.set_nodelay(true)?;
        let drops_requests = Arc::new(AtomicBool::new(false));
        let drops_answers = Arc::new(AtomicBool::new(false));
        let upward = (client.try_clone()?, server.try_clone()?);
        let downward = (server.try_clone()?, client.try_clone()?);
        let id = {
            let mut state = self.lock();
            let id = state.next_connection;
            state.next_connection += 1;
            let (drops_requests, drops_answers) = (drops_requests.clone(), drops_answers.clone());
            let pair = Pair { client, server, drops_requests, drops_answers };
            state.pairs.insert(id, pair);
            id
        };
        self.spawn_copy(id, upward, drops_requests);
        self.spawn_copy(id, downward, drops_answers);
        Ok(())
    }

    fn spawn_copy(
        self: &Arc<Self>,
        id: u64,
        (from, to): (TcpStream, TcpStream),
        is_silent: Arc<AtomicBool>,
    ) {
        let shared = Arc::clone(self);
        thread::spawn(move || {
            copy(from, to, &is_silent, &shared.delay_ms);
            let mut state = shared.lock();
            // A silent connection never closes by itself: that is its fault.
            if state.pairs.get(&id).is_some_and(Pair::is_silent) {
                return;
            }
            if let Some(pair) = state.pairs.remove(&id) {
                pair.shut();
            }
        });
    }
}

impl Pair {
    fn is_silent(&self) -> bool {
        self.drops_requests.load(Ordering::SeqCst) || self.drops_answers.load(Ordering::SeqCst)
    }

    fn shut(&self) {
        let _ = self.client.shutdown(Shutdown::Both);
        let _ = self.server.shutdown(Shutdown::Both);
    }
}

/// Copies bytes until either side ends, dropping them once the connection is silent.
fn copy(mut from: TcpStream, mut to: TcpStream, is_silent: &AtomicBool, delay_ms: &AtomicU64) {
    let mut buf = vec![0; BUF_BYTES];
    loop {
        let n = match from.read(&mut buf) {
            Ok(0) | Err(_) => return,
            Ok(n) => n,
        };
        thread::sleep(Duration::from_millis(delay_ms.load(Ordering::SeqCst)));
        if is_silent.load(Ordering::SeqCst) {
            continue;
        }
        if to.write_all(&buf[..n]).is_err() {
            return;
        }
    }
}
