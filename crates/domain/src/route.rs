//! Routing of requests to queues.

use crate::prelude::*;

/// Maps a host and a path prefix to a queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The queue.
    pub queue: Arc<str>,
    /// Host in the caller's request.
    pub host: Arc<str>,
    /// Prefix of the path.
    pub prefix: Arc<str>,
    /// Whether callers need no API key.
    pub is_public: bool,
}

/// Returns the route of a request and the rest of its path; the longest matching prefix wins.
#[must_use]
pub fn find<'a, 'p>(
    routes: &'a [Route],
    host: &str,
    path: &'p str,
) -> Option<(&'a Route, &'p str)> {
    routes
        .iter()
        .filter(|route| route.host.eq_ignore_ascii_case(host))
        .filter_map(|route| Some((route, path.strip_prefix(&*route.prefix)?)))
        .max_by_key(|(route, _)| route.prefix.len())
}

/// Returns whether the text is a valid job id: 16 hexadecimal digits.
#[must_use]
pub fn is_job_id(text: &str) -> bool {
    const JOB_ID_DIGITS: usize = 16;
    text.len() == JOB_ID_DIGITS && text.bytes().all(|byte| byte.is_ascii_hexdigit())
}
