//! An HTTP server on a thread of its own, stopped when dropped.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::BodyExt;
use http_body_util::combinators::BoxBody;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Builder;
use tokio::sync::oneshot;

use super::reply::{CutShort, Dropped, Reply};

/// Answers the requests of a server.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request, whose body has arrived complete.
    ///
    /// Runs to its end also if the client hangs up, so that an order which was
    /// taken in is worked on as a real server would.
    fn handle(self: Arc<Self>, req: Request<Bytes>) -> impl Future<Output = Reply> + Send;
}

/// A running server.
#[derive(Debug)]
pub struct Server {
    addr: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Server {
    /// Listens on `listen` (port 0 picks a free one) and serves until dropped.
    ///
    /// # Errors
    ///
    /// If the address cannot be listened on or no thread can be started.
    pub fn start<H: Handler>(listen: SocketAddr, handler: Arc<H>) -> io::Result<Self> {
        let listener = std::net::TcpListener::bind(listen)?;
        listener.set_nonblocking(true)?;
        let addr = listener.local_addr()?;
        let (stop, stopped) = oneshot::channel();
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let thread = std::thread::Builder::new()
            .name("standin".into())
            .spawn(move || runtime.block_on(serve(listener, handler, stopped)))?;
        Ok(Self {
            addr,
            stop: Some(stop),
            thread: Some(thread),
        })
    }

    /// The address it listens on.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            drop(thread.join());
        }
    }
}

async fn serve<H: Handler>(
    listener: std::net::TcpListener,
    handler: Arc<H>,
    mut stopped: oneshot::Receiver<()>,
) {
    let listener = match TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(error) => {
            log::error!("cannot listen: {error}");
            return;
        }
    };
    loop {
        let accepted = tokio::select! {
            _ = &mut stopped => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => drop(tokio::spawn(connection(stream, Arc::clone(&handler)))),
            Err(error) => log::warn!("accept failed: {error}"),
        }
    }
}

async fn connection<H: Handler>(stream: TcpStream, handler: Arc<H>) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("no TCP_NODELAY: {error}");
    }
    let service = service_fn(move |req| answer(Arc::clone(&handler), req));
    let served = hyper::server::conn::http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(error) = served {
        log::debug!("connection ended: {error}");
    }
}

async fn answer<H: Handler>(
    handler: Arc<H>,
    req: Request<Incoming>,
) -> Result<Response<BoxBody<Bytes, CutShort>>, Dropped> {
    // A task of its own: the work goes on when the client hangs up and hyper
    // drops this future.
    let work = tokio::spawn(async move {
        let (parts, body) = req.into_parts();
        match body.collect().await {
            Ok(body) => {
                handler
                    .handle(Request::from_parts(parts, body.to_bytes()))
                    .await
            }
            Err(_cut) => Reply::Dropped,
        }
    });
    work.await.map_or(Err(Dropped), Reply::into_response)
}
