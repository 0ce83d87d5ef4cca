//! A proxy in front of an endpoint that adds bytes to its answers, changes their heads, or sends
//! bytes without end in their place.

use std::io::{self, Read as _, Write as _};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use super::head_change::HeadChange;

/// Time between two lines of a slow head.
const LINE_PAUSE: Duration = Duration::from_millis(50);

/// Time after which bytes without end stop, far above what a passing test needs.
const ENDLESS_FOR: Duration = Duration::from_secs(20);

/// Size of the parts in which bytes without end are sent.
const PART_BYTES: usize = 16 * 1024;

/// Bytes without end, sent until the peer closes the connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Endless {
    /// Interim answers, without a final one.
    Interim,
    /// Interim answers, one every 50 ms.
    SlowInterim,
    /// Lines of a head.
    HeadLines,
    /// One line of a head.
    HeadLine,
    /// Lines of a head, one every 50 ms.
    SlowHead,
    /// Part of a head, and then nothing.
    StalledHead,
    /// A body in chunks.
    Chunks,
    /// A body without a length.
    Unframed,
    /// Bytes after a whole answer.
    AfterAnswer,
    /// Bytes that are no HTTP.
    NotHttp,
}

impl Endless {
    /// All kinds.
    pub const ALL: [Self; 10] = [
        Self::Interim,
        Self::SlowInterim,
        Self::HeadLines,
        Self::HeadLine,
        Self::SlowHead,
        Self::StalledHead,
        Self::Chunks,
        Self::Unframed,
        Self::AfterAnswer,
        Self::NotHttp,
    ];

    /// Bytes with which it begins, given the whole answer.
    pub(crate) fn start(self, answer: &[u8]) -> Vec<u8> {
        match self {
            Self::Interim | Self::SlowInterim | Self::NotHttp => Vec::new(),
            Self::HeadLines | Self::SlowHead | Self::StalledHead => b"HTTP/1.1 200 OK\r\n".to_vec(),
            Self::HeadLine => b"HTTP/1.1 200 OK\r\nx-line: ".to_vec(),
            Self::Chunks => framed(answer, b"transfer-encoding: chunked\r\n"),
            Self::Unframed => framed(answer, b""),
            Self::AfterAnswer => answer.to_vec(),
        }
    }

    /// What is repeated after that, and the pause between.
    pub(crate) fn part(self) -> (Vec<u8>, Duration) {
        let interim = b"HTTP/1.1 102 Processing\r\n\r\n";
        match self {
            Self::Interim => (interim.repeat(64), Duration::ZERO),
            Self::SlowInterim => (interim.to_vec(), LINE_PAUSE),
            Self::HeadLines => (b"x-line: 1\r\n".repeat(64), Duration::ZERO),
            Self::SlowHead => (b"x-line: 1\r\n".to_vec(), LINE_PAUSE),
            Self::StalledHead => (Vec::new(), LINE_PAUSE),
            Self::Chunks => {
                let mut chunk = format!("{PART_BYTES:x}\r\n").into_bytes();
                chunk.extend_from_slice(&[b'-'; PART_BYTES]);
                chunk.extend_from_slice(b"\r\n");
                (chunk, Duration::ZERO)
            }
            Self::HeadLine | Self::Unframed | Self::AfterAnswer | Self::NotHttp => {
                (vec![b'-'; PART_BYTES], Duration::ZERO)
            }
        }
    }
}

/// Head of an answer with other framing, without its body.
fn framed(answer: &[u8], framing: &[u8]) -> Vec<u8> {
    let head = String::from_utf8_lossy(answer);
    let head = head.split("\r\n\r\n").next().unwrap_or_default();
    let lines = head.split("\r\n");
    let lines = lines.filter(|line| !line.to_ascii_lowercase().starts_with("content-length"));
    let mut bytes = lines.collect::<Vec<_>>().join("\r\n").into_bytes();
    bytes.extend_from_slice(b"\r\n");
    bytes.extend_from_slice(framing);
    bytes.extend_from_slice(b"\r\n");
    bytes
}

/// What the proxy does with answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Fault {
    /// It passes them on.
    #[default]
    None,
    /// A copy of each answer precedes the next answer of its connection.
    Copies,
    /// Bytes without end take the place of answers.
    Endless(Endless),
    /// The heads of answers are changed.
    Head(HeadChange, After),
}

/// What follows an answer with a changed head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum After {
    /// The proxy closes the connection.
    Close,
    /// It serves on until the peer closes the connection.
    Open,
}

/// Which answers have a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answers {
    /// Those to requests.
    Requests,
    /// Those to grants and releases.
    Orders,
}

#[derive(Debug, Default)]
struct State {
    fault: Fault,
    of: Option<Answers>,
    /// Number of answers before the first that has the fault.
    skipped: usize,
    /// Number of answers that have the fault; `None` for all.
    left: Option<usize>,
    /// Times from the first wrong byte to the close of its connection by the peer.
    closed_after: Vec<Duration>,
    copies: usize,
    stopped: bool,
}

impl State {
    /// Fault of the answer to a request.
    fn take_fault(&mut self, request: &[u8]) -> Fault {
        let is_order = [&b"POST /api/grant "[..], b"POST /api/release "];
        let is_order = is_order.iter().any(|start| request.starts_with(start));
        let of = if is_order {
            Answers::Orders
        } else {
            Answers::Requests
        };
        if self.of != Some(of) {
            return Fault::None;
        }
        if self.skipped > 0 {
            self.skipped -= 1;
            return Fault::None;
        }
        match &mut self.left {
            Some(0) => return Fault::None,
            Some(left) => *left -= 1,
            None => {}
        }
        self.fault
    }
}

/// A proxy that stops when it is dropped.
#[derive(Debug)]
pub struct FaultyProxy {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl FaultyProxy {
    /// Starts a proxy of an endpoint on a free port of the loopback address.
    ///
    /// # Errors
    ///
    /// When the port cannot be had.
    pub fn start(endpoint: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let address = listener.local_addr()?;
        let state = Arc::<Mutex<State>>::default();
        let shared = Arc::clone(&state);
        std::thread::spawn(move || {
            for client in listener.incoming().flatten() {
                if lock(&shared).stopped {
                    return;
                }
                let shared = Arc::clone(&shared);
                std::thread::spawn(move || {
                    // A connection that ends early is part of what is tested.
                    let _ = serve(client, endpoint, &shared);
                });
            }
        });
        Ok(Self { address, state })
    }

    /// Where it listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the fault of all answers from now on.
    pub fn set(&self, fault: Fault, of: Answers) {
        self.set_after(0, fault, of);
    }

    /// Sets the fault of all answers but the next `skipped` ones.
    pub fn set_after(&self, skipped: usize, fault: Fault, of: Answers) {
        let mut state = lock(&self.state);
        state.fault = fault;
        state.of = Some(of);
        state.skipped = skipped;
        state.left = None;
    }

    /// Sets the fault of the next `count` answers.
    pub fn set_next(&self, count: usize, fault: Fault, of: Answers) {
        self.set(fault, of);
        lock(&self.state).left = Some(count);
    }

    /// Times from the first wrong byte to the close of its connection by the peer, so far.
    #[must_use]
    pub fn closed_after(&self) -> Vec<Duration> {
        lock(&self.state).closed_after.clone()
    }

    /// Number of copies that were sent.
    #[must_use]
    pub fn copies(&self) -> usize {
        lock(&self.state).copies
    }
}

impl Drop for FaultyProxy {
    fn drop(&mut self) {
        lock(&self.state).stopped = true;
        // Ends the wait for the next connection.
        let _ = TcpStream::connect(self.address);
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Serves one connection until either side closes it.
fn serve(mut client: TcpStream, endpoint: SocketAddr, state: &Mutex<State>) -> io::Result<()> {
    client.set_nodelay(true)?;
    let mut server = TcpStream::connect(endpoint)?;
    server.set_nodelay(true)?;
    let (mut requests, mut answers) = (Vec::new(), Vec::new());
    let mut last_answer: Option<Vec<u8>> = None;
    let mut changed_at = None;
    // A reset by the peer ends the connection like any other close.
    while let Ok(Some(request)) = read_message(&mut client, &mut requests) {
        let fault = lock(state).take_fault(&request);
        server.write_all(&request)?;
        if fault == Fault::Copies
            && let Some(copy) = &last_answer
        {
            client.write_all(copy)?;
            lock(state).copies += 1;
        }
        let Some(answer) = read_message(&mut server, &mut answers)? else {
            break;
        };
        if let Fault::Endless(endless) = fault {
            let began = Instant::now();
            // It ends when the peer has closed the connection.
            let _ = send_endless(&mut client, endless, &answer);
            lock(state).closed_after.push(began.elapsed());
            break;
        }
        if let Fault::Head(change, after) = fault {
            client.write_all(&change.apply(&answer))?;
            match after {
                After::Close => break,
                After::Open => changed_at.get_or_insert_with(Instant::now),
            };
            continue;
        }
        client.write_all(&answer)?;
        last_answer = Some(answer);
    }
    if let Some(changed_at) = changed_at {
        lock(state).closed_after.push(changed_at.elapsed());
    }
    client.shutdown(Shutdown::Both)
}

fn send_endless(client: &mut TcpStream, endless: Endless, answer: &[u8]) -> io::Result<()> {
    let began = Instant::now();
    client.set_read_timeout(Some(Duration::from_millis(1)))?;
    client.write_all(&endless.start(answer))?;
    let (part, pause) = endless.part();
    while began.elapsed() < ENDLESS_FOR {
        client.write_all(&part)?;
        std::thread::sleep(pause);
        // Nothing is due from the peer, so that the end of the stream is its close.
        if !pause.is_zero() && client.read(&mut [0; 64]).is_ok_and(|count| count == 0) {
            return Ok(());
        }
    }
    Ok(())
}

/// Reads a message with a stated length, or without a body; `None` at the end of the stream.
fn read_message(stream: &mut TcpStream, buf: &mut Vec<u8>) -> io::Result<Option<Vec<u8>>> {
    loop {
        if let Some(length) = message_length(buf)
            && buf.len() >= length
        {
            return Ok(Some(buf.drain(..length).collect()));
        }
        let mut part = [0; 8 * 1024];
        let count = stream.read(&mut part)?;
        if count == 0 {
            return Ok(None);
        }
        buf.extend_from_slice(&part[..count]);
    }
}

/// Length of the message at the start of `buf`; `None` if its head is not complete.
fn message_length(buf: &[u8]) -> Option<usize> {
    let end = buf.windows(4).position(|bytes| bytes == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&buf[..end]).to_ascii_lowercase();
    let length = head.lines().find_map(|line| {
        let value = line.strip_prefix("content-length:")?;
        value.trim().parse::<usize>().ok()
    });
    Some(end + length.unwrap_or(0))
}
