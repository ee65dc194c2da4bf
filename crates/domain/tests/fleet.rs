//! Tests of moves of instances between pools, with several daemons, controllers and a model of the
//! store.

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
    /// A daemon's watch delivers the next change of the store.
    Watch(usize),
    /// A daemon sends a request to an instance if its view of the store allows that.
    Send(usize, usize),
    /// A daemon's requests to an instance end.
    Answer(usize, usize),
    /// A daemon is killed; its requests continue at the upstream.
    Kill(usize),
    /// A killed daemon starts again and registers.
    Start(usize),
    /// An operator or a policy requests a change.
    Request(usize, u8),
    /// The controller decides and acts; a write against an old revision fails.
    Control,
    /// Another controller takes the lease.
    ChangeController,
    /// Time passes.
    Wait,
}

impl Arbitrary for Step {
    fn arbitrary(source: &mut Gen) -> Self {
        let index_below = |source: &mut Gen, count: usize| usize::arbitrary(source) % count;
        match index_below(source, 16) {
            0..=3 => Self::Watch(index_below(source, DAEMONS)),
            4..=6 => Self::Send(index_below(source, DAEMONS), index_below(source, INSTANCES)),
            7 => Self::Answer(index_below(source, DAEMONS), index_below(source, INSTANCES)),
            8 => Self::Kill(index_below(source, DAEMONS)),
            9 => Self::Start(index_below(source, DAEMONS)),
            10 => Self::Request(index_below(source, INSTANCES), u8::arbitrary(source)),
            11 | 12 => Self::Control,
            13 => Self::ChangeController,
            _ => Self::Wait,
        }
    }
}

/// Content of the store, as a watch delivers it.
#[derive(Clone, Debug, Default)]
struct Stored {
    zone: StoredZone,
    members: Vec<MemberId>,
}

/// A request that runs at an instance.
#[derive(Clone, Debug)]
struct RunningRequest {
    daemon: Option<usize>,
    instance: usize,
    pool: Arc<str>,
    ends_at: Millis,
}

/// A daemon, its view of the store and the changes that its watch has not delivered yet.
#[derive(Clone, Debug, Default)]
struct Daemon {
    incarnation: Option<u32>,
    view: Stored,
    undelivered: VecDeque<Stored>,
}

struct Model {
    now: Millis,
    revision: u64,
    stored: Stored,
    daemons: Vec<Daemon>,
    incarnations: u32,
    running: Vec<RunningRequest>,
    controller: FleetController,
    pools: FastSet<Arc<str>>,
    listed: Vec<ListedInstance>,
    finished_moves: u32,
}

fn zone() -> Arc<str> {
    "zone-1".into()
}

fn instance_name(instance: usize) -> Arc<str> {
    format!("instance-{instance}").into()
}

impl Model {
    fn new() -> Self {
        let listed = (0..INSTANCES)
            .map(|number| ListedInstance {
                name: instance_name(number),
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
            daemon.undelivered.push_back(self.stored.clone());
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
            FleetAction::PollMember {
                member,
                instance,
                epoch,
            } => {
                let polled =
                    (0..DAEMONS).find(|daemon| self.member(*daemon).as_ref() == Some(&member));
                let Some(daemon) = polled else { return };
                let report = self.report(daemon, &instance);
                assert!(epoch > 0);
                if let Some(report) = report {
                    self.controller.record_report(&instance, member, report);
                }
            }
        }
    }

    /// Returns a daemon's report: the epoch that it acts on and its requests in flight.
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
                running.daemon == Some(daemon) && *instance_name(running.instance) == *instance
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
                if let Some(next) = self.daemons[daemon].undelivered.pop_front() {
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
        self.running.retain(|running| running.ends_at > now);
    }

    fn start(&mut self, daemon: usize) {
        if self.daemons[daemon].incarnation.is_some() {
            return;
        }
        self.incarnations += 1;
        self.daemons[daemon].incarnation = Some(self.incarnations);
        self.daemons[daemon].view = self.stored.clone();
        self.daemons[daemon].undelivered.clear();
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
        let Some(record) = view
            .zone
            .assignments
            .instances
            .get(&instance_name(instance))
        else {
            return;
        };
        if record.serves(&record.pool) {
            let pool = Arc::clone(&record.pool);
            let ends_at = self.now.after_ms(REQUEST_LIMIT_MS);
            self.running.push(RunningRequest {
                daemon: Some(daemon),
                instance,
                pool,
                ends_at,
            });
        }
    }

    fn request(&mut self, instance: usize, kind: u8) {
        let instance = instance_name(instance);
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

    /// Returns whether requests of two pools run on one instance.
    fn serves_two_pools(&self) -> bool {
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

fn at_most_one_pool_per_instance(steps: Vec<Step>) -> bool {
    let mut model = Model::new();
    model.control();
    steps.iter().all(|step| {
        model.step(step);
        !model.serves_two_pools()
    })
}

/// Guards against two pools on one instance: a move that finishes while a lagging, killed or restarted
/// daemon still has requests there, in any phase and across changes of the controller.
#[test]
fn an_instance_serves_one_pool_at_a_time() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(400, SEED))
        .tests(3_000)
        .quickcheck(at_most_one_pool_per_instance as fn(Vec<Step>) -> bool);
}

/// Guards against a safety property that holds only because no move ever finishes.
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
        while !model.daemons[daemon].undelivered.is_empty() {
            model.step(&Step::Watch(daemon));
        }
    }
    for _ in 0..5 {
        model.step(&Step::Wait);
        model.control();
    }
    assert_eq!(model.finished_moves, 1);
}

/// Guards against an impossible request that changes a record or whose error names no remedy.
#[test]
fn impossible_requests_are_refused_with_a_remedy() {
    let mut zone = ZoneAssignments::default();
    let instance: Arc<str> = "instance-1".into();
    let unknown = zone.leave(&instance, None).unwrap_err().to_string();
    assert!(unknown.contains("see rosemaryscale pools"), "{unknown}");
    zone.assign_new(&instance, &"a".into());
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
