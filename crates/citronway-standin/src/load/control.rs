//! Traffic between instances, by their own metrics.

use bytes::Bytes;
use http::Request;

use crate::env::Entry;
use crate::http::Client;

/// Ending of the counter's name; a prefix belongs to the product.
const COUNTER: &str = "control_bytes_total";

/// Bytes of control messages that an entry has sent and received so far, or
/// `None` if it does not tell.
pub async fn bytes(client: &Client, entry: &Entry) -> Option<f64> {
    let uri = format!("http://{}/metrics", entry.settings().operators);
    let req = Request::get(uri).body(Bytes::new()).ok()?;
    let rsp = client.send(req, super::METRICS_TIMEOUT).await.ok()?;
    let text = std::str::from_utf8(rsp.body()).ok()?;
    let mut sum = None;
    for line in text.lines() {
        let Some((name, value)) = line.rsplit_once(' ') else {
            continue;
        };
        let bare = name.split_once('{').map_or(name, |(bare, _labels)| bare);
        if line.starts_with('#') || !bare.ends_with(COUNTER) {
            continue;
        }
        let value: f64 = value.parse().ok()?;
        *sum.get_or_insert(0.0) += value;
    }
    sum
}
