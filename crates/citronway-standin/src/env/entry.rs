//! An entry process.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request};

use super::admin::Admin;
use super::child::Child;
use super::error::EnvError;
use super::settings::EntrySettings;
use crate::http::Client;

const HEALTH_TIMEOUT: Duration = Duration::from_secs(1);

/// An entry process with its addresses.
#[derive(Debug)]
pub struct Entry {
    settings: EntrySettings,
    client: Client,
    /// The process, for signals.
    pub child: Child,
}

impl Entry {
    pub(super) const fn new(settings: EntrySettings, client: Client, child: Child) -> Self {
        Self {
            settings,
            client,
            child,
        }
    }

    /// What it was told.
    #[must_use]
    pub const fn settings(&self) -> &EntrySettings {
        &self.settings
    }

    /// Where it takes callers' requests.
    #[must_use]
    pub const fn callers(&self) -> SocketAddr {
        self.settings.callers
    }

    /// Its administration API.
    #[must_use]
    pub fn admin(&self) -> Admin {
        Admin::new(
            self.settings.operators,
            &self.settings.token,
            self.client.clone(),
        )
    }

    /// Whether it takes work, by its own word.
    pub async fn is_healthy(&self) -> bool {
        let uri = format!("http://{}/healthz", self.callers());
        let Ok(req) = Request::builder()
            .method(Method::GET)
            .uri(uri)
            .body(Bytes::new())
        else {
            return false;
        };
        let answer = self.client.send(req, HEALTH_TIMEOUT).await;
        answer.is_ok_and(|rsp| rsp.status().is_success())
    }

    /// Asks it to shut down and waits until it has ended.
    ///
    /// # Errors
    ///
    /// If it does not end.
    pub async fn shut_down(&mut self) -> Result<(), EnvError> {
        self.child.terminate()?;
        super::wait("entry shuts down", async || self.child.exited().is_some()).await
    }
}
