//! A TCP proxy on loopback that misbehaves on demand.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

use indexmap::IndexMap;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::shared::{After, Endless, HeadChange};

/// What the proxy does with what passes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// Passes it on.
    Pass,
    /// Passes it on later.
    Delay(Duration),
    /// Resets all connections, new ones too.
    Reset,
    /// Holds back what goes to the target.
    CutThere,
    /// Holds back what comes from the target.
    CutBack,
    /// Holds back both.
    Silent,
    /// Passes on what goes to the target, and a copy of each answer again before the next one.
    Copies,
    /// Passes on what goes to the target, and sends bytes without end in place of answers.
    Endless(Endless),
    /// Passes on what goes to the target, and changes the heads of answers.
    Head(HeadChange, After),
}

/// What the proxy does, for all and for some sources.
#[derive(Debug, Clone)]
struct Modes {
    all: Mode,
    by_source: IndexMap<IpAddr, Mode>,
}

impl Modes {
    fn of(&self, source: IpAddr) -> Mode {
        self.by_source.get(&source).copied().unwrap_or(self.all)
    }
}

/// Which way bytes go.
#[derive(Debug, Clone, Copy)]
enum Way {
    There,
    Back,
}

/// A proxy in front of one address; ends when it is dropped.
#[derive(Debug)]
pub struct Proxy {
    /// Where it listens.
    pub address: SocketAddr,
    target: Arc<Mutex<SocketAddr>>,
    modes: watch::Sender<Modes>,
    /// Grows when all connections are reset.
    breaks: watch::Sender<u64>,
    thread: Option<JoinHandle<()>>,
}

impl Proxy {
    /// Listens on a free port of the loopback address.
    ///
    /// # Errors
    ///
    /// When the port or the thread cannot be had.
    pub fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = std::net::TcpListener::bind(("127.0.0.1", 0))?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let target = Arc::new(Mutex::new(target));
        let (modes, seen) = watch::channel(Modes {
            all: Mode::Pass,
            by_source: IndexMap::new(),
        });
        let (breaks, broken) = watch::channel(0);
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let to = Arc::clone(&target);
        let thread = std::thread::Builder::new()
            .spawn(move || runtime.block_on(accept(listener, to, seen, broken)))?;
        Ok(Self {
            address,
            target,
            modes,
            breaks,
            thread: Some(thread),
        })
    }

    /// Misbehaves so from now on.
    pub fn set(&self, mode: Mode) {
        self.modes.send_modify(|modes| modes.all = mode);
        if mode == Mode::Reset {
            self.break_all();
        }
    }

    /// Misbehaves so from now on for connections from one address.
    pub fn set_for(&self, source: IpAddr, mode: Mode) {
        self.modes.send_modify(|modes| {
            modes.by_source.insert(source, mode);
        });
    }

    /// Treats connections from one address like all others again.
    pub fn clear_for(&self, source: IpAddr) {
        self.modes.send_modify(|modes| {
            modes.by_source.swap_remove(&source);
        });
    }

    /// Treats connections from all addresses alike again.
    pub fn clear_all(&self) {
        self.modes.send_modify(|modes| modes.by_source.clear());
    }

    /// Resets all connections and sends new ones to another address.
    pub fn retarget(&self, target: SocketAddr) {
        *self.target.lock().unwrap_or_else(PoisonError::into_inner) = target;
        self.break_all();
    }

    fn break_all(&self) {
        self.breaks.send_modify(|count| *count += 1);
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        // The accepting task ends when nobody can change its mode any more.
        let (closed, _) = watch::channel(Modes {
            all: Mode::Reset,
            by_source: IndexMap::new(),
        });
        self.modes = closed;
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            eprintln!("the thread of a proxy panicked");
        }
    }
}

async fn accept(
    listener: std::net::TcpListener,
    target: Arc<Mutex<SocketAddr>>,
    modes: watch::Receiver<Modes>,
    breaks: watch::Receiver<u64>,
) {
    let Ok(listener) = TcpListener::from_std(listener) else {
        return;
    };
    let mut closed = modes.clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = ended(&mut closed) => return,
        };
        let Ok((stream, source)) = accepted else {
            continue;
        };
        let to = *target.lock().unwrap_or_else(PoisonError::into_inner);
        let seen = SourceModes {
            modes: modes.clone(),
            source: source.ip(),
        };
        tokio::spawn(relay(stream, to, seen, breaks.clone()));
    }
}

/// What the proxy does with connections from one address.
#[derive(Debug, Clone)]
struct SourceModes {
    modes: watch::Receiver<Modes>,
    source: IpAddr,
}

impl SourceModes {
    fn get(&self) -> Mode {
        self.modes.borrow().of(self.source)
    }

    /// Waits until what goes one way is no longer held back; fails when the proxy is dropped.
    async fn wait_until_passed(&mut self, way: Way) -> Result<(), watch::error::RecvError> {
        let source = self.source;
        let passed = self.modes.wait_for(|modes| !is_held(modes.of(source), way));
        passed.await.map(|_| ())
    }

    /// Waits until connections are reset.
    async fn wait_until_reset(&mut self) {
        let source = self.source;
        if self
            .modes
            .wait_for(|modes| modes.of(source) == Mode::Reset)
            .await
            .is_err()
        {
            std::future::pending::<()>().await;
        }
    }
}

/// Resolves when the proxy is dropped.
async fn ended(modes: &mut watch::Receiver<Modes>) {
    while modes.changed().await.is_ok() {}
}

async fn relay(
    near: TcpStream,
    target: SocketAddr,
    mut modes: SourceModes,
    mut breaks: watch::Receiver<u64>,
) {
    breaks.mark_unchanged();
    let refused = modes.get() == Mode::Reset;
    let far = TcpStream::connect(target).await;
    let (Ok(far), false) = (far, refused) else {
        reset(&near);
        return;
    };
    // Small messages; without this a request waits for the answer to the one before.
    if near.set_nodelay(true).is_err() || far.set_nodelay(true).is_err() {
        return;
    }
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let there = copy(near_read, far_write, Way::There, modes.clone());
    let back = copy(far_read, near_write, Way::Back, modes.clone());
    tokio::select! {
        // Dropped with unread or unsent bytes, both sides see a reset or an end.
        _ = breaks.changed() => {}
        () = modes.wait_until_reset() => {}
        ((), ()) = futures::future::join(there, back) => {}
    }
}

fn reset(stream: &TcpStream) {
    // Without it the connection only ends; that is a fault too.
    let _ = stream.set_zero_linger();
}

async fn copy(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, way: Way, mut modes: SourceModes) {
    let mut buf = vec![0; 16 * 1024];
    // Answers of the stand-ins are short, and each comes by one read.
    let mut last_answer = Vec::new();
    loop {
        let len = match from.read(&mut buf).await {
            Ok(0) | Err(_) => break,
            Ok(len) => len,
        };
        let delay = match modes.get() {
            Mode::Delay(delay) => delay,
            _ => Duration::ZERO,
        };
        tokio::time::sleep(delay).await;
        let held = is_held(modes.get(), way);
        if held && modes.wait_until_passed(way).await.is_err() {
            return;
        }
        // Bytes that were held back are lost if their sender has closed meanwhile.
        if held && matches!(from.try_read(&mut [0]), Ok(0)) {
            return;
        }
        if matches!(way, Way::Back) {
            let mode = modes.get();
            if let Mode::Endless(endless) = mode {
                return send_endless(&mut to, endless, &buf[..len]).await;
            }
            if let Mode::Head(change, after) = mode {
                let sent = to.write_all(&change.apply(&buf[..len])).await;
                if sent.is_err() || after == After::Close {
                    return;
                }
                continue;
            }
            if mode == Mode::Copies && to.write_all(&last_answer).await.is_err() {
                return;
            }
            last_answer.clear();
            last_answer.extend_from_slice(&buf[..len]);
        }
        if to.write_all(&buf[..len]).await.is_err() {
            return;
        }
    }
    // The other side is told; if it has gone, there is nobody to tell.
    let _ = to.shutdown().await;
}

/// Sends bytes without end until the peer closes the connection or the relay ends.
async fn send_endless(to: &mut OwnedWriteHalf, endless: Endless, answer: &[u8]) {
    let (part, pause) = endless.part();
    let mut sent = to.write_all(&endless.start(answer)).await;
    while sent.is_ok() {
        tokio::time::sleep(pause).await;
        sent = to.write_all(&part).await;
    }
}

const fn is_held(mode: Mode, way: Way) -> bool {
    match (mode, way) {
        (Mode::Silent, _) | (Mode::CutThere, Way::There) | (Mode::CutBack, Way::Back) => true,
        (
            Mode::Pass
            | Mode::Delay(_)
            | Mode::Reset
            | Mode::CutThere
            | Mode::CutBack
            | Mode::Copies
            | Mode::Endless(_)
            | Mode::Head(..),
            _,
        ) => false,
    }
}
