//! Kinds of soaks: which faults are drawn.

/// Instances of a soak, if no other number is asked for.
const INSTANCES: usize = 3;

/// What is played.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "kinds of faults that are added independently of each other"
)]
pub struct Soak {
    /// From which all is drawn.
    pub seed: u64,
    /// Number of instances.
    pub instances: usize,
    /// Besides the other faults, signals come in series that overlap, on several instances
    /// at a time, while endpoints have long work or begin nothing.
    pub signals: bool,
    /// Besides, a caller sends work again and again that crashes the endpoint without keys,
    /// which is back a moment later.
    pub harmful: bool,
    /// Besides, endpoints state limits on the requests of all instances.
    pub limits: bool,
    /// Besides, instances lose their links to all endpoints or to one.
    pub cuts: bool,
    /// Besides, endpoints state that they leave, and end some seconds later.
    pub departures: bool,
    /// Besides, endpoints reject requests and ask for rest.
    pub rests: bool,
    /// Besides, the store comes back from copies of itself.
    pub restores: bool,
    /// Besides, callers send several requests on a connection before they read the answers.
    pub rows: bool,
    /// Besides, all endpoints refuse for seconds, and instances are killed every half second.
    pub refusals: bool,
    /// Besides, endpoints send copies of answers, bytes without end, or answers with broken heads.
    pub wrong_answers: bool,
    /// Besides, instances stop one after the other, beside hang-ups and configurations, while
    /// callers read long answers slowly and send on.
    pub closing: bool,
}

impl Soak {
    /// Faults of a seed, with one signal at a time.
    #[must_use]
    pub const fn of(seed: u64) -> Self {
        Self {
            seed,
            instances: INSTANCES,
            signals: false,
            harmful: false,
            limits: false,
            cuts: false,
            departures: false,
            rests: false,
            restores: false,
            rows: false,
            refusals: false,
            wrong_answers: false,
            closing: false,
        }
    }

    /// The same with signals in series.
    #[must_use]
    pub const fn with_signals(seed: u64) -> Self {
        Self {
            signals: true,
            ..Self::of(seed)
        }
    }

    /// The same with work that crashes endpoints.
    #[must_use]
    pub const fn with_harmful(seed: u64) -> Self {
        Self {
            harmful: true,
            ..Self::with_signals(seed)
        }
    }

    /// Faults of a seed and limits that endpoints state. Instances that are hit by signals are not
    /// bound by limits, so series of them are left out.
    #[must_use]
    pub const fn with_limits(seed: u64) -> Self {
        Self {
            limits: true,
            ..Self::of(seed)
        }
    }

    /// Signals in series and instances that lose their links to endpoints.
    #[must_use]
    pub const fn with_cuts(seed: u64) -> Self {
        Self {
            cuts: true,
            ..Self::with_signals(seed)
        }
    }

    /// Faults of a seed, and endpoints that state that they leave or ask for rest. Instances that are
    /// hit by signals are not bound by that, so series of them are left out.
    #[must_use]
    pub const fn with_departures(seed: u64) -> Self {
        Self {
            departures: true,
            rests: true,
            ..Self::of(seed)
        }
    }

    /// Signals in series and a store that comes back from copies of itself.
    #[must_use]
    pub const fn with_restores(seed: u64) -> Self {
        Self {
            restores: true,
            ..Self::with_signals(seed)
        }
    }

    /// Signals in series, and callers that send rows of requests, read late or leave.
    #[must_use]
    pub const fn with_rows(seed: u64) -> Self {
        Self {
            rows: true,
            ..Self::with_signals(seed)
        }
    }

    /// Endpoints that refuse everything, and instances that are killed one after the other or lose
    /// their links to endpoints.
    #[must_use]
    pub const fn with_refusals(seed: u64) -> Self {
        Self {
            refusals: true,
            ..Self::with_cuts(seed)
        }
    }

    /// Signals in series, and endpoints that send copies of answers, bytes without end or broken heads.
    #[must_use]
    pub const fn with_wrong_answers(seed: u64) -> Self {
        Self {
            wrong_answers: true,
            ..Self::with_signals(seed)
        }
    }

    /// Instances that stop one after the other while callers read slowly and send on.
    #[must_use]
    pub const fn with_closing(seed: u64) -> Self {
        Self {
            closing: true,
            ..Self::of(seed)
        }
    }

    /// Everything at once.
    #[must_use]
    pub const fn with_all(seed: u64) -> Self {
        Self {
            limits: true,
            restores: true,
            rows: true,
            ..Self::with_harmful(seed)
        }
    }
}
