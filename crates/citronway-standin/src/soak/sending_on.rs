//! Callers that read slowly and send on behind answers that they have not read.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use tokio::io::AsyncWriteExt as _;
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::watch;

use super::callers::{Caller, Cut, KEYS, Kind, PATIENCE, Told, Was};
use super::exchange::{is_open, read_more, take_answer};

/// Receive buffer of a slow caller, in bytes.
const NARROW: u32 = 4_096;

/// Most bytes that are read at once.
const STEP: u64 = 4_096;

/// Longest pause between two reads, in milliseconds.
const PAUSE_MS: u64 = 25;

/// Most requests that are sent at once.
const ROW: usize = 3;

/// Reads after which more is sent, at most.
const READS: usize = 30;

/// Time for which a caller looks for bytes behind an answer that says close.
const LOOK: Duration = Duration::from_millis(200);

/// Half of the head of a request.
const PART_OF_HEAD: &str = "GET /status/1 HTTP/1.1\r\nhost: h.exam";

/// What a caller sends before it has read the answers that it waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Behind {
    Nothing,
    Request,
    PartOfHead,
}

/// A request and what is known of its end.
struct Asked {
    id: String,
    kind: Kind,
    sent: Instant,
    end: Option<(Instant, Was)>,
}

/// How a caller goes about one row.
struct Manner {
    pause: Duration,
    behind: Behind,
    /// Reads before it sends what comes behind.
    reads: usize,
}

/// One row of requests on a connection.
struct Row {
    stream: TcpStream,
    instance: usize,
    asked: Vec<Asked>,
    /// Answers, or ends, so far.
    ended: usize,
    /// Takes further requests.
    is_usable: bool,
    /// A request could not be sent.
    is_reset: bool,
    /// The last answer said that the connection closes.
    said_close: bool,
}

impl Caller {
    /// Sends rows, reads slowly or quickly, and sends on, until told to stop.
    pub(super) async fn send_on(mut self, seed: u64, stop: watch::Receiver<bool>) -> Vec<Told> {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut told = Vec::new();
        let mut rows = 0_usize;
        while !*stop.borrow() {
            let to = rng.random_range(0..self.instances.len());
            let manner = Manner {
                pause: Duration::from_millis(rng.random_range(0..PAUSE_MS)),
                behind: [Behind::Nothing, Behind::Request, Behind::PartOfHead]
                    [rng.random_range(0..3)],
                reads: rng.random_range(0..READS),
            };
            let length = rng.random_range(1..=ROW);
            let name = format!("on-{seed:x}-{rows}");
            rows += 1;
            let Some(stream) = self.narrow_connection(to).await else {
                tokio::time::sleep(manner.pause).await;
                continue;
            };
            let mut row = Row::new(stream, to);
            for n in 0..length {
                row.send(draw(&mut rng, n), format!("{name}-{n}")).await;
            }
            row.read(&manner, &name, draw(&mut rng, 1)).await;
            row.send_behind_close(&name).await;
            told.extend(self.close_row(row));
        }
        self.settle(&mut told);
        told
    }

    async fn narrow_connection(&mut self, instance: usize) -> Option<TcpStream> {
        let open = self.open.swap_remove(&instance);
        if let Some(stream) = open.filter(is_open) {
            return Some(stream);
        }
        connect_narrow(self.instances[instance]).await.ok()
    }

    /// Keeps the connection, and tells how the requests ended.
    fn close_row(&mut self, row: Row) -> Vec<Told> {
        let is_cut = row
            .asked
            .iter()
            .any(|asked| matches!(asked.end, Some((_, Was::Cut(_)))));
        if row.is_usable {
            self.open.insert(row.instance, row.stream);
        } else if is_cut {
            let ids = row.asked.iter().map(|asked| asked.id.clone()).collect();
            self.ended.push((ids, row.stream));
        }
        let instance = row.instance;
        let told = row.asked.into_iter().map(|asked| {
            // What stands behind the last answer was not read.
            let unread = (Instant::now(), Was::Cut(Cut::Unread));
            let (ended, was) = asked.end.unwrap_or(unread);
            Told {
                id: asked.id,
                kind: asked.kind,
                instance,
                is_slow: true,
                sent: asked.sent,
                ended,
                was,
            }
        });
        told.collect()
    }
}

impl Row {
    const fn new(stream: TcpStream, instance: usize) -> Self {
        Self {
            stream,
            instance,
            asked: Vec::new(),
            ended: 0,
            is_usable: true,
            is_reset: false,
            said_close: false,
        }
    }

    async fn send(&mut self, (kind, key): (Kind, u16), id: String) {
        let req = kind.request(self.instance, key, &id);
        let sent = Instant::now();
        // A caller that cannot send still reads what was sent to it before.
        let is_sent = self.stream.write_all(req.as_bytes()).await.is_ok();
        self.is_reset |= !is_sent;
        self.is_usable &= is_sent;
        self.asked.push(Asked {
            id,
            kind,
            sent,
            end: None,
        });
    }

    /// Reads the answers to all that was sent, or up to the last that there is.
    async fn read(&mut self, manner: &Manner, name: &str, behind: (Kind, u16)) {
        let mut got = Vec::new();
        let mut reads = 0;
        while self.ended < self.asked.len() {
            match take_answer(&mut got) {
                Ok(Some(answer)) => {
                    self.said_close = answer.is_last;
                    self.is_usable &= !answer.is_last;
                    self.end(Was::Answered {
                        status: answer.status,
                        body: answer.body,
                    });
                    if self.said_close {
                        break;
                    }
                    continue;
                }
                Ok(None) => {}
                Err(cut) => return self.cut(cut),
            }
            if reads == manner.reads {
                self.send_on(manner.behind, name, behind).await;
            }
            reads += 1;
            tokio::time::sleep(manner.pause).await;
            let read = read_more(&mut self.stream, &mut got, STEP);
            let read = tokio::time::timeout(PATIENCE, read).await;
            if let Err(cut) = read.unwrap_or(Err(Cut::Open)) {
                return self.cut(cut);
            }
        }
        // A part of a head may have an answer of its own.
        let has_part = manner.behind == Behind::PartOfHead && reads > manner.reads;
        if !got.is_empty() && (self.said_close || !has_part) {
            self.is_usable = false;
            self.ended -= 1;
            self.end(Was::Cut(Cut::Wrong));
        }
    }

    async fn send_on(&mut self, behind: Behind, name: &str, req: (Kind, u16)) {
        match behind {
            Behind::Nothing => {}
            Behind::Request => self.send(req, format!("{name}-behind")).await,
            Behind::PartOfHead => {
                self.is_usable = false;
                let _ = self.stream.write_all(PART_OF_HEAD.as_bytes()).await;
            }
        }
    }

    /// Sends work behind an answer that said close, and looks whether something comes back.
    async fn send_behind_close(&mut self, name: &str) {
        if !self.said_close {
            return;
        }
        self.send((Kind::Order, 0), format!("{name}-after")).await;
        let mut got = Vec::new();
        let look = read_more(&mut self.stream, &mut got, STEP);
        if let Ok(Ok(())) = tokio::time::timeout(LOOK, look).await {
            self.end(Was::Cut(Cut::Wrong));
        }
    }

    fn end(&mut self, was: Was) {
        self.asked[self.ended].end = Some((Instant::now(), was));
        self.ended += 1;
    }

    fn cut(&mut self, cut: Cut) {
        // The reset was seen when a request could not be sent, and the end after it says nothing.
        let cut = match cut {
            Cut::Read if self.is_reset => Cut::Unread,
            cut => cut,
        };
        self.is_usable = false;
        self.end(Was::Cut(cut));
    }
}

/// Connects with a small receive buffer.
async fn connect_narrow(address: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.set_recv_buffer_size(NARROW)?;
    socket.connect(address).await
}

/// The first of a row has a long answer, and so has every other one behind it.
fn draw(rng: &mut StdRng, n: usize) -> (Kind, u16) {
    let key = KEYS[rng.random_range(0..KEYS.len())];
    let kind = Kind::ALL[rng.random_range(0..Kind::USUAL)];
    let is_long = n == 0 || rng.random_range(0..2) == 0;
    (if is_long { Kind::Bulk } else { kind }, key)
}
