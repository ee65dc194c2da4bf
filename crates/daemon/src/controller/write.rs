//! Carries out the controller's decisions: fenced writes and questions to members.

use rosemaryscale_domain::member::MemberId;
use std::sync::Arc;

use rosemaryscale_domain::assignment::ZoneAssignments;
use rosemaryscale_domain::drain::DrainReport;
use rosemaryscale_domain::fleet::FleetAction;
use rosemaryscale_ports::fleet::FleetError;
use rosemaryscale_ports::kv::{Change, Compare, KvError, KvResult, Transaction, TransactionResult};
use rosemaryscale_ports::peer::{PeerReply, PeerRequest};
use rosemaryscale_ports::prelude::*;

use super::{Completed, Controller, Operating};

impl Controller {
    pub(super) fn carry_out(&mut self, action: FleetAction, operating: Option<Operating>) {
        match action {
            FleetAction::Write {
                zone,
                mod_revision,
                assignments,
            } => {
                self.write(zone, mod_revision, &assignments, operating);
            }
            FleetAction::PollMember {
                member, instance, ..
            } => self.poll_member(member, instance),
        }
    }

    /// Writes the records of a zone if neither they nor the controller have changed.
    pub(super) fn write(
        &mut self,
        zone: Arc<str>,
        mod_revision: u64,
        assignments: &ZoneAssignments,
        operating: Option<Operating>,
    ) {
        let Some(fence) = self.lease.fence(self.now()) else {
            return;
        };
        let Ok(value) = serde_json::to_vec(assignments) else {
            return;
        };
        let key: Arc<str> = format!("{}{zone}", self.prefix).into();
        let compare = Compare {
            key: Arc::clone(&key),
            mod_revision,
        };
        let transaction = Transaction {
            compares: vec![compare, fence],
            changes: vec![Change::Put {
                key,
                value: value.into(),
                lease: 0,
            }],
        };
        let kv = self.options.kv.clone();
        self.writing = true;
        self.options.metrics.count("controller.writes", 1);
        self.running.spawn(async move {
            let result = kv.transact(transaction).await;
            Completed::Wrote {
                zone,
                result,
                operating,
            }
        });
    }

    pub(super) fn poll_member(&mut self, member: MemberId, instance: Arc<str>) {
        let peers = self.options.peers.clone();
        self.running.spawn(async move {
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
            Completed::Polled {
                instance,
                member,
                report,
            }
        });
    }

    pub(super) fn wrote(
        &mut self,
        zone: &Arc<str>,
        result: KvResult<TransactionResult>,
        operating: Option<Operating>,
    ) {
        self.writing = false;
        let reply = match result {
            Ok(TransactionResult {
                succeeded: true,
                revision,
            }) => {
                self.barrier = revision;
                Ok(())
            }
            Ok(TransactionResult { revision, .. }) => {
                self.options.metrics.count("controller.conflicts", 1);
                self.barrier = revision;
                if let Some(operating) = operating {
                    self.operate(Operating {
                        attempts: operating.attempts + 1,
                        ..operating
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
        if let Some(operating) = operating {
            let _ = operating.reply.send(reply);
        }
    }
}
