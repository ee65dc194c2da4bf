//! The usage task: polls the dispatchers for their usage and reports it to the controller.
//!
//! The polls stay within the process. A daemon without requests sends nothing to its peers.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rosemaryscale_adapters::caller_api::Routes;
use rosemaryscale_domain::spare::{ServiceUsage, UsageReport, UsageReporter};
use rosemaryscale_ports::clock::ClockHandle;
use rosemaryscale_ports::dispatch::DispatchMessage;
use rosemaryscale_ports::fleet::FleetHandle;
use rosemaryscale_ports::prelude::*;
use tokio::sync::watch;
use tokio::task::JoinSet;

const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Options of the usage task.
pub struct UsageTaskOptions {
    /// Incarnation of this daemon.
    pub incarnation: Arc<str>,
    /// The dispatchers by service.
    pub routes: watch::Receiver<Routes>,
    /// The controller task.
    pub fleet: FleetHandle,
    /// Clock of the process.
    pub clock: ClockHandle,
}

/// State of the usage task.
pub struct UsageTask {
    options: UsageTaskOptions,
    reporter: UsageReporter,
    /// Reports in flight; each returns its sequence number and whether the controller recorded it.
    reports_in_flight: JoinSet<(u64, bool)>,
}

impl UsageTask {
    /// Creates the task.
    #[must_use]
    pub fn new(options: UsageTaskOptions) -> Self {
        let reporter = UsageReporter::new(Arc::clone(&options.incarnation));
        Self {
            options,
            reporter,
            reports_in_flight: JoinSet::new(),
        }
    }

    /// Reports the usage until `stop` resolves.
    pub async fn serve(mut self, mut stop: oneshot::Receiver<()>) {
        let mut interval = tokio::time::interval(POLL_INTERVAL);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = &mut stop => break,
                Some(Ok((sequence, recorded))) = self.reports_in_flight.join_next() => {
                    if recorded {
                        self.reporter.acknowledge(sequence);
                    }
                }
                _ = interval.tick() => self.report_usage().await,
            }
        }
        self.reports_in_flight.shutdown().await;
    }

    async fn report_usage(&mut self) {
        let services = self.poll_dispatchers().await;
        let now = self.options.clock.now();
        if let Some(report) = self.reporter.next_report(services, now) {
            self.send(report);
        }
    }

    async fn poll_dispatchers(&self) -> BTreeMap<Arc<str>, ServiceUsage> {
        let routes = self.options.routes.borrow().clone();
        let mut pending_replies = Vec::new();
        for (service, dispatch) in routes.iter() {
            let (reply, usage) = oneshot::channel();
            let message = DispatchMessage::Usage { reply };
            if dispatch.messages.send(message).await.is_ok() {
                pending_replies.push((Arc::clone(service), usage));
            }
        }
        let mut services = BTreeMap::new();
        for (service, usage) in pending_replies {
            if let Ok(usage) = usage.await {
                services.insert(service, usage);
            }
        }
        services
    }

    fn send(&mut self, report: UsageReport) {
        let fleet = self.options.fleet.clone();
        self.reports_in_flight.spawn(async move {
            let sequence = report.sequence;
            (sequence, fleet.report_usage(None, report).await)
        });
    }
}
