//! The usage task: reads the dispatchers' usage and reports it to the controller.
//!
//! The dispatchers are asked in this process only. Nothing is sent to a peer while the daemon is at
//! rest.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rosemaryscale_adapters::caller_api::Routes;
use rosemaryscale_domain::spare::{ServiceUsage, UsageReport, UsageReporter};
use rosemaryscale_ports::clock::ClockHandle;
use rosemaryscale_ports::dispatch::DispatchMessage;
use rosemaryscale_ports::fleet::Fleet;
use rosemaryscale_ports::prelude::*;
use tokio::sync::watch;
use tokio::task::JoinSet;

const READ_INTERVAL: Duration = Duration::from_millis(250);

/// What the usage task needs.
pub struct UsageTaskOptions {
    /// Incarnation of this daemon.
    pub incarnation: Arc<str>,
    /// The dispatchers by service.
    pub routes: watch::Receiver<Routes>,
    /// The controller task.
    pub fleet: Fleet,
    /// Clock of the process.
    pub clock: ClockHandle,
}

/// State of the usage task.
pub struct UsageTask {
    options: UsageTaskOptions,
    reporter: UsageReporter,
    /// Reports on their way; each returns its sequence and whether it was taken.
    reports: JoinSet<(u64, bool)>,
}

impl UsageTask {
    /// Makes the task's state.
    #[must_use]
    pub fn new(options: UsageTaskOptions) -> Self {
        let reporter = UsageReporter::new(Arc::clone(&options.incarnation));
        Self {
            options,
            reporter,
            reports: JoinSet::new(),
        }
    }

    /// Reports until `stop` resolves.
    pub async fn serve(mut self, mut stop: oneshot::Receiver<()>) {
        let mut tick = tokio::time::interval(READ_INTERVAL);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = &mut stop => break,
                Some(Ok((sequence, taken))) = self.reports.join_next() => {
                    if taken {
                        self.reporter.acknowledge(sequence);
                    }
                }
                _ = tick.tick() => self.read().await,
            }
        }
        self.reports.shutdown().await;
    }

    async fn read(&mut self) {
        let services = self.usage().await;
        let now = self.options.clock.now();
        if let Some(report) = self.reporter.next_report(services, now) {
            self.send(report);
        }
    }

    async fn usage(&self) -> BTreeMap<Arc<str>, ServiceUsage> {
        let routes = self.options.routes.borrow().clone();
        let mut asked = Vec::new();
        for (service, dispatch) in routes.iter() {
            let (reply, usage) = oneshot::channel();
            let message = DispatchMessage::Usage { reply };
            if dispatch.messages.send(message).await.is_ok() {
                asked.push((Arc::clone(service), usage));
            }
        }
        let mut services = BTreeMap::new();
        for (service, usage) in asked {
            if let Ok(usage) = usage.await {
                services.insert(service, usage);
            }
        }
        services
    }

    fn send(&mut self, report: UsageReport) {
        let fleet = self.options.fleet.clone();
        self.reports.spawn(async move {
            let sequence = report.sequence;
            (sequence, fleet.report_usage(None, report).await)
        });
    }
}
