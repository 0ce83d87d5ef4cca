//! Administration API: queries, commands, metrics and health over HTTP.
//!
//! It runs on one thread of its own. It reads the state that the deciding
//! thread publishes and changes the configuration through the platform's
//! thread; it decides nothing itself.

pub mod answers;
pub mod commands;
pub mod queries;
pub mod snapshot;
pub mod store;

mod auth;
mod cx;
mod history;
mod http;
mod refusal;
mod settle;

use std::io;
use std::net::TcpListener;
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use hyper_util::rt::{TokioExecutor, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use tokio_util::sync::CancellationToken;

pub use auth::Token;
pub use cx::{Cx, Setup};
pub use history::{History, MAX_VERSIONS};
pub use http::MAX_BODY_BYTES;
pub use refusal::{Conflict, Fate, Refusal};
pub use settle::{Patience, Settled, settle};
pub use snapshot::{Published, Publisher, Snapshot};
pub use store::{ReadFailed, StoreCommand};

const THREAD_NAME: &str = "operators";

/// Longest wait for the headers of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(5);

/// Starts the thread of the administration API; it ends after `stop`.
///
/// # Errors
///
/// When the thread or its runtime cannot be started.
pub fn spawn(
    listener: TcpListener,
    setup: Setup,
    stop: CancellationToken,
) -> io::Result<JoinHandle<io::Result<()>>> {
    listener.set_nonblocking(true)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    thread::Builder::new()
        .name(THREAD_NAME.to_owned())
        .spawn(move || {
            runtime.block_on(async {
                let listener = tokio::net::TcpListener::from_std(listener)?;
                serve(listener, setup, stop).await
            })
        })
}

/// Serves the administration API until `stop`; requests in flight are finished.
///
/// # Errors
///
/// When the listener fails for good.
pub async fn serve(
    listener: tokio::net::TcpListener,
    setup: Setup,
    stop: CancellationToken,
) -> io::Result<()> {
    let cx = Arc::new(Cx::new(setup));
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT);
    let server = viz::Server::with_builder(listener, http::router(&cx), builder)
        .signal(stop.clone().cancelled_owned());
    let follower = Arc::clone(&cx);
    let follow = stop.run_until_cancelled_owned(async move { follower.follow().await });
    let (served, _) = tokio::join!(server, follow);
    served
}
