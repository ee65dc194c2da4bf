//! Inputs of the frontend's decisions, for its log lines.

use slog::{KV, Record, Serializer};

/// The inputs with their versions and ages when a request was decided.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DecisionInputs {
    /// Version of the configuration.
    pub(super) config_version: u64,
    /// Time since it was confirmed; `None` if it has no keys or was never confirmed.
    pub(super) config_age_ms: Option<u64>,
    /// Revision of the store up to which the view is complete.
    pub(super) view_revision: u64,
    /// Time since the store last answered the watch of the view; `None` if it never has.
    pub(super) view_age_ms: Option<u64>,
    /// Age of the pressure; `None` if none was taken into account.
    pub(super) pressure_age_ms: Option<u64>,
}

impl KV for DecisionInputs {
    fn serialize(&self, _: &Record<'_>, serializer: &mut dyn Serializer) -> slog::Result {
        serializer.emit_u64("config_version".into(), self.config_version)?;
        if let Some(age_ms) = self.config_age_ms {
            serializer.emit_u64("config_age_ms".into(), age_ms)?;
        }
        serializer.emit_u64("view_revision".into(), self.view_revision)?;
        if let Some(age_ms) = self.view_age_ms {
            serializer.emit_u64("view_age_ms".into(), age_ms)?;
        }
        if let Some(age_ms) = self.pressure_age_ms {
            serializer.emit_u64("pressure_age_ms".into(), age_ms)?;
        }
        Ok(())
    }
}
