//! What callers were told, held against what endpoints ran.

use std::fmt;
use std::time::Duration;

use indexmap::IndexMap;

use super::callers::{BULK, Cut, Kind, Told, Was};
use super::instance::Excuse;
use crate::shared::{Ran, Repeats, long_body};

/// Characters that are shown of a body.
const SHOWN: usize = 200;

/// A promise that was broken.
#[derive(Debug, Clone, PartialEq)]
pub enum Violation {
    /// Work that may not be repeated ran more than once.
    Twice {
        /// Id of the request.
        id: String,
        /// How often.
        times: usize,
    },
    /// A caller was told that its request had not run, and it had.
    Denied {
        /// Id of the request.
        id: String,
        /// What it was told.
        status: u16,
    },
    /// An instance took a whole request and ended its connection without a whole answer.
    Unanswered {
        /// Id of the request.
        id: String,
        /// Which instance.
        instance: usize,
        /// How it ended.
        cut: Cut,
    },
    /// A process that was told to stop does not end.
    Endless,
    /// A caller got an answer that is not that of its own request.
    Mixed {
        /// Id of the request.
        id: String,
        /// What came.
        body: String,
    },
    /// A caller got a success of a request that nobody ran.
    Invented {
        /// Id of the request.
        id: String,
    },
    /// Two living endpoints held a key at the same time.
    TwoOwners {
        /// The key.
        key: u16,
        /// Who held it.
        owners: Vec<String>,
    },
    /// Harmful work was begun again and again by a healthy fleet, after it had crashed three
    /// endpoints.
    SentOn {
        /// How often, of how many tries.
        times: usize,
        /// Tries.
        tries: usize,
    },
    /// An endpoint got more than it stated from instances that it had told.
    OverLimit {
        /// Requests in a window.
        got: usize,
        /// Requests that its limit allows.
        allowed: u32,
    },
    /// An endpoint got a request too late after it had told the sender that it leaves.
    SentToLeaving {
        /// Instance that sent it.
        instance: String,
        /// Time since it was told.
        after: Duration,
    },
    /// An endpoint that had asked an instance for rest got requests of it.
    RestBroken {
        /// Instance that sent them.
        instance: String,
        /// How many.
        got: usize,
    },
    /// All instances together sent requests again more often than their limit allows.
    Repeated(Repeats),
    /// A key or a service was not served after all faults had ended.
    Unserved {
        /// What was asked for.
        what: String,
    },
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Twice { id, times } => write!(f, "{id} ran {times} times"),
            Self::Denied { id, status } => write!(f, "{id} was told {status} and ran"),
            Self::Unanswered { id, instance, cut } => {
                write!(f, "{id} had no answer from instance {instance}: {cut}")
            }
            Self::Endless => write!(f, "an instance that was told to stop does not end"),
            Self::Mixed { id, body } => write!(f, "{id} was answered {body:?}"),
            Self::Invented { id } => write!(f, "{id} succeeded and ran nowhere"),
            Self::TwoOwners { key, owners } => write!(f, "key {key} was held by {owners:?}"),
            Self::SentOn { times, tries } => {
                write!(f, "harmful work was begun {times} times in {tries} tries")
            }
            Self::OverLimit { got, allowed } => {
                write!(
                    f,
                    "an endpoint got {got} requests where its limit allows {allowed}"
                )
            }
            Self::SentToLeaving { instance, after } => {
                write!(
                    f,
                    "instance {instance} sent to a leaving endpoint {after:?} after it was told"
                )
            }
            Self::RestBroken { instance, got } => write!(
                f,
                "instance {instance} sent {got} requests to an endpoint in its rest"
            ),
            Self::Repeated(Repeats {
                service,
                got,
                allowed,
            }) => write!(
                f,
                "{service} got {got} requests once more in a window where {allowed:.0} are allowed"
            ),
            Self::Unserved { what } => write!(f, "{what} is not served"),
        }
    }
}

/// Broken promises, by all that callers were told and endpoints ran, and by when
/// instances were killed.
#[must_use]
pub fn check(told: &[Told], ran: &[Ran], excuses: &[Excuse]) -> Vec<Violation> {
    let mut times = IndexMap::<&str, usize>::new();
    for run in ran {
        *times.entry(run.id.as_str()).or_default() += 1;
    }
    let mut found = Vec::new();
    for told in told {
        let times = times.get(told.id.as_str()).copied().unwrap_or_default();
        found.extend(broken(told, times));
        found.extend(unanswered(told, times, excuses));
    }
    found
}

fn broken(told: &Told, times: usize) -> Option<Violation> {
    let id = told.id.clone();
    if !told.kind.may_repeat() && times > 1 {
        return Some(Violation::Twice { id, times });
    }
    match &told.was {
        Was::Answered { status, .. } if (408..=429).contains(status) && times > 0 => {
            Some(Violation::Denied {
                id,
                status: *status,
            })
        }
        // Work that may be repeated may have run before another try was refused.
        Was::Answered { status: 503, .. } if times > 0 && !told.kind.may_repeat() => {
            Some(Violation::Denied { id, status: 503 })
        }
        Was::Answered { status: 200, body } if !is_of(told, body) => {
            let body = body.chars().take(SHOWN).collect();
            Some(Violation::Mixed { id, body })
        }
        Was::Answered { status: 200, .. } if times == 0 => Some(Violation::Invented { id }),
        Was::Answered { .. } | Was::Cut(_) | Was::Left => None,
    }
}

/// Whether a body belongs to a request.
fn is_of(told: &Told, body: &str) -> bool {
    match told.kind {
        Kind::Bulk => body == long_body(&told.id, BULK.1),
        Kind::Look
        | Kind::Apply
        | Kind::Status
        | Kind::Order
        | Kind::LongStatus
        | Kind::LongOrder
        | Kind::Harmful => body.ends_with(&told.id),
    }
}

/// A connection may end between two requests at any time: one of which no byte was read is
/// its caller's to send again. For those that were read see [`Excuse`].
fn unanswered(told: &Told, times: usize, excuses: &[Excuse]) -> Option<Violation> {
    let Was::Cut(cut) = told.was else { return None };
    let is_excused = excuses
        .iter()
        .filter(|excuse| excuse.instance == told.instance)
        .filter(|excuse| told.is_slow || !excuse.is_grace)
        .any(|excuse| excuse.touches(told.sent, told.ended));
    if (is_excused && cut != Cut::Wrong) || (cut == Cut::Unread && times == 0) {
        return None;
    }
    Some(Violation::Unanswered {
        id: told.id.clone(),
        instance: told.instance,
        cut,
    })
}
