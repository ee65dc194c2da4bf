//! Parses the path and the headers of a caller's request.
//!
//! The path below the service is forwarded byte for byte. Paths that cannot be forwarded unchanged
//! or that are ambiguous are rejected.

use http::{HeaderMap, Uri};

use crate::problem::ProblemDocument;

const SERVICES_PREFIX: &str = "/v1/services/";
/// Maximum size of a header value. Names and ids of callers are kept as long as their requests, so
/// their size must be limited.
const HEADER_MAX_BYTES: usize = 256;

/// Returns the path and the query for the upstream, unchanged except that an empty path becomes
/// `/`.
///
/// # Errors
///
/// Rejects a target that does not start literally with `/v1/services/<service>`. Also rejects dot
/// segments, including encoded ones: upstreams resolve them differently, so a path that matches a
/// repeatable route could address another resource.
pub fn upstream_target(uri: &Uri) -> Result<String, ProblemDocument> {
    let target = uri.path_and_query().map_or("/", |target| target.as_str());
    let rest = target.strip_prefix(SERVICES_PREFIX).ok_or_else(|| {
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

/// Returns the value of a header that may occur only once.
///
/// # Errors
///
/// Rejects a header that is repeated, empty, longer than 256 bytes or not in visible ASCII
/// characters.
pub fn single_header(headers: &HeaderMap, name: &str) -> Result<Option<String>, ProblemDocument> {
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
    if text.len() > HEADER_MAX_BYTES {
        return Err(malformed("is over 256 bytes"));
    }
    Ok(Some(text.to_owned()))
}

/// Returns the time that the caller waits, in milliseconds.
///
/// # Errors
///
/// Rejects values other than positive decimal numbers.
pub fn deadline_ms(headers: &HeaderMap) -> Result<Option<u64>, ProblemDocument> {
    let Some(text) = single_header(headers, "x-deadline-ms")? else {
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
