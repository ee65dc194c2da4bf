//! Publishes the pressure on the services, by which all daemons refuse hopeless jobs.

use std::sync::Arc;

use rosemaryscale_domain::schedule::pressure::Pressure;
use rosemaryscale_ports::kv::{Compare, Transaction};
use rosemaryscale_ports::prelude::*;
use slog::info;

use super::{BackgroundResult, Leader};
use crate::jobs::records::{self, LEADER_KEY, PRESSURE_KEY};

/// Interval at which the pressure is published while there is any; daemons ignore an older one.
const PUBLISH_INTERVAL_MS: u64 = 300;

/// The published pressure.
#[derive(Debug, Default)]
pub(super) struct PublishedPressure {
    next_at: Millis,
    is_writing: bool,
    /// Number of services under pressure in the last write.
    services: usize,
}

impl PublishedPressure {
    pub(super) const fn written(&mut self) {
        self.is_writing = false;
    }
}

impl Leader {
    /// Starts a write of the pressure if one is due. Without pressure, one write clears the last one.
    pub(super) fn publish_pressure(&mut self, now: Millis) {
        if self.pressure.is_writing || now < self.pressure.next_at {
            return;
        }
        self.pressure.next_at = now.after_ms(PUBLISH_INTERVAL_MS);
        let pressure: Pressure = self.scheduler.pressure(now);
        let count = pressure.services.len();
        if count == 0 && self.pressure.services == 0 {
            return;
        }
        if (count == 0) != (self.pressure.services == 0) {
            let names: Vec<&str> = pressure.services.iter().map(|s| &*s.service).collect();
            info!(self.options.log, "pressure"; "services" => names.join(" "));
        }
        self.pressure.services = count;
        self.pressure.is_writing = true;
        let transaction = Transaction {
            compares: vec![Compare {
                key: LEADER_KEY.into(),
                mod_revision: self.lease.fencing_token,
            }],
            changes: vec![records::put(
                Arc::from(PRESSURE_KEY),
                records::encode(&pressure),
            )],
        };
        let kv = self.options.kv.clone();
        self.background.spawn(async move {
            // A lost write is replaced by the next one, and an old pressure is ignored.
            let _ = kv.transact(transaction).await;
            BackgroundResult::PressureWritten
        });
    }
}
