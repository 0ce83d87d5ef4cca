//! The head of a request, read and checked.

use citronway_core::ids::{Key, RequestId, ServiceName};
use citronway_core::node::CallerRequest;
use citronway_core::request::{Labels, Repeat};
use citronway_core::time::Wall;
use http::header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderMap};
use http::request::Parts;
use http::{HeaderName, Method};
use uuid::{Uuid, Version};

use super::config::CallersConfig;
use super::finding::{Finding, Place, Problem};
use super::{path, percent};

/// Header with the key of the work, percent-encoded.
pub const KEY: &str = "citronway-key";
/// Header with the identity of the request.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Header that says whether the work may run more than once.
pub const IDEMPOTENT: &str = "citronway-idempotent";
/// Header with the time that the caller will wait.
pub const TIMEOUT_MS: &str = "citronway-timeout-ms";
/// Start of headers with labels.
pub const LABEL_PREFIX: &str = "citronway-label-";
/// Longest key, in bytes after decoding.
pub const MAX_KEY_BYTES: usize = 1024;
/// Longest value of a label, in bytes.
pub const MAX_LABEL_BYTES: usize = 256;
/// Most labels of a request.
pub const MAX_LABELS: usize = 32;

/// Length of a UUID as text with hyphens.
const UUID_CHARS: usize = 36;

/// Reads the head of a request that arrived at `now`; its body is left empty.
///
/// # Errors
///
/// Everything that is wrong with it.
pub(super) fn read(
    cfg: &CallersConfig,
    parts: &Parts,
    now: Wall,
) -> Result<CallerRequest, Vec<Finding>> {
    let mut reader = Reader {
        headers: &parts.headers,
        findings: Vec::new(),
    };
    let target = reader.keep(path::read(&parts.uri));
    let key = reader.key();
    let repeat = reader.repeat(&parts.method);
    let id = reader.id(cfg, repeat, now);
    let timeout_ms = reader.timeout_ms(cfg);
    let labels = reader.labels();
    let content_type = reader.text(CONTENT_TYPE.as_str()).map(str::to_owned);
    reader.method(&parts.method);
    reader.length(cfg);

    let (Some(target), Some(key), Some(id)) = (target, key, id) else {
        return Err(reader.findings);
    };
    if !reader.findings.is_empty() {
        return Err(reader.findings);
    }
    Ok(CallerRequest {
        id,
        service: ServiceName::new(&target.service),
        key: Key::new(&key),
        labels,
        repeat,
        deadline: now.plus(timeout_ms),
        method: parts.method.as_str().to_owned(),
        path: target.path,
        content_type,
        body: bytes::Bytes::new(),
    })
}

/// Reads headers and collects what is wrong with them.
struct Reader<'a> {
    headers: &'a HeaderMap,
    findings: Vec<Finding>,
}

impl<'a> Reader<'a> {
    fn find(&mut self, name: &str, problem: Problem) {
        self.findings.push(Finding::header(name, problem));
    }

    fn keep<T>(&mut self, result: Result<T, Finding>) -> Option<T> {
        match result {
            Ok(value) => Some(value),
            Err(finding) => {
                self.findings.push(finding);
                None
            }
        }
    }

    fn bytes(&mut self, name: &str) -> Option<&'a [u8]> {
        let mut values = self.headers.get_all(name).iter();
        let first = values.next()?;
        if values.next().is_some() {
            self.find(name, Problem::Repeated);
        }
        Some(first.as_bytes())
    }

    fn text(&mut self, name: &str) -> Option<&'a str> {
        let bytes = self.bytes(name)?;
        let text = str::from_utf8(bytes);
        if text.is_err() {
            self.find(name, Problem::NotText);
        }
        text.ok()
    }

    fn key(&mut self) -> Option<String> {
        let Some(bytes) = self.bytes(KEY) else {
            self.find(KEY, Problem::Missing);
            return None;
        };
        let key = read_key(bytes).map_err(|problem| Finding::header(KEY, problem));
        self.keep(key)
    }

    fn repeat(&mut self, method: &Method) -> Repeat {
        match self.text(IDEMPOTENT) {
            Some("true") => Repeat::Idempotent,
            None if *method == Method::GET || *method == Method::HEAD => Repeat::Idempotent,
            Some("false") | None => Repeat::NonIdempotent,
            Some(_) => {
                self.find(IDEMPOTENT, Problem::NotBoolean);
                Repeat::NonIdempotent
            }
        }
    }

    fn id(&mut self, cfg: &CallersConfig, repeat: Repeat, now: Wall) -> Option<RequestId> {
        match (self.text(IDEMPOTENCY_KEY), repeat) {
            (Some(text), _) => {
                let id = read_id(cfg, text, now);
                self.keep(id.map_err(|problem| Finding::header(IDEMPOTENCY_KEY, problem)))
            }
            (None, Repeat::Idempotent) => Some(RequestId(Uuid::now_v7())),
            (None, Repeat::NonIdempotent) => {
                if !self.headers.contains_key(IDEMPOTENCY_KEY) {
                    self.find(IDEMPOTENCY_KEY, Problem::KeyRequired);
                }
                None
            }
        }
    }

    fn timeout_ms(&mut self, cfg: &CallersConfig) -> u64 {
        let Some(text) = self.text(TIMEOUT_MS) else {
            return cfg.default_timeout_ms.min(cfg.max_timeout_ms);
        };
        let Ok(ms @ 1..) = text.parse() else {
            self.find(TIMEOUT_MS, Problem::NotMilliseconds);
            return 0;
        };
        cfg.max_timeout_ms.min(ms)
    }

    fn labels(&mut self) -> Labels {
        let mut labels = Labels::new();
        for header in self.headers.keys() {
            let Some(label) = header.as_str().strip_prefix(LABEL_PREFIX) else {
                continue;
            };
            if let Some(value) = self.label(header, label) {
                labels.insert(label.to_owned(), value);
            }
        }
        if labels.len() > MAX_LABELS {
            let name = format!("{LABEL_PREFIX}*");
            self.find(&name, Problem::TooMany { limit: MAX_LABELS });
        }
        labels
    }

    fn label(&mut self, header: &HeaderName, label: &str) -> Option<String> {
        let value = self.text(header.as_str())?;
        if label.is_empty() || value.is_empty() {
            self.find(header.as_str(), Problem::Empty);
            return None;
        }
        if value.len() > MAX_LABEL_BYTES {
            let limit = MAX_LABEL_BYTES;
            self.find(header.as_str(), Problem::TooLong { limit });
            return None;
        }
        Some(value.to_owned())
    }

    fn method(&mut self, method: &Method) {
        if *method == Method::CONNECT {
            self.findings.push(Finding {
                place: Place::Method,
                problem: Problem::Unsupported,
            });
        }
    }

    fn length(&mut self, cfg: &CallersConfig) {
        let limit = cfg.max_body_bytes;
        let stated = self.headers.get(CONTENT_LENGTH);
        let stated = stated.and_then(|length| length.to_str().ok()?.parse().ok());
        if stated.is_some_and(|length: u64| length > limit as u64) {
            self.findings
                .push(Finding::body(Problem::TooLarge { limit }));
        }
    }
}

fn read_key(bytes: &[u8]) -> Result<String, Problem> {
    let key = percent::decode(bytes).map_err(|cause| Problem::BadEncoding { cause })?;
    if key.is_empty() {
        return Err(Problem::Empty);
    }
    if key.len() > MAX_KEY_BYTES {
        return Err(Problem::TooLong {
            limit: MAX_KEY_BYTES,
        });
    }
    Ok(key)
}

fn read_id(cfg: &CallersConfig, text: &str, now: Wall) -> Result<RequestId, Problem> {
    if text.len() != UUID_CHARS {
        return Err(Problem::NotUuidV7);
    }
    let uuid = Uuid::try_parse(text).ok().ok_or(Problem::NotUuidV7)?;
    if uuid.get_version() != Some(Version::SortRand) {
        return Err(Problem::NotUuidV7);
    }
    let id = RequestId(uuid);
    let created = id.created().ok_or(Problem::NotUuidV7)?;
    // Failure guarded against: an id that claims a time of creation far ahead
    // lies above the floor of every later dispatcher, and its retry runs again.
    // It shows as a booking made twice. The guard holds because the time of
    // creation is bounded by the entry's clock plus the stated allowance.
    if created > now.plus(cfg.max_id_ahead_ms) {
        return Err(Problem::Ahead {
            limit_ms: cfg.max_id_ahead_ms,
        });
    }
    Ok(id)
}
