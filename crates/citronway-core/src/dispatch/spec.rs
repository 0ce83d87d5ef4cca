//! Initial state of a dispatcher, and its builder.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::machine::Dispatcher;
use super::settings::DispatchSettings;
use crate::config::{Class, Endpoint};
use crate::ids::{ClassName, EndpointName, Epoch, Session};
use crate::node::events::Ticket;
use crate::peer::KnownRequests;
use crate::time::{Now, Wall};

/// Default of the first ticket that a dispatcher issues.
const FIRST_TICKET: Ticket = 1;

/// Default of [`DispatcherSpec::inherited`]: a predecessor may have left orders
/// or grants.
const fn assumed() -> bool {
    true
}

/// Initial state of a dispatcher.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DispatcherSpec {
    /// Name of the endpoint.
    pub name: EndpointName,
    /// Configuration of the endpoint.
    pub endpoint: Endpoint,
    /// Classes of work.
    pub classes: IndexMap<ClassName, Class>,
    /// Settings of the dispatcher.
    #[serde(default)]
    pub settings: DispatchSettings,
    /// Epoch of the dispatch row.
    pub epoch: Epoch,
    /// Session of the dispatcher in the dispatch row.
    pub session: Session,
    /// A predecessor may have sent request ids created before this.
    pub floor: Wall,
    /// Requests known to a predecessor.
    #[serde(default)]
    pub known: KnownRequests,
    /// Whether a predecessor may have left orders or grants at the endpoint.
    #[serde(default = "assumed")]
    pub inherited: bool,
    /// First ticket that the dispatcher issues.
    pub first_ticket: Ticket,
}

/// Builds a [`Dispatcher`] or its [`DispatcherSpec`].
#[derive(Debug, Clone)]
pub struct DispatcherBuilder(DispatcherSpec);

impl DispatcherBuilder {
    /// Creates a builder with defaults and no classes.
    #[must_use]
    pub fn new(name: &EndpointName, endpoint: &Endpoint) -> Self {
        Self(DispatcherSpec {
            name: name.clone(),
            endpoint: endpoint.clone(),
            classes: IndexMap::new(),
            settings: DispatchSettings::default(),
            epoch: Epoch::default(),
            session: Session::new("", 0),
            floor: Wall(0),
            known: KnownRequests::default(),
            inherited: assumed(),
            first_ticket: FIRST_TICKET,
        })
    }

    /// Sets the classes of work.
    #[must_use]
    pub fn classes(mut self, classes: &IndexMap<ClassName, Class>) -> Self {
        self.0.classes.clone_from(classes);
        self
    }

    /// Sets the settings of the dispatcher.
    #[must_use]
    pub fn settings(mut self, cfg: DispatchSettings) -> Self {
        self.0.settings = cfg;
        self
    }

    /// Sets the epoch of the dispatch row and the session in the row.
    #[must_use]
    pub fn role(mut self, epoch: Epoch, session: &Session) -> Self {
        self.0.epoch = epoch;
        self.0.session = session.clone();
        self
    }

    /// Sets the floor: a predecessor may have sent request ids created before it.
    /// It must lie after the predecessor's last order on any clock, so it must
    /// include the skew bound.
    #[must_use]
    pub const fn floor(mut self, floor: Wall) -> Self {
        self.0.floor = floor;
        self
    }

    /// States that no predecessor has left orders or grants at the endpoint: there
    /// was none, or all its orders had ended before it handed the role over.
    #[must_use]
    pub const fn nothing_inherited(mut self) -> Self {
        self.0.inherited = false;
        self
    }

    /// Sets the requests known to a predecessor.
    #[must_use]
    pub fn known(mut self, known: &KnownRequests) -> Self {
        self.0.known.clone_from(known);
        self
    }

    /// Sets the first ticket that the dispatcher issues; further tickets count up
    /// from it.
    #[must_use]
    pub const fn first_ticket(mut self, ticket: Ticket) -> Self {
        self.0.first_ticket = ticket;
        self
    }

    /// Returns the specification, for a trace.
    #[must_use]
    pub fn spec(self) -> DispatcherSpec {
        self.0
    }

    /// Starts the dispatcher.
    #[must_use]
    pub fn start(self, now: Now) -> Dispatcher {
        Dispatcher::start(self.0, now)
    }
}
