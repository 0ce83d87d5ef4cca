//! A TCP relay between two instances that can be cut or frozen.

use std::net::SocketAddr;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// What the relay does with bytes.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Mode {
    Carry,
    Freeze,
    Cut,
}

/// Stands between an instance and the one it connects to.
pub struct Relay {
    pub address: SocketAddr,
    mode: watch::Sender<Mode>,
}

impl Relay {
    pub async fn start(to: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("it is bound");
        let (mode, rx) = watch::channel(Mode::Carry);
        tokio::spawn(accept(listener, to, rx));
        Self { address, mode }
    }

    /// Carries nothing any more and keeps all connections open.
    pub fn freeze(&self) {
        self.mode.send_replace(Mode::Freeze);
    }

    /// Closes all connections, and all that come.
    pub fn cut(&self) {
        self.mode.send_replace(Mode::Cut);
    }
}

async fn accept(listener: TcpListener, to: SocketAddr, mode: watch::Receiver<Mode>) {
    while let Ok((near, _)) = listener.accept().await {
        if *mode.borrow() == Mode::Cut {
            continue;
        }
        let Ok(far) = TcpStream::connect(to).await else {
            continue;
        };
        let (near_rx, near_tx) = near.into_split();
        let (far_rx, far_tx) = far.into_split();
        tokio::spawn(carry(near_rx, far_tx, mode.clone()));
        tokio::spawn(carry(far_rx, near_tx, mode.clone()));
    }
}

async fn carry(
    mut rx: impl AsyncRead + Unpin,
    mut tx: impl AsyncWrite + Unpin,
    mut mode: watch::Receiver<Mode>,
) {
    let mut buf = vec![0; 64 * 1024];
    loop {
        let now = *mode.borrow_and_update();
        match now {
            Mode::Cut => return,
            Mode::Freeze => {
                let Ok(()) = mode.changed().await else { return };
            }
            Mode::Carry => tokio::select! {
                biased;
                changed = mode.changed() => {
                    let Ok(()) = changed else { return };
                }
                read = rx.read(&mut buf) => {
                    let n = read.unwrap_or(0);
                    if n == 0 || tx.write_all(&buf[..n]).await.is_err() {
                        return;
                    }
                }
            },
        }
    }
}
