//! The path of a request: service and path for the endpoint.

use http::Uri;

use super::finding::{Finding, Problem};
use super::percent;

/// Start of every path that names work.
const PREFIX: &str = "/v1/services/";
/// Longest service name, in bytes.
const MAX_SERVICE_BYTES: usize = 128;
/// First part of the paths that control an endpoint.
const CONTROL: &str = "citronway";

/// Service and path for the endpoint.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct Target {
    /// Service, decoded.
    pub service: String,
    /// Path and query for the endpoint, as the caller wrote them.
    pub path: String,
}

/// Takes service and path for the endpoint out of `uri`.
pub(super) fn read(uri: &Uri) -> Result<Target, Finding> {
    let Some(rest) = uri.path().strip_prefix(PREFIX) else {
        return Err(Finding::path(Problem::NotFound));
    };
    let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
    let service = read_service(service).map_err(Finding::path)?;
    check_path(path).map_err(Finding::path)?;
    let query = uri.query().map(|query| format!("?{query}"));
    Ok(Target {
        service,
        path: format!("/{path}{}", query.unwrap_or_default()),
    })
}

fn read_service(text: &str) -> Result<String, Problem> {
    let service = decode(text)?;
    if service.is_empty() {
        return Err(Problem::NotFound);
    }
    if service.len() > MAX_SERVICE_BYTES {
        return Err(Problem::TooLong {
            limit: MAX_SERVICE_BYTES,
        });
    }
    Ok(service)
}

/// Failure guarded against: a caller sends an endpoint a grant or a
/// cancellation as if it were work. It shows as an endpoint that serves keys it
/// does not own. The guard holds because no path that an endpoint could read as
/// one under `/citronway/` is passed on, however it is written.
fn check_path(path: &str) -> Result<(), Problem> {
    let path = decode(path)?;
    let mut first = None;
    for part in path.split(['/', '\\']) {
        if part == ".." {
            return Err(Problem::Reserved);
        }
        if part.is_empty() || part == "." {
            continue;
        }
        first = first.or(Some(part));
    }
    match first {
        Some(part) if part.eq_ignore_ascii_case(CONTROL) => Err(Problem::Reserved),
        _ => Ok(()),
    }
}

fn decode(text: &str) -> Result<String, Problem> {
    percent::decode(text.as_bytes()).map_err(|cause| Problem::BadEncoding { cause })
}
