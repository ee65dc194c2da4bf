//! What the path and the headers of a caller's request say.
//!
//! The path below the service is forwarded byte for byte. What cannot be forwarded that way, or has
//! two readings, is refused.

use http::{HeaderMap, Uri};

use crate::problem::ProblemDocument;

const PREFIX: &str = "/v1/services/";
/// Callers' names and ids are kept while a request is, so they are bounded.
const TEXT_MAX_BYTES: usize = 256;

/// Path and query for the upstream, as the caller wrote them. An empty path becomes `/`.
///
/// # Errors
///
/// Refuses a target whose start is not literally `/v1/services/<service>`, and encoded dot segments,
/// which upstreams resolve differently, so that a route declared repeatable could name another.
pub fn upstream_target(uri: &Uri) -> Result<String, ProblemDocument> {
    let target = uri.path_and_query().map_or("/", |target| target.as_str());
    let rest = target.strip_prefix(PREFIX).ok_or_else(|| {
        ProblemDocument::bad_request("not run: the path does not start with /v1/services/")
    })?;
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (service, below) = rest.split_at(end);
    if service.is_empty() {
        let detail = "not run: the path has an empty segment in place of the service";
        return Err(ProblemDocument::bad_request(detail));
    }
    let path = below.split('?').next().unwrap_or_default();
    if path.split('/').any(is_dot_segment) {
        let detail = "not run: the path has a dot segment";
        return Err(ProblemDocument::bad_request(detail));
    }
    Ok(match below.starts_with('/') {
        true => below.to_owned(),
        false => format!("/{below}"),
    })
}

fn is_dot_segment(segment: &str) -> bool {
    let plain = segment.replace("%2e", ".").replace("%2E", ".");
    plain == "." || plain == ".."
}

/// Value of a header that may be given once.
///
/// # Errors
///
/// Refuses a header that is repeated, empty, over 256 bytes or not in visible ASCII characters.
pub fn text(headers: &HeaderMap, name: &str) -> Result<Option<String>, ProblemDocument> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    let malformed = |what: &str| ProblemDocument::bad_request(format!("not run: {name} {what}"));
    if values.next().is_some() {
        return Err(malformed("is given more than once"));
    }
    let text = value
        .to_str()
        .map_err(|_| malformed("has characters outside of visible ASCII"))?;
    if text.is_empty() {
        return Err(malformed("is empty"));
    }
    if text.len() > TEXT_MAX_BYTES {
        return Err(malformed("is over 256 bytes"));
    }
    Ok(Some(text.to_owned()))
}

/// The time that the caller waits, in milliseconds.
///
/// # Errors
///
/// Refuses everything but a positive decimal number.
pub fn deadline_ms(headers: &HeaderMap) -> Result<Option<u64>, ProblemDocument> {
    let Some(text) = text(headers, "x-deadline-ms")? else {
        return Ok(None);
    };
    let digits = text.bytes().all(|byte| byte.is_ascii_digit());
    match text.parse() {
        Ok(deadline_ms) if digits && deadline_ms > 0 => Ok(Some(deadline_ms)),
        _ => {
            let detail = "not run: x-deadline-ms is not a positive number of milliseconds";
            Err(ProblemDocument::bad_request(detail))
        }
    }
}
