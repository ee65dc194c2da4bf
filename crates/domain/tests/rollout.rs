//! Property tests of the roll-out state machines of several daemons with one store and concurrent
//! operators, under seeded schedules of faults.

use std::collections::{BTreeMap, BTreeSet};

use quickcheck::{Gen, QuickCheck};
use rosemaryscale_domain::document::{Accepted, DocumentFields, EnvironmentFields};
use rosemaryscale_domain::prelude::*;
use rosemaryscale_domain::proposal::{
    AcceptedChange, Draft, Proposal, ProposalEnd, ProposalEvent, ProposalStep, StoredHead,
};
use rosemaryscale_domain::rollout::Adoption;
use rosemaryscale_domain::{Document, InForce};

const DAEMONS: usize = 4;
const SEED: u64 = 0x0005_5b01;
const SCHEDULES: u64 = 3_000;
const STEPS: usize = 160;

/// Returns an accepted document. Its fields are not checked, since validation is not under test
/// here.
fn document(version: u64, digest: &Arc<str>) -> Arc<Document<Accepted>> {
    let environment = EnvironmentFields { spare_instances: 0 };
    let fields = DocumentFields {
        format: 1,
        environments: BTreeMap::from([("production".into(), environment)]),
        pools: BTreeMap::new(),
        services: BTreeMap::new(),
        maintenance: Default::default(),
    };
    let parsed = Document::parsed(Arc::clone(digest), Arc::clone(digest), fields);
    Arc::new(Document {
        text: parsed.text,
        digest: parsed.digest,
        fields: parsed.fields,
        state: Accepted { version },
    })
}

/// The part of the platform's store that proposals use.
#[derive(Default)]
struct Store {
    revision: u64,
    head: Option<StoredHead>,
    history: BTreeMap<u64, AcceptedChange>,
    down: bool,
}

impl Store {
    fn write(&mut self, draft: Draft, change: AcceptedChange) -> bool {
        let revision = self.head.as_ref().map_or(0, |head| head.revision);
        if revision != draft.revision {
            return false;
        }
        self.revision += 1;
        for version in draft.expired_history() {
            self.history.remove(&version);
        }
        self.history.insert(change.version, change.clone());
        self.head = Some(StoredHead {
            revision: self.revision,
            change,
        });
        true
    }
}

/// Fault that is injected into the next write.
#[derive(Clone, Copy, PartialEq)]
enum NextWrite {
    Answered,
    /// The write takes effect, but its reply is lost.
    ReplyLost,
    /// The reply is lost, and the write takes effect later or never.
    Delayed,
}

struct RunningProposal {
    id: Arc<str>,
    daemon: usize,
    expected: Option<u64>,
    proposal: Proposal,
    step: ProposalStep,
}

struct World {
    store: Store,
    daemons: Vec<InForce>,
    running: Vec<RunningProposal>,
    ended: Vec<(Arc<str>, ProposalEnd)>,
    /// Documents in transit to a daemon, from the watch or from a peer.
    messages: Vec<(usize, u64, Arc<str>)>,
    delayed: Vec<(Draft, AcceptedChange)>,
    next_write: NextWrite,
    winners: BTreeMap<u64, Arc<str>>,
    changes: u64,
    rolled_back: bool,
}

impl World {
    fn new() -> Self {
        Self {
            store: Store::default(),
            daemons: vec![InForce::default(); DAEMONS],
            running: Vec::new(),
            ended: Vec::new(),
            messages: Vec::new(),
            delayed: Vec::new(),
            next_write: NextWrite::Answered,
            winners: BTreeMap::new(),
            changes: 0,
            rolled_back: false,
        }
    }

    fn perform(
        &mut self,
        operation: u8,
        first_operand: u8,
        second_operand: u8,
    ) -> Result<(), String> {
        let daemon = usize::from(first_operand) % DAEMONS;
        let peer = usize::from(second_operand) % DAEMONS;
        match operation % 16 {
            0 | 1 => self.propose(daemon, second_operand.is_multiple_of(3)),
            2..=6 => self.run_step(usize::from(first_operand))?,
            7 => self.resubmit(usize::from(first_operand), peer),
            8 => {
                if let Some((to, version, digest)) = self.take_message(first_operand) {
                    self.deliver(to, version, &digest)?;
                }
            }
            9 => drop(self.take_message(first_operand)),
            10 => {
                let copy = self.messages.get(usize::from(first_operand)).cloned();
                self.messages.extend(copy);
            }
            11 => self.gossip(daemon, peer),
            12 => self.store.down = first_operand.is_multiple_of(4),
            13 => {
                self.next_write =
                    [NextWrite::ReplyLost, NextWrite::Delayed][usize::from(first_operand % 2)];
            }
            14 if !self.delayed.is_empty() => {
                let (draft, change) = self
                    .delayed
                    .swap_remove(usize::from(first_operand) % self.delayed.len());
                self.write(draft, change)?;
            }
            15 if first_operand.is_multiple_of(8) => self.roll_back_store(second_operand),
            _ => self.watch(daemon),
        }
        Ok(())
    }

    fn take_message(&mut self, position: u8) -> Option<(usize, u64, Arc<str>)> {
        let count = self.messages.len();
        (count > 0).then(|| self.messages.swap_remove(usize::from(position) % count))
    }

    fn known_version(&self, daemon: usize) -> u64 {
        let others = self
            .daemons
            .iter()
            .map(InForce::version)
            .max()
            .unwrap_or_default();
        let own = self.daemons[daemon].known_version();
        // Live peers are polled before a write. Their versions matter only after a store rollback.
        if self.rolled_back {
            own.max(others)
        } else {
            own
        }
    }

    fn propose(&mut self, daemon: usize, expect: bool) {
        self.changes += 1;
        let id = format!("change-{}", self.changes).into();
        let expected = expect.then(|| self.known_version(daemon));
        self.start(id, daemon, expected);
    }

    fn start(&mut self, id: Arc<str>, daemon: usize, expected: Option<u64>) {
        let proposal = Proposal::new(
            Arc::clone(&id),
            Arc::clone(&id),
            expected,
            self.known_version(daemon),
        );
        let step = ProposalStep::Read;
        self.running.push(RunningProposal {
            id,
            daemon,
            expected,
            proposal,
            step,
        });
    }

    /// Submits the same change to another daemon while the first attempt may still be running.
    fn resubmit(&mut self, position: usize, daemon: usize) {
        if let Some(first) = self.running.get(position % self.running.len().max(1)) {
            let (id, expected) = (Arc::clone(&first.id), first.expected);
            self.start(id, daemon, expected);
        }
    }

    fn run_step(&mut self, position: usize) -> Result<(), String> {
        if self.running.is_empty() {
            return Ok(());
        }
        let position = position % self.running.len();
        let (id, step) = (
            Arc::clone(&self.running[position].id),
            self.running[position].step.clone(),
        );
        let event = match step {
            ProposalStep::End(end) => {
                let ended = self.running.swap_remove(position);
                return self.end(ended, end);
            }
            _ if self.store.down => ProposalEvent::Failed {
                reason: "down".into(),
            },
            ProposalStep::Read => ProposalEvent::Read {
                head: self.store.head.clone(),
                own: self
                    .store
                    .history
                    .values()
                    .find(|change| change.change_id == id)
                    .cloned(),
            },
            ProposalStep::Write(draft) => self.send_write(draft, &id)?,
        };
        let running = &mut self.running[position];
        running.step = running.proposal.advance(event);
        Ok(())
    }

    fn send_write(&mut self, draft: Draft, id: &Arc<str>) -> Result<ProposalEvent, String> {
        let change = AcceptedChange {
            version: draft.version,
            digest: Arc::clone(id),
            change_id: Arc::clone(id),
            author: "test".into(),
            accepted_wall_ms: 0,
        };
        let lost = || ProposalEvent::Lost {
            reason: "lost".into(),
        };
        match std::mem::replace(&mut self.next_write, NextWrite::Answered) {
            NextWrite::Delayed => {
                self.delayed.push((draft, change));
                Ok(lost())
            }
            NextWrite::ReplyLost => self.write(draft, change).map(|_| lost()),
            NextWrite::Answered if self.write(draft, change)? => Ok(ProposalEvent::Written),
            NextWrite::Answered => Ok(ProposalEvent::NotWritten),
        }
    }

    fn write(&mut self, draft: Draft, change: AcceptedChange) -> Result<bool, String> {
        let id = Arc::clone(&change.change_id);
        if !self.store.write(draft, change) {
            return Ok(false);
        }
        match self.winners.insert(draft.version, Arc::clone(&id)) {
            Some(other) => Err(format!(
                "{other} and {id} both won version {}",
                draft.version
            )),
            None if self
                .winners
                .values()
                .filter(|winner| **winner == id)
                .count()
                > 1 =>
            {
                Err(format!("{id} took effect twice"))
            }
            None => Ok(true),
        }
    }

    fn end(&mut self, ended: RunningProposal, end: ProposalEnd) -> Result<(), String> {
        if let ProposalEnd::Accepted { version, digest } = &end {
            if *digest != ended.id || self.winners.get(version) != Some(&ended.id) {
                return Err(format!(
                    "{} is reported as accepted under {version}, but is not",
                    ended.id
                ));
            }
            self.deliver(ended.daemon, *version, digest)?;
        }
        self.ended.push((ended.id, end));
        Ok(())
    }

    fn deliver(&mut self, to: usize, version: u64, digest: &Arc<str>) -> Result<(), String> {
        let before = self.daemons[to].version();
        self.daemons[to].record_offer(version);
        let adoption = self.daemons[to].adopt(document(version, digest));
        if self.daemons[to].version() < before {
            return Err(format!(
                "daemon {to} went back from version {before} to {}",
                self.daemons[to].version()
            ));
        }
        if adoption == Adoption::Diverged {
            return Err(format!(
                "daemon {to} has another document of version {version}"
            ));
        }
        Ok(())
    }

    /// Enqueues the document key for delivery to a daemon by the watch.
    fn watch(&mut self, daemon: usize) {
        if let Some(head) = &self.store.head {
            let change = &head.change;
            self.messages
                .push((daemon, change.version, Arc::clone(&change.digest)));
        }
    }

    fn gossip(&mut self, from: usize, to: usize) {
        if let Some(document) = self.daemons[from].document() {
            self.messages
                .push((to, document.state.version, Arc::clone(&document.digest)));
        }
    }

    /// Makes the store lose the document or return to an older one, if no change is in progress.
    fn roll_back_store(&mut self, kind: u8) {
        if !self.running.is_empty() || !self.delayed.is_empty() {
            return;
        }
        self.rolled_back = true;
        self.store.revision += 1;
        let older = self.store.history.values().next().cloned();
        self.store.head = older
            .filter(|_| kind.is_multiple_of(2))
            .map(|change| StoredHead {
                revision: self.store.revision,
                change,
            });
    }

    /// Ends all faults, completes all changes and delivers all messages.
    fn recover(&mut self) -> Result<(), String> {
        self.store.down = false;
        self.next_write = NextWrite::Answered;
        while let Some((draft, change)) = self.delayed.pop() {
            self.write(draft, change)?;
        }
        while !self.running.is_empty() {
            self.run_step(0)?;
        }
        for from in 0..DAEMONS {
            self.watch(from);
            for to in 0..DAEMONS {
                self.gossip(from, to);
            }
        }
        while let Some((to, version, digest)) = self.take_message(0) {
            self.deliver(to, version, &digest)?;
        }
        Ok(())
    }

    fn check_final_state(&self) -> Result<(), String> {
        let versions: BTreeSet<u64> = self.daemons.iter().map(InForce::version).collect();
        if versions.len() != 1 {
            return Err(format!("the daemons end with versions {versions:?}"));
        }
        let newest = versions.first().copied().unwrap_or_default();
        for (id, end) in &self.ended {
            let took_effect = self.winners.values().any(|winner| winner == id);
            let other_attempt = self.ended.iter().any(|(other, end)| {
                other == id
                    && matches!(
                        end,
                        ProposalEnd::Unknown { .. } | ProposalEnd::Accepted { .. }
                    )
            });
            match end {
                ProposalEnd::Accepted { version, .. } if *version > newest => {
                    return Err(format!(
                        "{id} is accepted as {version} but {newest} is in force"
                    ));
                }
                ProposalEnd::Conflict { .. }
                    if took_effect && !self.rolled_back && !other_attempt =>
                {
                    return Err(format!("{id} took effect but was reported as a conflict"));
                }
                ProposalEnd::Unavailable { .. } if took_effect && !other_attempt => {
                    return Err(format!(
                        "{id} took effect but was reported as without effect"
                    ));
                }
                ProposalEnd::ConditionFailed => {
                    return Err(format!("{id} has no additional condition"));
                }
                _ => {}
            }
        }
        Ok(())
    }
}

fn run(schedule: &[(u8, u8, u8)]) -> Result<(), String> {
    let mut world = World::new();
    for (operation, first_operand, second_operand) in schedule {
        world.perform(*operation, *first_operand, *second_operand)?;
    }
    world.recover()?;
    world.check_final_state()
}

/// Guards against a daemon that goes back to a lower version, two changes that win the same
/// version, a change that takes effect twice, an incorrect reply to an operator, and an accepted
/// change that some daemon never receives. The schedules contain lost replies, delayed writes,
/// duplicated and reordered messages, store outages and concurrent operators.
#[test]
fn versions_never_go_back_and_each_has_one_winner() {
    fn property(schedule: Vec<(u8, u8, u8)>) -> Result<(), String> {
        run(&schedule)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(STEPS, SEED))
        .tests(SCHEDULES)
        .quickcheck(property as fn(Vec<(u8, u8, u8)>) -> Result<(), String>);
}

/// Guards against schedules with so few faults that the property above holds trivially.
#[test]
fn the_schedules_reach_every_kind_of_end() {
    let mut generator = Gen::from_size_and_seed(STEPS, SEED);
    let mut reached: BTreeMap<&str, u32> = BTreeMap::new();
    for _ in 0..SCHEDULES {
        let schedule: Vec<(u8, u8, u8)> = quickcheck::Arbitrary::arbitrary(&mut generator);
        let mut world = World::new();
        for (operation, first_operand, second_operand) in schedule {
            world
                .perform(operation, first_operand, second_operand)
                .expect("the property holds");
        }
        world.recover().expect("the property holds");
        let rolled_back = world.rolled_back && !world.winners.is_empty();
        *reached.entry("store rolled back").or_default() += u32::from(rolled_back);
        for (_, end) in &world.ended {
            let name = match end {
                ProposalEnd::Accepted { .. } => "accepted",
                ProposalEnd::Conflict { .. } => "conflict",
                ProposalEnd::Unknown { .. } => "unknown",
                ProposalEnd::Unavailable { .. } => "unavailable",
                ProposalEnd::ConditionFailed => "condition",
            };
            *reached.entry(name).or_default() += 1;
        }
    }
    for name in [
        "accepted",
        "conflict",
        "unknown",
        "unavailable",
        "store rolled back",
    ] {
        let count = reached.get(name).copied().unwrap_or_default();
        assert!(count >= 20, "{name} is reached {count} times: {reached:?}");
    }
}
