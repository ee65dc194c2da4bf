//! Handles requests of operators and peers, or forwards them to the controller.

use rosemaryscale_ports::fleet::{FleetError, FleetMessage, FleetOperation, PoolsReport};
use rosemaryscale_ports::peer::{PeerReply, PeerRequest};
use rosemaryscale_ports::prelude::*;

use super::inputs::Inputs;
use super::{Completion, Controller, MAX_WRITE_ATTEMPTS, OperationReply, PendingOperation, report};

impl Controller {
    pub(super) fn handle_message(&mut self, message: FleetMessage) {
        match message {
            FleetMessage::Operate {
                operation,
                forwarded,
                reply,
            } => {
                if self.lease.is_held(self.now()) || forwarded {
                    self.operate(PendingOperation {
                        operation,
                        reply,
                        attempts: 0,
                    });
                } else {
                    self.forward(operation, reply);
                }
            }
            FleetMessage::Report { forwarded, reply } => self.report(forwarded, reply),
            FleetMessage::Usage {
                from,
                report,
                reply,
            } => self.record_usage(from, report, reply),
        }
    }

    pub(super) fn operate(&mut self, pending: PendingOperation) {
        let refuse = |pending: PendingOperation, error| {
            let _ = pending.reply.send(Err(error));
        };
        let Some(fleet) = self.fleet.take() else {
            let reason = "this daemon is not the controller".into();
            return refuse(pending, FleetError::NoController { reason });
        };
        if pending.attempts >= MAX_WRITE_ATTEMPTS || self.write_in_progress {
            self.fleet = Some(fleet);
            let reason = "another change is being written; try again".into();
            return refuse(pending, FleetError::Refused { reason });
        }
        let inputs = Inputs::read(&self.options, &self.members);
        let decided = inputs.to_request(&pending.operation).and_then(|request| {
            let snapshot = inputs.snapshot(&self.view.zones);
            fleet
                .request(&request, &snapshot)
                .map_err(|error| error.to_string())
        });
        self.fleet = Some(fleet);
        match decided {
            Ok(action) => self.execute(action, Some(pending)),
            Err(reason) => refuse(pending, FleetError::Refused { reason }),
        }
    }

    pub(super) fn forward(&mut self, operation: FleetOperation, reply: OperationReply) {
        let Some(holder) = self.lease.holder() else {
            let reason = "no daemon holds the controller lease".into();
            let _ = reply.send(Err(FleetError::NoController { reason }));
            return;
        };
        let peers = self.options.peers.clone();
        self.calls.spawn(async move {
            let result = match peers.call(holder, PeerRequest::Operate(operation)).await {
                Ok(PeerReply::Operated(result)) => result,
                Ok(_) => Err(FleetError::Unknown {
                    reason: "the controller sent an unexpected reply".into(),
                }),
                Err(error) => Err(FleetError::Unknown {
                    reason: error.to_string(),
                }),
            };
            let _ = reply.send(result);
            Completion::Forwarded
        });
    }

    pub(super) fn report(&mut self, forwarded: bool, reply: oneshot::Sender<PoolsReport>) {
        let now = self.now();
        let inputs = Inputs::read(&self.options, &self.members);
        let snapshot = inputs.snapshot(&self.view.zones);
        let moves = self
            .fleet
            .as_ref()
            .map(|fleet| fleet.status(&snapshot, now));
        let own = report::pools_report(&self.view, self.lease.holder(), moves.as_deref());
        let holder = self
            .lease
            .holder()
            .filter(|_| moves.is_none() && !forwarded);
        let Some(holder) = holder else {
            let _ = reply.send(own);
            return;
        };
        let peers = self.options.peers.clone();
        self.calls.spawn(async move {
            let report = match peers.call(holder, PeerRequest::Pools).await {
                Ok(PeerReply::Pools(report)) => report,
                _ => own,
            };
            let _ = reply.send(report);
            Completion::Forwarded
        });
    }
}
