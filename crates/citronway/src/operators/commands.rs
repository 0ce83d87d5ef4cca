//! Commands: changes of the configuration, written through the platform.
//!
//! A command is accepted once the row of the configuration stands in the store
//! at a new version. That it is in force everywhere is told by
//! [`super::queries::version`].

use std::sync::Arc;

use citronway_core::config::{self, Change, Config, change, check};
use citronway_core::findings::{FindingText, Findings};
use citronway_core::ids::{EndpointName, Version};
use citronway_core::platform::{Row, WriteOutcome};

use super::answers::Accepted;
use super::cx::Cx;
use super::refusal::{Conflict, Fate, Refusal};
use super::settle::{Settled, settle};
use super::store::parse;

/// Most times that a command without a stated version is tried on a newer one.
const MAX_TRIES: u32 = 5;

/// A change on its way into the store.
struct Proposal {
    expected: Version,
    base: Option<Arc<Config>>,
    config: Arc<Config>,
}

/// Replaces the whole configuration, if it is still at `expected`.
///
/// # Errors
///
/// When the configuration is wrong, or was not or may not have been accepted.
pub async fn replace(cx: &Cx, expected: Version, config: Config) -> Result<Accepted, Refusal> {
    let proposal = Proposal {
        expected,
        base: cx.seen(expected),
        config: Arc::new(config),
    };
    accept(cx, proposal).await
}

/// Applies all changes or none, if the configuration is still at `expected`.
///
/// # Errors
///
/// When a change is wrong, or they were not or may not have been accepted.
pub async fn apply(cx: &Cx, expected: Version, changes: &[Change]) -> Result<Accepted, Refusal> {
    let base = match cx.seen(expected) {
        Some(base) => base,
        None => read_base(cx, expected, changes).await?,
    };
    let proposal = Proposal {
        expected,
        config: Arc::new(changed(&base, changes)?),
        base: Some(base),
    };
    accept(cx, proposal).await
}

/// Makes an endpoint leave or come back, whatever else has changed.
///
/// # Errors
///
/// When there is no such endpoint, or the change was not or may not have been
/// accepted.
pub async fn set_drain(cx: &Cx, endpoint: &EndpointName, drain: bool) -> Result<Accepted, Refusal> {
    let changes = [Change::SetDrain {
        name: endpoint.clone(),
        drain,
    }];
    let mut tries = 0;
    loop {
        tries += 1;
        let stored = cx.stored().await?;
        let config = changed(&stored.config, &changes)?;
        if config == *stored.config {
            return Ok(Accepted {
                version: stored.version,
                changed: false,
            });
        }
        let proposal = Proposal {
            expected: stored.version,
            base: Some(stored.config),
            config: Arc::new(config),
        };
        match accept(cx, proposal).await {
            // Nothing of it was written, so it may be tried on the newer version.
            Err(Refusal::Conflict(conflict))
                if conflict.fate == Fate::NotWritten && tries < MAX_TRIES => {}
            result => return result,
        }
    }
}

/// Checks the change whole, writes it once and finds out what became of it.
async fn accept(cx: &Cx, proposal: Proposal) -> Result<Accepted, Refusal> {
    refuse(&check(&proposal.config))?;
    let text = match serde_json::to_string(proposal.config.as_ref()) {
        Ok(text) => text,
        Err(e) => return Err(Refusal::unavailable(&e)),
    };
    match cx.store.write(proposal.expected, text.clone()).await {
        WriteOutcome::Done { versions } => match versions.first() {
            Some(version) => Ok(accepted(cx, *version, &proposal.config)),
            None => resolve(cx, &proposal, &text).await,
        },
        WriteOutcome::Conflict { found, .. } => stands_already(cx, &proposal, &text, found).await,
        WriteOutcome::Refused => Err(Refusal::unavailable(&"the store cannot be asked now")),
        WriteOutcome::Unknown => resolve(cx, &proposal, &text).await,
    }
}

/// The write was refused: by another's change, or by this very one written before.
///
/// Failure: an operator's connection breaks after the change was accepted; the
/// same command is sent again and is refused as a conflict with itself. The row
/// holds the very text that is asked for, so the answer is its version. If a later
/// change has taken its place, the history tells that it stood.
async fn stands_already(
    cx: &Cx,
    proposal: &Proposal,
    text: &str,
    found: Version,
) -> Result<Accepted, Refusal> {
    let row = cx.store.read().await.ok().flatten();
    if let Some(row) = &row
        && row.value == text
    {
        return Ok(accepted(cx, row.version, &proposal.config));
    }
    let fate = match cx.stood_after(proposal.expected, text) {
        Some(_) => Fate::Stood,
        None => Fate::NotWritten,
    };
    Err(conflict(cx, proposal, found, row, fate))
}

/// The answer to the write was lost: asks the row, and never writes again.
async fn resolve(cx: &Cx, proposal: &Proposal, text: &str) -> Result<Accepted, Refusal> {
    cx.metrics.control.writes_unknown.inc();
    log::warn!(version = proposal.expected.0; "no answer to a write of the configuration");
    match settle(&cx.store, proposal.expected, text, cx.patience).await {
        Settled::Stands(version) => Ok(accepted(cx, version, &proposal.config)),
        Settled::Overtaken(row) => Err(overtaken(cx, proposal, text, row)),
        Settled::Open => Err(Refusal::unknown(proposal.expected)),
    }
}

fn overtaken(cx: &Cx, proposal: &Proposal, text: &str, row: Row) -> Refusal {
    let fate = match cx.stood_after(proposal.expected, text) {
        Some(_) => Fate::Stood,
        None => Fate::MayHaveStood,
    };
    let found = row.version;
    log::warn!(version = found.0, fate:% = fate; "a change without answer was overtaken");
    conflict(cx, proposal, found, Some(row), fate)
}

fn accepted(cx: &Cx, version: Version, config: &Arc<Config>) -> Accepted {
    cx.keep(version, config);
    log::info!(version = version.0; "configuration accepted");
    Accepted {
        version,
        changed: true,
    }
}

fn conflict(cx: &Cx, proposal: &Proposal, found: Version, row: Option<Row>, fate: Fate) -> Refusal {
    let current = parse(row).ok().filter(|stored| stored.version >= found);
    let found = current.as_ref().map_or(found, |stored| stored.version);
    let changes = current.map(|stored| {
        cx.keep(stored.version, &stored.config);
        let seen = (proposal.expected, proposal.base.as_deref());
        config::Conflict::new(seen, (found, &stored.config), &proposal.config)
    });
    Refusal::Conflict(Box::new(Conflict {
        expected: proposal.expected,
        found,
        changes,
        fate,
    }))
}

/// Reads the version that changes are based on, or shows what stands instead.
async fn read_base(cx: &Cx, expected: Version, changes: &[Change]) -> Result<Arc<Config>, Refusal> {
    let stored = cx.stored().await?;
    if stored.version == expected {
        return Ok(stored.config);
    }
    let found = (stored.version, stored.config.as_ref());
    let wanted = change(&stored.config, changes).ok();
    Err(Refusal::Conflict(Box::new(Conflict {
        expected,
        found: stored.version,
        changes: wanted.map(|wanted| config::Conflict::new((expected, None), found, &wanted)),
        fate: Fate::NotWritten,
    })))
}

fn changed(base: &Config, changes: &[Change]) -> Result<Config, Refusal> {
    match change(base, changes) {
        Ok(config) => Ok(config),
        Err(findings) => Err(refusal(&findings)),
    }
}

fn refuse(findings: &Findings) -> Result<(), Refusal> {
    if findings.is_empty() {
        return Ok(());
    }
    Err(refusal(findings))
}

fn refusal(findings: &Findings) -> Refusal {
    let mut texts = Vec::new();
    for finding in findings {
        texts.push(FindingText::from(finding.clone()));
    }
    Refusal::Findings { findings: texts }
}
