//! Links between entries, and from entries to the platform, that can be cut in
//! either direction.

use std::sync::Arc;

use indexmap::IndexSet;
use tokio::net::TcpListener;
use tokio::sync::watch;

use super::relay::{Connector, Relay};
use crate::env::{EntrySettings, EnvError};

/// Name of the platform as one end of a link.
pub const PLATFORM: &str = "platform";

/// One direction of a link.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Direction {
    pub(super) from: String,
    pub(super) to: String,
}

/// What is wrong with the links.
#[derive(Debug, Clone, Default)]
pub(super) struct State {
    /// Nothing is carried in these directions.
    pub(super) held: IndexSet<Direction>,
    /// Grows when all connections are to be closed.
    pub(super) generation: u64,
}

/// Links of a deployment; the relays end with the runtime.
#[derive(Debug)]
pub struct Links {
    entries: Arc<[String]>,
    state: watch::Sender<State>,
}

impl Links {
    pub(super) fn new(entries: Vec<String>) -> Self {
        Self {
            entries: entries.into(),
            state: watch::Sender::default(),
        }
    }

    /// Carries nothing from one end to the other; connections stay open, and what
    /// was held is carried after [`Self::heal`], as after a partition.
    pub fn cut_one_way(&self, from: &str, to: &str) {
        self.state.send_modify(|state| {
            state.held.insert(Direction {
                from: from.to_owned(),
                to: to.to_owned(),
            });
        });
    }

    /// Carries nothing from an entry to its peers, nor back.
    pub fn cut_from_peers(&self, entry: &str) {
        for peer in self.entries.iter().filter(|peer| *peer != entry) {
            self.cut_one_way(entry, peer);
            self.cut_one_way(peer, entry);
        }
    }

    /// Carries nothing from an entry to its peers; what they send arrives.
    pub fn cut_to_peers(&self, entry: &str) {
        for peer in self.entries.iter().filter(|peer| *peer != entry) {
            self.cut_one_way(entry, peer);
        }
    }

    /// Carries nothing between an entry and the platform.
    pub fn cut_from_platform(&self, entry: &str) {
        self.cut_one_way(entry, PLATFORM);
        self.cut_one_way(PLATFORM, entry);
    }

    /// Carries everything again, also what was held.
    pub fn heal(&self) {
        self.state.send_modify(|state| state.held.clear());
    }

    /// Closes all connections; new ones are carried.
    pub fn drop_connections(&self) {
        self.state.send_modify(|state| state.generation += 1);
    }

    /// Puts relays before the entry's listener for peers and before its platform.
    pub(super) async fn put_around(&self, settings: &mut EntrySettings) -> Result<(), EnvError> {
        let name = settings.name.to_string();
        let peers = Relay {
            to: settings.peers,
            connector: Connector::Greets(Arc::clone(&self.entries)),
            listener: name.clone(),
        };
        settings.peers_advertise = Some(self.start(peers).await?);
        let platform = Relay {
            to: settings.platform,
            connector: Connector::Known(name),
            listener: PLATFORM.to_owned(),
        };
        settings.platform = self.start(platform).await?;
        Ok(())
    }

    async fn start(&self, relay: Relay) -> Result<std::net::SocketAddr, EnvError> {
        let listener = TcpListener::bind((std::net::Ipv4Addr::LOCALHOST, 0)).await;
        let listener = listener.map_err(EnvError::io("start a relay"))?;
        let address = listener
            .local_addr()
            .map_err(EnvError::io("start a relay"))?;
        tokio::spawn(relay.serve(listener, self.state.subscribe()));
        Ok(address)
    }
}
