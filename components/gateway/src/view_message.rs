//! Views as sent between instances.

use std::io::{Read as _, Write as _};

/// Path at which an instance serves its view to other instances.
pub const VIEW_PATH: &str = "/view";

/// Header field with the age of a view in milliseconds.
pub const AGE_HEADER: &str = "view-age-ms";

/// Name of the query parameter with the version of the configuration that the receiver has.
const VERSION_PARAMETER: &str = "config";

/// Content coding of views, which consist of many similar routes and entries.
const CODING: &str = "gzip";

/// Form in which a view is sent.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct ViewForm {
    /// Whether the view contains the configuration, which the receiver may have already.
    pub(crate) has_config: bool,
    /// Whether the receiver accepts a compressed view.
    pub(crate) is_compressed: bool,
}

impl ViewForm {
    /// Returns the form that a request asks for, if the configuration here has `own_version`.
    ///
    /// Instances of earlier releases name neither a version nor a coding, and receive everything.
    pub(crate) fn requested<B>(request: &http::Request<B>, own_version: u64) -> Self {
        let known_version = request
            .uri()
            .query()
            .and_then(|query| query.strip_prefix(VERSION_PARAMETER)?.strip_prefix('='))
            .and_then(|version| version.parse().ok())
            .unwrap_or(0);
        let coding = request.headers().get(http::header::ACCEPT_ENCODING);
        Self {
            has_config: known_version < own_version,
            is_compressed: coding.is_some_and(|coding| coding == CODING),
        }
    }
}

/// Returns a request for the view of an instance by one whose configuration has `config_version`.
pub(crate) fn request(
    config_version: u64,
) -> Result<http::Request<http_body_util::Full<bytes::Bytes>>, http::Error> {
    http::Request::get(format!("{VIEW_PATH}?{VERSION_PARAMETER}={config_version}"))
        .header(http::header::ACCEPT_ENCODING, CODING)
        .body(http_body_util::Full::default())
}

/// Returns the header fields and the body of an answer with a view.
pub(crate) fn answer(
    body: bytes::Bytes,
    form: ViewForm,
    age_millis: u64,
) -> http::Response<http_body_util::Full<bytes::Bytes>> {
    let mut response = http::Response::new(http_body_util::Full::new(body));
    let headers = response.headers_mut();
    headers.insert(AGE_HEADER, http::HeaderValue::from(age_millis));
    if form.is_compressed {
        let coding = http::HeaderValue::from_static(CODING);
        headers.insert(http::header::CONTENT_ENCODING, coding);
    }
    response
}

/// Encodes a view.
///
/// # Errors
///
/// Returns the codec's error when the view can't be encoded.
pub(crate) fn encode(
    mut view: relay::SiteView,
    form: ViewForm,
) -> Result<bytes::Bytes, serde_json::Error> {
    view.config = view.config.filter(|_| form.has_config);
    let text = serde_json::to_vec(&view)?;
    if !form.is_compressed {
        return Ok(text.into());
    }
    let mut encoder = flate2::write::GzEncoder::new(Vec::new(), flate2::Compression::fast());
    encoder.write_all(&text).map_err(serde_json::Error::io)?;
    let bytes = encoder.finish().map_err(serde_json::Error::io)?;
    Ok(bytes.into())
}

/// Decodes an answer with a view of at most `limit_bytes`; returns the view and its age.
///
/// # Errors
///
/// Returns `Malformed` when the answer isn't a view.
pub(crate) fn decode(
    answer: &client::WholeAnswer,
    limit_bytes: usize,
) -> Result<(relay::SiteView, std::time::Duration), border::BorderError> {
    let age = answer
        .headers
        .get(AGE_HEADER)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.parse().ok())
        .map(std::time::Duration::from_millis)
        .ok_or_else(|| malformed("the answer names no age"))?;
    let coding = answer.headers.get(http::header::CONTENT_ENCODING);
    let view = if coding.is_some_and(|coding| coding == CODING) {
        let text = decompress(&answer.body, limit_bytes)?;
        serde_json::from_slice(&text)
    } else {
        serde_json::from_slice(&answer.body)
    };
    view.map(|view| (view, age)).map_err(malformed)
}

fn decompress(body: &[u8], limit_bytes: usize) -> Result<Vec<u8>, border::BorderError> {
    let mut text = Vec::new();
    let limit = u64::try_from(limit_bytes).unwrap_or(u64::MAX);
    flate2::read::GzDecoder::new(body)
        .take(limit)
        .read_to_end(&mut text)
        .map_err(malformed)?;
    Ok(text)
}

fn malformed(error: impl std::fmt::Display) -> border::BorderError {
    border::BorderError::Malformed {
        detail: format!("no valid view: {error}"),
    }
}
