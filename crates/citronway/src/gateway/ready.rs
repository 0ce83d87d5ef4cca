//! Serves the balancer's readiness check and the metrics.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::AbortHandle;

use super::lingering::Lingering;
use super::metrics::Metrics;
use crate::clock;
use crate::metrics::MEDIA_TYPE;

/// Most connections to one internal port. Callers need the descriptors.
const MAX_CONNECTIONS: usize = 64;

/// Whether the balancer may send callers to this instance.
#[derive(Debug, Clone, Default)]
pub struct Ready(Arc<AtomicBool>);

impl Ready {
    /// Sets the flag; returns whether it changed.
    #[must_use]
    pub fn set(&self, ready: bool) -> bool {
        self.0.swap(ready, Ordering::Relaxed) != ready
    }

    /// Current value of the flag.
    #[must_use]
    pub fn get(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// Answers readiness checks on `listener` until the task is dropped.
pub async fn serve(listener: TcpListener, ready: Ready) {
    serve_with(listener, move |req| readiness_answer(req, &ready)).await;
}

/// Serves metrics on `listener` until the task is dropped.
pub async fn serve_metrics(listener: TcpListener, metrics: Metrics) {
    serve_with(listener, move |_req| metrics_answer(&metrics)).await;
}

fn metrics_answer(metrics: &Metrics) -> Response<Full<Bytes>> {
    match metrics.render() {
        Ok(text) => {
            let mut answer = Response::new(Full::new(Bytes::from(text)));
            let kind = HeaderValue::from_static(MEDIA_TYPE);
            answer.headers_mut().insert(CONTENT_TYPE, kind);
            answer
        }
        Err(e) => {
            log::error!(cause = e.to_string(); "metrics cannot be rendered");
            let mut answer = Response::new(Full::default());
            *answer.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
            answer
        }
    }
}

/// A connection in use.
#[derive(Debug)]
struct Open {
    /// Time of its last request, or of its start.
    used_at: Arc<AtomicU64>,
    task: AbortHandle,
}

/// Makes room for one more connection: the one that was not used for longest ends.
fn make_room(open: &mut Vec<Open>) {
    open.retain(|open| !open.task.is_finished());
    if open.len() < MAX_CONNECTIONS {
        return;
    }
    let used_at = |(_, open): &(usize, &Open)| open.used_at.load(Ordering::Relaxed);
    let Some((oldest, _)) = open.iter().enumerate().min_by_key(used_at) else {
        return;
    };
    open.remove(oldest).task.abort();
}

async fn serve_with<H>(listener: TcpListener, handler: H)
where
    H: Fn(&Request<Incoming>) -> Response<Full<Bytes>> + Clone + Send + 'static,
{
    let mut open = Vec::new();
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                log::warn!(cause = e.to_string(); "failed to accept an internal connection");
                tokio::time::sleep(super::traffic::ACCEPT_PAUSE).await;
                continue;
            }
        };
        make_room(&mut open);
        let used_at = Arc::new(AtomicU64::new(clock::mono().0));
        let task = tokio::spawn(serve_one(stream, Arc::clone(&used_at), handler.clone()));
        open.push(Open {
            used_at,
            task: task.abort_handle(),
        });
    }
}

async fn serve_one<H>(stream: TcpStream, used_at: Arc<AtomicU64>, handler: H)
where
    H: Fn(&Request<Incoming>) -> Response<Full<Bytes>>,
{
    let service = service_fn(move |req| {
        used_at.store(clock::mono().0, Ordering::Relaxed);
        let answer = handler(&req);
        async { Ok::<_, Infallible>(answer) }
    });
    let stream = TokioIo::new(Lingering::new(stream));
    if let Err(e) = http1::Builder::new()
        .serve_connection(stream, service)
        .await
    {
        log::debug!(cause = e.to_string(); "internal connection ended");
    }
}

fn readiness_answer(req: &Request<Incoming>, ready: &Ready) -> Response<Full<Bytes>> {
    let status =
        if !citronway_platform::exchange::is_readiness_check(req.method(), req.uri().path()) {
            StatusCode::NOT_FOUND
        } else if ready.get() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
    let mut answer = Response::new(Full::default());
    *answer.status_mut() = status;
    answer
}

/// Binds a listening socket.
///
/// # Errors
///
/// When the address is in use or does not belong to this machine.
pub async fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    TcpListener::bind(address).await
}
