//! The two operators and their current sizes.

/// A service and its pool.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Service {
    pub(crate) name: &'static str,
    pub(crate) instances: u32,
    pub(crate) min_instances: u32,
    pub(crate) max_instances: u32,
    /// Mean time that a request takes.
    pub(crate) service_ms: u64,
    /// Time after which the caller gives up.
    pub(crate) deadline_ms: u64,
    pub(crate) spare: bool,
}

/// An operator and its services.
pub(crate) struct Operator {
    pub(crate) name: &'static str,
    pub(crate) spare_instances: u32,
    pub(crate) services: [Service; 5],
}

impl Operator {
    pub(crate) fn total(&self) -> u32 {
        self.services.iter().map(|service| service.instances).sum()
    }
}

const fn service(
    name: &'static str,
    [instances, min_instances, max_instances]: [u32; 3],
    service_ms: u64,
    deadline_ms: u64,
) -> Service {
    Service {
        name,
        instances,
        min_instances,
        max_instances,
        service_ms,
        deadline_ms,
        spare: false,
    }
}

const fn spare(service: Service) -> Service {
    Service {
        spare: true,
        ..service
    }
}

pub(crate) const KALAHARI: Operator = Operator {
    name: "Kalahari Draft Systems",
    spare_instances: 8,
    services: [
        service("quotes", [9, 6, 17], 80, 2_000),
        service("dispatch", [9, 6, 17], 60, 2_000),
        service("stores", [11, 8, 19], 120, 3_000),
        service("installs", [12, 8, 20], 200, 5_000),
        spare(service("backoffice", [8, 2, 8], 400, 30_000)),
    ],
};

pub(crate) const KARAMANLIS: Operator = Operator {
    name: "Karamanlis Keravnometria",
    spare_instances: 8,
    services: [
        service("tower-desk", [9, 6, 17], 40, 1_000),
        service("grid-office", [9, 6, 17], 100, 2_000),
        service("harbour-desk", [11, 8, 19], 80, 2_000),
        service("claims-office", [12, 8, 20], 250, 5_000),
        spare(service("family-desk", [8, 2, 8], 500, 30_000)),
    ],
};
