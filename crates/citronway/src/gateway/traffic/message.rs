//! A caller's request as it is sent on.

use bytes::Bytes;
use citronway_core::ids::EndpointStart;
use citronway_platform::exchange;
use http::request::Parts;
use http::{Method, Request, Uri};

/// The request as it is sent to an endpoint or a neighbor.
#[derive(Debug)]
pub(super) struct Message {
    pub method: Method,
    pub uri: Uri,
    pub headers: http::HeaderMap,
    pub body: Bytes,
}

impl Message {
    /// The request of a caller, without the headers that are not passed on.
    pub(super) fn new(head: &Parts, body: Bytes) -> Self {
        Self {
            method: head.method.clone(),
            uri: head.uri.clone(),
            headers: exchange::forwarded_headers(&head.headers),
            body,
        }
    }

    /// The request as it is passed on, with its path and query only.
    pub(super) fn in_origin_form(&self) -> Request<Bytes> {
        let mut req = Request::new(self.body.clone());
        *req.method_mut() = self.method.clone();
        // The absolute form is for proxies.
        let path = self.uri.path_and_query().map_or("/", |path| path.as_str());
        if let Ok(uri) = path.parse() {
            *req.uri_mut() = uri;
        }
        req.headers_mut().clone_from(&self.headers);
        req
    }

    /// The request as an endpoint gets it, with the time left in milliseconds.
    pub(super) fn for_endpoint(&self, endpoint: &EndpointStart, left_ms: u64) -> Request<Bytes> {
        let mut req = self.in_origin_form();
        exchange::set_target_headers(req.headers_mut(), endpoint, left_ms);
        req
    }
}
