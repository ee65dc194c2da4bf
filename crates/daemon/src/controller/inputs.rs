//! The controller's inputs other than the assignments.

use rosemaryscale_domain::member::MemberId;
use std::collections::BTreeMap;
use std::sync::Arc;

use rosemaryscale_domain::fleet::{FleetRequest, FleetSnapshot, ListedInstance, StoredZone};
use rosemaryscale_ports::fleet::FleetOperation;
use rosemaryscale_ports::prelude::*;

use super::{ControllerOptions, DEFAULT_REQUEST_LIMIT_MS};

/// Members, listed instances and document fields that the controller plans with.
pub(super) struct Inputs {
    pub(super) members: Vec<MemberId>,
    pub(super) listed: Option<Vec<ListedInstance>>,
    pub(super) pools: FastSet<Arc<str>>,
    pub(super) request_limit_ms: u64,
}

impl Inputs {
    pub(super) fn read(
        options: &ControllerOptions,
        members: &BTreeMap<Arc<str>, MemberId>,
    ) -> Self {
        let members = members.values().cloned().collect();
        let list = options.instances.borrow().clone();
        let listed = (list.reads > 0).then(|| {
            let listed = list.instances.iter().map(|record| ListedInstance {
                name: Arc::clone(&record.name),
                zone: Arc::clone(&record.zone),
                pool_hint: Arc::clone(&record.pool_hint),
            });
            listed.collect()
        });
        let document = options.config.borrow().clone();
        let fields = document.as_ref().map(|document| &document.fields);
        let pools = fields.map(|fields| fields.pools.keys().cloned().collect());
        let limits = fields
            .into_iter()
            .flat_map(|fields| fields.services.values());
        let request_limit_ms = limits.map(|service| service.request_limit_ms).max();
        Self {
            members,
            listed,
            pools: pools.unwrap_or_default(),
            request_limit_ms: request_limit_ms.unwrap_or(DEFAULT_REQUEST_LIMIT_MS),
        }
    }

    pub(super) fn snapshot<'a>(
        &'a self,
        zones: &'a BTreeMap<Arc<str>, StoredZone>,
    ) -> FleetSnapshot<'a> {
        FleetSnapshot {
            zones,
            members: &self.members,
            listed: self.listed.as_deref(),
            pools: &self.pools,
            request_limit_ms: self.request_limit_ms,
        }
    }

    /// Converts an operation to a request, or returns why the document does not allow it.
    pub(super) fn to_request(&self, operation: &FleetOperation) -> Result<FleetRequest, String> {
        Ok(match operation.clone() {
            FleetOperation::Drain { instance } => FleetRequest::Drain { instance },
            FleetOperation::Undrain { instance } => FleetRequest::Undrain { instance },
            FleetOperation::Move { instance, to } if self.pools.contains(&to) => {
                FleetRequest::Move { instance, to }
            }
            FleetOperation::Move { to, .. } => {
                return Err(format!(
                    "pool {to} is not in the document; name one of its pools"
                ));
            }
        })
    }
}
