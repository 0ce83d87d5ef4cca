//! Names and numbers that identify things.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use uuid::Uuid;

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Takes the text as it is; it is checked where it enters.
            #[must_use]
            pub fn new(text: &str) -> Self {
                Self(Arc::from(text))
            }

            /// The name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self::new(text)
            }
        }
    };
}

macro_rules! number {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize,
            Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// The number that follows.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    };
}

name! {
    /// A service that callers send work to.
    ServiceName
}
name! {
    /// A group of endpoints that divide the keys of a service among them.
    GroupName
}
name! {
    /// A server that holds state for the keys it owns.
    EndpointName
}
name! {
    /// An entry instance, as its settings and the instance list name it.
    InstanceName
}
name! {
    /// An availability zone.
    ZoneName
}
name! {
    /// A class of work, such as `interactive` or `batch`.
    ClassName
}
name! {
    /// What a request is for; the endpoint that owns it is the only one to run it.
    Key
}

number! {
    /// Grows with every change of an owner or a dispatcher; the lower one is void.
    Epoch
}
number! {
    /// Version of a stored row or of the configuration; never goes back.
    Version
}
number! {
    /// Number of a shard within its service; never used again.
    ShardId
}
number! {
    /// Random number that one process start draws for itself.
    SessionId
}

/// One start of an endpoint.
///
/// An endpoint may start again under the name that it had. The new start holds and
/// remembers nothing: whatever was granted to an earlier one, or learnt of it, is void.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointStart {
    name: EndpointName,
    born_ms: Option<u64>,
}

impl EndpointStart {
    /// The start of `name` at `born_ms` of its clock, as a Unix time in milliseconds; none
    /// where it does not say.
    #[must_use]
    pub fn new(name: &str, born_ms: Option<u64>) -> Self {
        let name = EndpointName::new(name);
        Self { name, born_ms }
    }

    /// The name, which other starts may share.
    #[must_use]
    pub const fn name(&self) -> &EndpointName {
        &self.name
    }

    /// When it started by its own clock, in Unix milliseconds, if it says so.
    #[must_use]
    pub const fn born_ms(&self) -> Option<u64> {
        self.born_ms
    }
}

impl fmt::Display for EndpointStart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.born_ms {
            Some(born_ms) => write!(f, "{}@{born_ms}", self.name),
            None => self.name.fmt(f),
        }
    }
}

/// One start of a process on an instance.
///
/// A process that starts again under the same name is another session and
/// holds nothing of the old one.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Session {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Which start of it.
    pub id: SessionId,
}

impl Session {
    /// Names the start `id` of `instance`.
    #[must_use]
    pub fn new(instance: &str, id: u64) -> Self {
        Self {
            instance: InstanceName::new(instance),
            id: SessionId(id),
        }
    }
}

impl fmt::Display for Session {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{:x}", self.instance, self.id.0)
    }
}

/// Identity of a request: the caller's `Idempotency-Key`, or one the entry draws.
///
/// A UUID of version 7, which holds its time of creation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestId(pub Uuid);

impl RequestId {
    /// When the request was created, or `None` if the UUID does not tell.
    #[must_use]
    pub fn created(&self) -> Option<crate::time::Wall> {
        if self.0.get_version_num() != 7 {
            return None;
        }
        let (secs, nanos) = self.0.get_timestamp()?.to_unix();
        Some(crate::time::Wall(
            secs * 1000 + u64::from(nanos) / 1_000_000,
        ))
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
