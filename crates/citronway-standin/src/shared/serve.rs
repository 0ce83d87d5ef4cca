//! A small HTTP server on a thread of its own.

use std::convert::Infallible;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread::JoinHandle;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::sync::{Notify, oneshot};

/// What a handler answers; `None` closes the connection without an answer.
pub type Answer = Option<Response<Full<Bytes>>>;

/// A server that stops when it is dropped.
#[derive(Debug)]
pub struct Background {
    /// Where it listens.
    pub address: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Background {
    /// Serves on a free port of the loopback address.
    ///
    /// # Errors
    ///
    /// When the port or the thread cannot be had.
    pub fn start<H, F>(handler: H) -> io::Result<Self>
    where
        H: Fn(Request<Bytes>) -> F + Clone + Send + 'static,
        F: Future<Output = Answer> + Send + 'static,
    {
        Self::start_until(handler, Arc::default())
    }

    /// The same until notified: then it ends as a process does that crashes, and leaves its
    /// connections and its port at once.
    ///
    /// # Errors
    ///
    /// When the port or the thread cannot be had.
    pub fn start_until<H, F>(handler: H, crash: Arc<Notify>) -> io::Result<Self>
    where
        H: Fn(Request<Bytes>) -> F + Clone + Send + 'static,
        F: Future<Output = Answer> + Send + 'static,
    {
        let anywhere = SocketAddr::from(([127, 0, 0, 1], 0));
        Self::start_at(anywhere, handler, crash)
    }

    /// The same at an address; port 0 takes a free one.
    ///
    /// # Errors
    ///
    /// When the port or the thread cannot be had.
    pub fn start_at<H, F>(address: SocketAddr, handler: H, crash: Arc<Notify>) -> io::Result<Self>
    where
        H: Fn(Request<Bytes>) -> F + Clone + Send + 'static,
        F: Future<Output = Answer> + Send + 'static,
    {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let (stop, stopped) = oneshot::channel();
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let thread = std::thread::Builder::new().spawn(move || {
            runtime.block_on(async move {
                tokio::select! {
                    () = accept(listener, handler) => {}
                    _ = stopped => {}
                    () = crash.notified() => {}
                }
            });
        })?;
        Ok(Self {
            address,
            stop: Some(stop),
            thread: Some(thread),
        })
    }
}

impl Drop for Background {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            eprintln!("the thread of a stand-in panicked");
        }
    }
}

async fn accept<H, F>(listener: TcpListener, handler: H)
where
    H: Fn(Request<Bytes>) -> F + Clone + Send + 'static,
    F: Future<Output = Answer> + Send + 'static,
{
    let Ok(listener) = tokio::net::TcpListener::from_std(listener) else {
        return;
    };
    while let Ok((stream, _)) = listener.accept().await {
        let handler = handler.clone();
        tokio::spawn(async move {
            let service = service_fn(move |req| whole(handler.clone(), req));
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            // A connection that ends early is part of what is tested.
            let _ = connection.await;
        });
    }
}

async fn whole<H, F>(handler: H, req: Request<Incoming>) -> Result<Response<Full<Bytes>>, Closed>
where
    H: Fn(Request<Bytes>) -> F,
    F: Future<Output = Answer>,
{
    let (head, body) = req.into_parts();
    let body = body.collect().await.map_err(|_cut| Closed)?.to_bytes();
    handler(Request::from_parts(head, body)).await.ok_or(Closed)
}

/// Closes the connection without an answer.
#[derive(Debug, thiserror::Error)]
#[error("closed without an answer")]
struct Closed;

impl From<Infallible> for Closed {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

/// Body of the long answer to a request: each of its lines names the request and its place.
#[must_use]
pub fn long_body(id: &str, bytes: usize) -> String {
    let mut body = String::with_capacity(bytes);
    while body.len() < bytes {
        let line = format!("{id} {}\n", body.len());
        body.push_str(&line);
    }
    body.truncate(bytes);
    body
}
