//! Accepts callers' connections and serves them until shutdown.

use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::sleep;
use viz::{Responder, Router, Tree};

use super::config::CallersConfig;
use super::stall::StallGuard;

/// Pause after a connection could not be accepted, for want of file handles say.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Largest head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Serves `router` until `stop` is set, then finishes what is in progress.
pub(super) async fn run(
    cfg: &CallersConfig,
    listener: TcpListener,
    router: Router,
    stop: watch::Receiver<bool>,
) {
    let server = Arc::new(Server {
        tree: Arc::new(Tree::from(router)),
        http: http(cfg),
        write_timeout: cfg.write_timeout(),
    });
    let mut conns = JoinSet::new();
    let mut stopping = pin!(stopped(stop.clone()));
    loop {
        tokio::select! {
            () = stopping.as_mut() => break,
            Some(_) = conns.join_next() => {}
            accepted = listener.accept(), if conns.len() < cfg.max_connections => match accepted {
                Ok((stream, from)) => {
                    conns.spawn(Arc::clone(&server).serve(stream, from, stop.clone()));
                }
                Err(err) => {
                    log::warn!(error:% = err; "connection not accepted");
                    sleep(ACCEPT_PAUSE).await;
                }
            },
        }
    }
    drop(listener);
    while conns.join_next().await.is_some() {}
}

fn http(cfg: &CallersConfig) -> http1::Builder {
    let mut http = http1::Builder::new();
    http.timer(TokioTimer::new())
        .header_read_timeout(cfg.header_timeout())
        .max_buf_size(MAX_HEAD_BYTES);
    http
}

struct Server {
    tree: Arc<Tree>,
    http: http1::Builder,
    write_timeout: Duration,
}

impl Server {
    async fn serve(
        self: Arc<Self>,
        stream: TcpStream,
        from: SocketAddr,
        stop: watch::Receiver<bool>,
    ) {
        if let Err(err) = stream.set_nodelay(true) {
            log::debug!(error:% = err; "connection keeps delaying small writes");
        }
        let io = TokioIo::new(StallGuard::new(stream, self.write_timeout));
        let responder = Responder::new(Arc::clone(&self.tree), Some(from));
        let mut conn = pin!(self.http.serve_connection(io, responder));
        let result = tokio::select! {
            result = conn.as_mut() => result,
            () = stopped(stop) => {
                conn.as_mut().graceful_shutdown();
                conn.await
            }
        };
        if let Err(err) = result {
            log::debug!(error:% = err; "connection of a caller ended early");
        }
    }
}

// Also when the other end is gone, since nobody could stop the duty any more.
async fn stopped(mut stop: watch::Receiver<bool>) {
    let _ = stop.wait_for(|stop| *stop).await;
}
