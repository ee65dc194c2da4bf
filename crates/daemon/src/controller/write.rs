//! Executes the controller's actions: fenced writes and polls of members.

use rosemaryscale_domain::member::MemberId;
use std::sync::Arc;

use rosemaryscale_domain::assignment::ZoneAssignments;
use rosemaryscale_domain::drain::DrainReport;
use rosemaryscale_domain::fleet::FleetAction;
use rosemaryscale_ports::fleet::FleetError;
use rosemaryscale_ports::kv::{Change, Compare, KvError, KvResult, Transaction, TransactionResult};
use rosemaryscale_ports::peer::{PeerReply, PeerRequest};
use rosemaryscale_ports::prelude::*;

use super::{Completion, Controller, PendingOperation};

impl Controller {
    pub(super) fn execute(&mut self, action: FleetAction, pending: Option<PendingOperation>) {
        match action {
            FleetAction::Write {
                zone,
                mod_revision,
                assignments,
            } => {
                self.write(zone, mod_revision, &assignments, pending);
            }
            FleetAction::PollMember {
                member, instance, ..
            } => self.poll_member(member, instance),
        }
    }

    /// Writes the records of a zone on condition that neither they nor the lease holder have changed.
    pub(super) fn write(
        &mut self,
        zone: Arc<str>,
        mod_revision: u64,
        assignments: &ZoneAssignments,
        pending: Option<PendingOperation>,
    ) {
        let Some(fencing_condition) = self.lease.fencing_condition(self.now()) else {
            return;
        };
        let Ok(value) = serde_json::to_vec(assignments) else {
            return;
        };
        let key: Arc<str> = format!("{}{zone}", self.assignments_prefix).into();
        let compare = Compare {
            key: Arc::clone(&key),
            mod_revision,
        };
        let transaction = Transaction {
            compares: vec![compare, fencing_condition],
            changes: vec![Change::Put {
                key,
                value: value.into(),
                lease: 0,
            }],
        };
        let kv = self.options.kv.clone();
        self.write_in_progress = true;
        self.options.metrics.count("controller.writes", 1);
        self.calls.spawn(async move {
            let result = kv.transact(transaction).await;
            Completion::Written {
                zone,
                result,
                pending,
            }
        });
    }

    pub(super) fn poll_member(&mut self, member: MemberId, instance: Arc<str>) {
        let peers = self.options.peers.clone();
        self.calls.spawn(async move {
            let request = PeerRequest::InFlight {
                instance: Arc::clone(&instance),
            };
            let result = peers.call(Arc::clone(&member.name), request).await;
            let report = match result {
                Ok(PeerReply::InFlight {
                    incarnation,
                    report: Some(report),
                }) if incarnation == member.incarnation => Some(DrainReport {
                    epoch: report.epoch,
                    in_flight: report.in_flight,
                }),
                _ => None,
            };
            Completion::Polled {
                instance,
                member,
                report,
            }
        });
    }

    pub(super) fn finish_write(
        &mut self,
        zone: &Arc<str>,
        result: KvResult<TransactionResult>,
        pending: Option<PendingOperation>,
    ) {
        self.write_in_progress = false;
        let reply = match result {
            Ok(TransactionResult {
                succeeded: true,
                revision,
            }) => {
                self.min_revision = revision;
                Ok(())
            }
            Ok(TransactionResult { revision, .. }) => {
                self.options.metrics.count("controller.conflicts", 1);
                self.min_revision = revision;
                if let Some(pending) = pending {
                    self.operate(PendingOperation {
                        attempts: pending.attempts + 1,
                        ..pending
                    });
                }
                return;
            }
            Err(KvError::OutcomeUnknown { reason }) => Err(FleetError::Unknown { reason }),
            Err(error) => Err(FleetError::NoController {
                reason: error.to_string(),
            }),
        };
        if let Err(error) = &reply {
            let detail = format!("the assignments could not be written: {error}");
            self.options
                .events
                .record(EventKind::Controller, Arc::clone(zone), detail);
        }
        if let Some(pending) = pending {
            let _ = pending.reply.send(reply);
        }
    }
}
