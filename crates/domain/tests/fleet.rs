//! Moves of instances between pools, over several daemons, controllers and a model of the store.

#![allow(clippy::unwrap_used, reason = "test code fails loudly")]

use rosemaryscale_domain::member::MemberId;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use quickcheck::{Arbitrary, Gen, QuickCheck};
use rosemaryscale_domain::Millis;
use rosemaryscale_domain::assignment::ZoneAssignments;
use rosemaryscale_domain::drain::DrainReport;
use rosemaryscale_domain::fleet::{
    FleetAction, FleetController, FleetRequest, FleetSnapshot, ListedInstance, StoredZone,
};
use rosemaryscale_domain::map::FastSet;

const DAEMONS: usize = 3;
const INSTANCES: usize = 3;
const REQUEST_LIMIT_MS: u64 = 1_000;
const STEP_MS: u64 = 200;
const SEED: u64 = 0x5eed;

/// One step of a schedule.
#[derive(Clone, Debug)]
enum Step {
    /// A daemon sees the next change of the store.
    Watch(usize),
    /// A daemon sends a request to an instance if its view allows it.
    Send(usize, usize),
    /// A daemon's requests to an instance end.
    Answer(usize, usize),
    /// A daemon is killed; its requests run on at the upstream.
    Kill(usize),
    /// A killed daemon starts again and registers.
    Start(usize),
    /// An operator or a policy asks for a change.
    Request(usize, u8),
    /// The controller looks and acts; its writes may be lost.
    Control,
    /// Another controller takes the lease.
    ChangeController,
    /// Time passes.
    Wait,
}

impl Arbitrary for Step {
    fn arbitrary(source: &mut Gen) -> Self {
        let pick = |source: &mut Gen, count: usize| usize::arbitrary(source) % count;
        match pick(source, 16) {
            0..=3 => Self::Watch(pick(source, DAEMONS)),
            4..=6 => Self::Send(pick(source, DAEMONS), pick(source, INSTANCES)),
            7 => Self::Answer(pick(source, DAEMONS), pick(source, INSTANCES)),
            8 => Self::Kill(pick(source, DAEMONS)),
            9 => Self::Start(pick(source, DAEMONS)),
            10 => Self::Request(pick(source, INSTANCES), u8::arbitrary(source)),
            11 | 12 => Self::Control,
            13 => Self::ChangeController,
            _ => Self::Wait,
        }
    }
}

/// State of the store that a watch delivers.
#[derive(Clone, Debug, Default)]
struct Stored {
    zone: StoredZone,
    members: Vec<MemberId>,
}

#[derive(Clone, Debug)]
struct Running {
    daemon: Option<usize>,
    instance: usize,
    pool: Arc<str>,
    ends: Millis,
}

#[derive(Clone, Debug, Default)]
struct Daemon {
    incarnation: Option<u32>,
    view: Stored,
    pending: VecDeque<Stored>,
}

struct Model {
    now: Millis,
    revision: u64,
    stored: Stored,
    daemons: Vec<Daemon>,
    incarnations: u32,
    running: Vec<Running>,
    controller: FleetController,
    pools: FastSet<Arc<str>>,
    listed: Vec<ListedInstance>,
    finished_moves: u32,
}

fn zone() -> Arc<str> {
    "zone-1".into()
}

fn name(instance: usize) -> Arc<str> {
    format!("instance-{instance}").into()
}

impl Model {
    fn new() -> Self {
        let listed = (0..INSTANCES)
            .map(|number| ListedInstance {
                name: name(number),
                zone: zone(),
                pool_hint: "a".into(),
            })
            .collect();
        Self {
            now: Millis::from_ms(10_000),
            revision: 1,
            stored: Stored::default(),
            daemons: vec![Daemon::default(); DAEMONS],
            incarnations: 0,
            running: Vec::new(),
            controller: FleetController::new(Millis::from_ms(10_000)),
            pools: ["a", "b"].map(Arc::from).into_iter().collect(),
            listed,
            finished_moves: 0,
        }
    }

    fn member(&self, daemon: usize) -> Option<MemberId> {
        let incarnation = self.daemons[daemon].incarnation?;
        Some(MemberId {
            name: format!("entry-{daemon}").into(),
            incarnation: incarnation.to_string().into(),
        })
    }

    fn publish(&mut self) {
        for daemon in &mut self.daemons {
            daemon.pending.push_back(self.stored.clone());
        }
    }

    fn control(&mut self) {
        let zones = self.zones();
        let (listed, pools) = (self.listed.clone(), self.pools.clone());
        let members = self.stored.members.clone();
        let snapshot = FleetSnapshot {
            zones: &zones,
            members: &members,
            listed: Some(&listed),
            pools: &pools,
            request_limit_ms: REQUEST_LIMIT_MS,
        };
        for action in self.controller.advance(&snapshot, self.now) {
            self.carry_out(action);
        }
    }

    fn zones(&self) -> BTreeMap<Arc<str>, StoredZone> {
        let mut zones = BTreeMap::new();
        if self.stored.zone.mod_revision > 0 {
            zones.insert(zone(), self.stored.zone.clone());
        }
        zones
    }

    fn carry_out(&mut self, action: FleetAction) {
        match action {
            FleetAction::Write {
                mod_revision,
                assignments,
                ..
            } => {
                if mod_revision == self.stored.zone.mod_revision {
                    self.write(assignments);
                }
            }
            FleetAction::Ask {
                member,
                instance,
                epoch,
            } => {
                let asked =
                    (0..DAEMONS).find(|daemon| self.member(*daemon).as_ref() == Some(&member));
                let Some(daemon) = asked else { return };
                let report = self.report(daemon, &instance);
                assert!(epoch > 0);
                if let Some(report) = report {
                    self.controller.report(&instance, member, report);
                }
            }
        }
    }

    /// What a daemon answers: the epoch that it acts on and its requests in flight.
    fn report(&self, daemon: usize, instance: &str) -> Option<DrainReport> {
        let record = self.daemons[daemon]
            .view
            .zone
            .assignments
            .instances
            .get(instance)?;
        let in_flight = self
            .running
            .iter()
            .filter(|running| {
                running.daemon == Some(daemon) && *name(running.instance) == *instance
            })
            .count();
        Some(DrainReport {
            epoch: record.epoch,
            in_flight: u32::try_from(in_flight).unwrap(),
        })
    }

    fn write(&mut self, assignments: ZoneAssignments) {
        for (instance, record) in &assignments.instances {
            let old = self.stored.zone.assignments.instances.get(instance);
            if old.is_some_and(|old| old.pool != record.pool) {
                self.finished_moves += 1;
            }
        }
        self.revision += 1;
        self.stored.zone = StoredZone {
            mod_revision: self.revision,
            assignments,
        };
        self.publish();
    }

    fn step(&mut self, step: &Step) {
        match *step {
            Step::Watch(daemon) => {
                if let Some(next) = self.daemons[daemon].pending.pop_front() {
                    self.daemons[daemon].view = next;
                }
            }
            Step::Send(daemon, instance) => self.send(daemon, instance),
            Step::Answer(daemon, instance) => self
                .running
                .retain(|running| running.daemon != Some(daemon) || running.instance != instance),
            Step::Kill(daemon) => {
                self.daemons[daemon] = Daemon::default();
                for running in &mut self.running {
                    if running.daemon == Some(daemon) {
                        running.daemon = None;
                    }
                }
            }
            Step::Start(daemon) => self.start(daemon),
            Step::Request(instance, kind) => self.request(instance, kind),
            Step::Control => self.control(),
            Step::ChangeController => self.controller = FleetController::new(self.now),
            Step::Wait => self.now = self.now.after_ms(STEP_MS),
        }
        let now = self.now;
        self.running.retain(|running| running.ends > now);
    }

    fn start(&mut self, daemon: usize) {
        if self.daemons[daemon].incarnation.is_some() {
            return;
        }
        self.incarnations += 1;
        self.daemons[daemon].incarnation = Some(self.incarnations);
        self.daemons[daemon].view = self.stored.clone();
        self.daemons[daemon].pending.clear();
        let member = self.member(daemon).unwrap();
        self.stored
            .members
            .retain(|other| other.name != member.name);
        self.stored.members.push(member);
        self.publish();
    }

    fn send(&mut self, daemon: usize, instance: usize) {
        let Some(member) = self.member(daemon) else {
            return;
        };
        let view = &self.daemons[daemon].view;
        if !view.members.contains(&member) {
            return;
        }
        let Some(record) = view.zone.assignments.instances.get(&name(instance)) else {
            return;
        };
        if record.serves(&record.pool) {
            let pool = Arc::clone(&record.pool);
            let ends = self.now.after_ms(REQUEST_LIMIT_MS);
            self.running.push(Running {
                daemon: Some(daemon),
                instance,
                pool,
                ends,
            });
        }
    }

    fn request(&mut self, instance: usize, kind: u8) {
        let instance = name(instance);
        let request = match kind % 4 {
            0 => FleetRequest::Drain { instance },
            1 => FleetRequest::Undrain { instance },
            2 => FleetRequest::Move {
                instance,
                to: "b".into(),
            },
            _ => FleetRequest::Move {
                instance,
                to: "a".into(),
            },
        };
        let zones = self.zones();
        let (listed, pools) = (self.listed.clone(), self.pools.clone());
        let members = self.stored.members.clone();
        let snapshot = FleetSnapshot {
            zones: &zones,
            members: &members,
            listed: Some(&listed),
            pools: &pools,
            request_limit_ms: REQUEST_LIMIT_MS,
        };
        if let Ok(action) = self.controller.request(&request, &snapshot) {
            self.carry_out(action);
        }
    }

    /// Whether requests of two pools run on one instance.
    fn is_mixed(&self) -> bool {
        (0..INSTANCES).any(|instance| {
            let mut pools: Vec<&Arc<str>> = self
                .running
                .iter()
                .filter(|running| running.instance == instance)
                .map(|running| &running.pool)
                .collect();
            pools.sort();
            pools.dedup();
            pools.len() > 1
        })
    }
}

fn never_two_pools_on_one_instance(steps: Vec<Step>) -> bool {
    let mut model = Model::new();
    model.control();
    steps.iter().all(|step| {
        model.step(step);
        !model.is_mixed()
    })
}

/// Guards against two services on one instance when a move finishes while a lagging, killed or
/// restarted daemon still has requests there, at each phase and across controller changes.
#[test]
fn an_instance_serves_one_pool_at_a_time() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(400, SEED))
        .tests(3_000)
        .quickcheck(never_two_pools_on_one_instance as fn(Vec<Step>) -> bool);
}

/// Guards against a safety rule that holds because nothing ever moves.
#[test]
fn a_move_finishes_once_every_member_has_reported() {
    let mut model = Model::new();
    model.control();
    (0..DAEMONS).for_each(|daemon| model.start(daemon));
    model.control();
    model.request(0, 2);
    model.now = model.now.after_ms(REQUEST_LIMIT_MS);
    model.control();
    assert_eq!(
        model.finished_moves, 0,
        "no member has seen the leaving record yet"
    );
    for daemon in 0..DAEMONS {
        while !model.daemons[daemon].pending.is_empty() {
            model.step(&Step::Watch(daemon));
        }
    }
    for _ in 0..5 {
        model.step(&Step::Wait);
        model.control();
    }
    assert_eq!(model.finished_moves, 1);
}

/// Guards against a drain of an unknown or leaving instance that changes something.
#[test]
fn impossible_requests_are_refused_with_a_remedy() {
    let mut zone = ZoneAssignments::default();
    let instance: Arc<str> = "instance-1".into();
    let unknown = zone.leave(&instance, None).unwrap_err().to_string();
    assert!(unknown.contains("see rosemaryscale pools"), "{unknown}");
    zone.adopt(&instance, &"a".into());
    let epoch = zone.leave(&instance, Some("b".into())).unwrap();
    let before = zone.clone();
    assert!(
        zone.leave(&instance, None)
            .unwrap_err()
            .to_string()
            .contains("wait")
    );
    assert!(
        zone.undrain(&instance)
            .unwrap_err()
            .to_string()
            .contains("wait")
    );
    assert!(zone.finish(&instance, epoch - 1).is_err());
    assert_eq!(zone, before);
}
