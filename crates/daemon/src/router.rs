//! The router. It runs one dispatcher per service and updates the dispatchers when the document,
//! the instance list or the assignments change.

use std::sync::Arc;

use rosemaryscale_adapters::caller_api::Routes;
use rosemaryscale_domain::Document;
use rosemaryscale_domain::document::Accepted;
use rosemaryscale_ports::clock::ClockHandle;
use rosemaryscale_ports::config::ConfigWatch;
use rosemaryscale_ports::dispatch::{DispatchMessage, DispatcherHandle};
use rosemaryscale_ports::fleet::{AssignmentView, AssignmentWatch, InFlightQuery, InFlightReport};
use rosemaryscale_ports::instance::{InstanceList, InstanceState, ServiceView};
use rosemaryscale_ports::peer::{PeerObservation, RefusingInstance};
use rosemaryscale_ports::prelude::*;
use rosemaryscale_ports::slots::SlotSender;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::dispatcher::{self, DispatcherOptions};

/// Dependencies of the router.
pub struct RouterOptions {
    /// The document in force.
    pub config: ConfigWatch,
    /// The platform's instance list.
    pub instances: InstanceList,
    /// Assignments of instances to pools.
    pub assignments: AssignmentWatch,
    /// Queries about the requests in flight on an instance.
    pub queries: mpsc::Receiver<InFlightQuery>,
    /// Clock of the process.
    pub clock: ClockHandle,
    /// The event log.
    pub events: EventSink,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// The slot task.
    pub slots: SlotSender,
    /// Channel for the instances that refuse connections of this daemon, which are reported to its
    /// peers.
    pub refusals: mpsc::Sender<RefusingInstance>,
    /// Observations of instances by peers.
    pub peer_observations: mpsc::Receiver<PeerObservation>,
}

/// Starts, configures and stops the dispatchers of the services.
pub struct Router {
    options: RouterOptions,
    routes: watch::Sender<Routes>,
    /// The assignments that were last sent to every dispatcher.
    applied_assignments: Arc<AssignmentView>,
    dispatchers: JoinSet<()>,
    in_flight_replies: JoinSet<()>,
}

impl Router {
    /// Creates the router and a watch on its routes.
    #[must_use]
    pub fn new(options: RouterOptions) -> (Self, watch::Receiver<Routes>) {
        let (routes, receiver) = watch::channel(Routes::default());
        (
            Self {
                options,
                routes,
                applied_assignments: Arc::default(),
                dispatchers: JoinSet::new(),
                in_flight_replies: JoinSet::new(),
            },
            receiver,
        )
    }

    /// Follows the document and the instance list until `stop` resolves, then waits until every
    /// dispatcher has finished its requests.
    pub async fn serve(mut self, mut stop: oneshot::Receiver<()>) {
        loop {
            tokio::select! {
                _ = &mut stop => break,
                Ok(()) = self.options.config.changed() => self.update().await,
                Ok(()) = self.options.instances.changed() => self.update().await,
                Some(observation) = self.options.peer_observations.recv() =>
                    self.forward_observation(&observation),
                Ok(()) = self.options.assignments.changed() => self.update().await,
                Some(query) = self.options.queries.recv() =>
                    self.answer_query(query).await,
                Some(_) = self.dispatchers.join_next() => {}
                Some(_) = self.in_flight_replies.join_next() => {}
            }
        }
        self.in_flight_replies.shutdown().await;
        let routes = self.routes.send_replace(Routes::default());
        for dispatch in routes.values() {
            let _ = dispatch.messages.send(DispatchMessage::Stop).await;
        }
        drop(routes);
        while self.dispatchers.join_next().await.is_some() {}
    }

    fn forward_observation(&self, observation: &PeerObservation) {
        for dispatch in self.routes.borrow().values() {
            let message = DispatchMessage::PeerObserved(observation.clone());
            let _ = dispatch.messages.try_send(message);
        }
    }

    async fn update(&mut self) {
        let Some(document) = self.options.config.borrow().clone() else {
            return;
        };
        let assignments = self.options.assignments.borrow_and_update().clone();
        let old = self.routes.borrow().clone();
        let mut new = FastMap::default();
        for name in document.fields.services.keys() {
            let view = self.service_view(&document, &assignments, name);
            let Some(view) = view else { continue };
            let mut dispatch = old
                .get(name)
                .cloned()
                .unwrap_or_else(|| self.start_dispatcher(&view));
            dispatch.body_limit_bytes = view.fields.body_limit_bytes;
            dispatch.default_deadline_ms = view.fields.default_deadline_ms;
            dispatch.request_limit_ms = view.fields.request_limit_ms;
            let message = DispatchMessage::Configure(Arc::new(view));
            let _ = dispatch.messages.send(message).await;
            new.insert(Arc::clone(name), dispatch);
        }
        for (name, dispatch) in old.iter() {
            if !new.contains_key(name) {
                let _ = dispatch.messages.send(DispatchMessage::Stop).await;
            }
        }
        self.routes.send_replace(Arc::new(new));
        self.applied_assignments = assignments;
    }

    /// Asks every dispatcher for its requests in flight on an instance. The applied assignments
    /// went through the same channels before the query, so that a dispatcher whose instance was
    /// unassigned sends it no request after the answer.
    async fn answer_query(&mut self, query: InFlightQuery) {
        let InFlightQuery { instance, reply } = query;
        let Some(epoch) = self
            .applied_assignments
            .record(&instance)
            .map(|record| record.epoch)
        else {
            let _ = reply.send(None);
            return;
        };
        let routes = self.routes.borrow().clone();
        let mut counts = Vec::new();
        for dispatch in routes.values() {
            let (reply, count) = oneshot::channel();
            let instance = Arc::clone(&instance);
            let message = DispatchMessage::InFlight { instance, reply };
            if dispatch.messages.send(message).await.is_ok() {
                counts.push(count);
            }
        }
        self.in_flight_replies.spawn(async move {
            let mut in_flight = 0;
            for count in counts {
                match count.await {
                    Ok(count) => in_flight += count,
                    Err(_) => return,
                }
            }
            let _ = reply.send(Some(InFlightReport { epoch, in_flight }));
        });
    }

    fn service_view(
        &self,
        document: &Document<Accepted>,
        assignments: &AssignmentView,
        name: &Arc<str>,
    ) -> Option<ServiceView> {
        let fields = document.fields.services.get(name)?.clone();
        let snapshot = self.options.instances.borrow().clone();
        let instances = snapshot
            .instances
            .iter()
            .filter(|record| {
                assignments.registered
                    && assignments
                        .record(&record.name)
                        .is_some_and(|record| record.serves(&fields.pool))
            })
            .filter(|record| record.state == InstanceState::Live)
            .cloned()
            .collect();
        let version = document.state.version;
        Some(ServiceView {
            name: Arc::clone(name),
            version,
            fields,
            instances,
            unlisted: snapshot.unlisted,
        })
    }

    fn start_dispatcher(&mut self, view: &ServiceView) -> DispatcherHandle {
        let options = DispatcherOptions {
            clock: ClockHandle::clone(&self.options.clock),
            events: self.options.events.clone(),
            metrics: Metrics::clone(&self.options.metrics),
            slots: self.options.slots.clone(),
            refusals: self.options.refusals.clone(),
        };
        let (messages, task) = dispatcher::make(options, view.clone());
        self.dispatchers.spawn(task.serve());
        DispatcherHandle {
            messages,
            body_limit_bytes: view.fields.body_limit_bytes,
            default_deadline_ms: view.fields.default_deadline_ms,
            request_limit_ms: view.fields.request_limit_ms,
        }
    }
}
