//! Answers operators and peers, here or through the daemon that plans.

use rosemaryscale_ports::fleet::{FleetError, FleetMessage, FleetOperation, PoolsReport};
use rosemaryscale_ports::peer::{PeerReply, PeerRequest};
use rosemaryscale_ports::prelude::*;

use super::inputs::Inputs;
use super::{Completed, Controller, OPERATE_ATTEMPTS, OperateReply, Operating, report};

impl Controller {
    pub(super) fn answer(&mut self, message: FleetMessage) {
        match message {
            FleetMessage::Operate {
                operation,
                forwarded,
                reply,
            } => {
                if self.lease.is_held(self.now()) || forwarded {
                    self.operate(Operating {
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
            } => self.take_usage(from, report, reply),
        }
    }

    pub(super) fn operate(&mut self, operating: Operating) {
        let refuse = |operating: Operating, error| {
            let _ = operating.reply.send(Err(error));
        };
        let Some(fleet) = self.fleet.take() else {
            let reason = "this daemon does not plan".into();
            return refuse(operating, FleetError::NoController { reason });
        };
        if operating.attempts >= OPERATE_ATTEMPTS || self.writing {
            self.fleet = Some(fleet);
            let reason = "another change is being written; try again".into();
            return refuse(operating, FleetError::Refused { reason });
        }
        let inputs = Inputs::read(&self.options, &self.members);
        let decided = inputs.check(&operating.operation).and_then(|request| {
            let snapshot = inputs.snapshot(&self.view.zones);
            fleet
                .request(&request, &snapshot)
                .map_err(|error| error.to_string())
        });
        self.fleet = Some(fleet);
        match decided {
            Ok(action) => self.carry_out(action, Some(operating)),
            Err(reason) => refuse(operating, FleetError::Refused { reason }),
        }
    }

    pub(super) fn forward(&mut self, operation: FleetOperation, reply: OperateReply) {
        let Some(holder) = self.lease.holder() else {
            let reason = "no daemon holds the controller lease".into();
            let _ = reply.send(Err(FleetError::NoController { reason }));
            return;
        };
        let peers = self.options.peers.clone();
        self.running.spawn(async move {
            let result = match peers.call(holder, PeerRequest::Operate(operation)).await {
                Ok(PeerReply::Operated(result)) => result,
                Ok(_) => Err(FleetError::Unknown {
                    reason: "the controller's reply is odd".into(),
                }),
                Err(error) => Err(FleetError::Unknown {
                    reason: error.to_string(),
                }),
            };
            let _ = reply.send(result);
            Completed::Forwarded
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
        let own = report::pools(&self.view, self.lease.holder(), moves.as_deref());
        let holder = self
            .lease
            .holder()
            .filter(|_| moves.is_none() && !forwarded);
        let Some(holder) = holder else {
            let _ = reply.send(own);
            return;
        };
        let peers = self.options.peers.clone();
        self.running.spawn(async move {
            let report = match peers.call(holder, PeerRequest::Pools).await {
                Ok(PeerReply::Pools(report)) => report,
                _ => own,
            };
            let _ = reply.send(report);
            Completed::Forwarded
        });
    }
}
