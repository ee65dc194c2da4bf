//! Identity of the processes of daemons.

use crate::prelude::*;

/// One process of a daemon.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberId {
    /// Name of the daemon.
    pub name: Arc<str>,
    /// Distinguishes processes that used the same name.
    pub incarnation: Arc<str>,
}
