//! Waits until a version is in force everywhere.

use std::time::{Duration, Instant};

use tokio::time::sleep;

use citronway::operators::answers::{InstanceVersion, VersionAnswer};
use citronway_core::ids::Version;

use crate::client::Client;
use crate::failure::Failure;

const POLL: Duration = Duration::from_millis(200);

/// Asks until every instance that is to serve has `version`; looks at least once.
///
/// # Errors
///
/// When it does not happen within `seconds`, or the instance cannot be asked.
pub async fn in_force(client: &Client, version: Version, seconds: u64) -> Result<(), Failure> {
    let begin = Instant::now();
    let limit = Duration::from_secs(seconds);
    loop {
        // The change is accepted whatever happens here, so an instance that
        // cannot be asked now is "not in force", not "cannot reach".
        let behind = match client.get::<VersionAnswer>("/admin/v1/version").await {
            Ok(answer) if answer.is_in_force(version) => return Ok(()),
            Ok(answer) => list(&answer.behind(version)),
            Err(failure) => failure.to_string(),
        };
        if begin.elapsed() >= limit {
            return Err(Failure::NotInForce {
                version,
                seconds,
                behind,
            });
        }
        sleep(POLL).await;
    }
}

fn list(behind: &[&InstanceVersion]) -> String {
    let mut texts = Vec::new();
    for instance in behind {
        let name = &instance.session.instance;
        texts.push(match instance.version {
            Some(version) => format!("{name} (version {version})"),
            None => format!("{name} (not heard)"),
        });
    }
    texts.join(", ")
}
