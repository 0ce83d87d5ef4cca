//! A TCP relay before one listener.

use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use super::links::{Direction, State};

const BUF_BYTES: usize = 64 * 1024;

/// Who connects to a relay.
#[derive(Debug, Clone)]
pub(super) enum Connector {
    /// Always this one.
    Known(String),
    /// The one of these whose name is in its greeting.
    Greets(Arc<[String]>),
}

/// A TCP relay before one listener.
#[derive(Debug, Clone)]
pub(super) struct Relay {
    pub(super) to: SocketAddr,
    pub(super) connector: Connector,
    pub(super) listener: String,
}

/// The two ends of one connection.
#[derive(Debug)]
struct Ends {
    relay: Relay,
    connector: OnceLock<String>,
}

#[derive(Debug, Clone, Copy)]
enum Way {
    ToListener,
    ToConnector,
}

impl Relay {
    pub(super) async fn serve(self, listener: TcpListener, state: watch::Receiver<State>) {
        while let Ok((near, _)) = listener.accept().await {
            // A listener that is down refuses; so does the relay, by closing.
            let Ok(far) = TcpStream::connect(self.to).await else {
                continue;
            };
            drop(near.set_nodelay(true));
            drop(far.set_nodelay(true));
            let ends = Arc::new(Ends::new(self.clone()));
            let (near_rx, near_tx) = near.into_split();
            let (far_rx, far_tx) = far.into_split();
            let to_listener = Carrier::new(&ends, Way::ToListener, &state);
            let to_connector = Carrier::new(&ends, Way::ToConnector, &state);
            tokio::spawn(to_listener.carry(near_rx, far_tx));
            tokio::spawn(to_connector.carry(far_rx, near_tx));
        }
    }
}

impl Ends {
    fn new(relay: Relay) -> Self {
        let connector = OnceLock::new();
        if let Connector::Known(name) = &relay.connector {
            connector.get_or_init(|| name.clone());
        }
        Self { relay, connector }
    }

    /// Learns from the greeting who connected.
    fn learn(&self, bytes: &[u8]) {
        let Connector::Greets(names) = &self.relay.connector else {
            return;
        };
        for name in names.iter().filter(|name| **name != self.relay.listener) {
            let needle = name.as_bytes();
            if bytes.windows(needle.len()).any(|part| part == needle) {
                self.connector.get_or_init(|| name.clone());
            }
        }
    }

    fn direction(&self, way: Way) -> Option<Direction> {
        let connector = self.connector.get()?.clone();
        let listener = self.relay.listener.clone();
        Some(match way {
            Way::ToListener => Direction {
                from: connector,
                to: listener,
            },
            Way::ToConnector => Direction {
                from: listener,
                to: connector,
            },
        })
    }
}

/// Carries one way of a connection.
struct Carrier {
    ends: Arc<Ends>,
    way: Way,
    state: watch::Receiver<State>,
    generation: u64,
}

impl Carrier {
    fn new(ends: &Arc<Ends>, way: Way, state: &watch::Receiver<State>) -> Self {
        let generation = state.borrow().generation;
        Self {
            ends: Arc::clone(ends),
            way,
            state: state.clone(),
            generation,
        }
    }

    async fn carry(mut self, mut rx: impl AsyncRead + Unpin, mut tx: impl AsyncWrite + Unpin) {
        let mut buf = vec![0; BUF_BYTES];
        loop {
            let generation = self.generation;
            let read = tokio::select! {
                read = rx.read(&mut buf) => read.unwrap_or(0),
                _ = self.state.wait_for(|state| state.generation > generation) => return,
            };
            if matches!(self.way, Way::ToListener) {
                self.ends.learn(&buf[..read]);
            }
            self.until_open().await;
            if read == 0 || tx.write_all(&buf[..read]).await.is_err() {
                return;
            }
        }
    }

    async fn until_open(&mut self) {
        let direction = self.ends.direction(self.way);
        let generation = self.generation;
        let open = |state: &State| {
            let held = direction
                .as_ref()
                .is_some_and(|way| state.held.contains(way));
            !held || state.generation > generation
        };
        drop(self.state.wait_for(open).await);
    }
}
