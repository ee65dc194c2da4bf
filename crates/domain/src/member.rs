//! Identity of daemon processes.

use crate::prelude::*;

/// Identifies one process of a daemon.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberId {
    /// Name of the daemon.
    pub name: Arc<str>,
    /// Distinguishes processes that have used the same name.
    pub incarnation: Arc<str>,
}
