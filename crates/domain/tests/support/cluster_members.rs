//! Simulated membership: views, kills, restarts, freezes and isolation.

use rosemaryscale_domain::slots::{MembershipView, owner_of, view_id};

use super::*;

impl Cluster {
    pub(super) fn set_view(&mut self, index: usize, number: usize) {
        let now = self.now();
        let daemon = &self.daemons[index];
        if number <= daemon.view {
            return;
        }
        let old = &self.views[daemon.view];
        let new = &self.views[number];
        let vanished = old
            .live
            .iter()
            .any(|(position, id)| new.live.get(position) != Some(id));
        let own = new.live.get(&index);
        let was_continuously_live = own.is_some() && old.live.get(&index) == own;
        let names: Vec<Arc<str>> = new
            .live
            .values()
            .map(|(id, _)| Arc::clone(&id.name))
            .collect();
        let incarnation_tags: Vec<String> = new
            .live
            .values()
            .map(|(id, registered)| format!("{}/{registered}", id.incarnation))
            .collect();
        let id = view_id(
            names
                .iter()
                .map(|name| &**name)
                .zip(incarnation_tags.iter().map(String::as_str)),
        );
        let live: Vec<DaemonKey> = new
            .live
            .values()
            .map(|(id, _)| self.directory.intern_member(id))
            .collect();
        let mut owners = SecondaryMap::new();
        for slot in &self.slots {
            let Some(id) = self.directory.slot_id(*slot) else {
                continue;
            };
            let instance = Arc::clone(&id.instance);
            if let Some(position) =
                owner_of(&instance, &names).and_then(|owner| names.iter().position(|n| n == owner))
            {
                owners.insert(*slot, live[position]);
            }
        }
        let view = MembershipView {
            id,
            live,
            owners: &owners,
            was_continuously_live,
            vanished,
        };
        let daemon = &mut self.daemons[index];
        daemon.view = number;
        daemon.slots.set_view(view, now);
        self.advance_slots(index);
    }

    fn publish_view(&mut self, change: impl FnOnce(&mut Membership)) {
        let mut members = self.views[self.views.len() - 1].clone();
        change(&mut members);
        self.views.push(members);
        let number = self.views.len() - 1;
        for daemon in 0..self.daemons.len() {
            if self.daemons[daemon].isolated {
                continue;
            }
            let delay = self.rng.random_range(500..=self.options.view_delay_us);
            self.schedule(delay, Event::View { daemon, number });
        }
    }

    /// Kills a daemon. Its running executions continue.
    pub(crate) fn kill(&mut self, index: usize) {
        let daemon = &mut self.daemons[index];
        if !daemon.alive {
            return;
        }
        daemon.alive = false;
        daemon.frozen = false;
        daemon.isolated = false;
        daemon.fault_epoch += 1;
        daemon.backlog.clear();
        let (generation, fault_epoch) = (
            self.daemons[index].generation,
            self.daemons[index].fault_epoch,
        );
        let event = Event::HeartbeatExpires {
            daemon: index,
            generation,
            fault_epoch,
        };
        self.schedule(HEARTBEAT_US, event);
    }

    /// Starts a killed daemon again under the same name.
    pub(crate) fn restart(&mut self, index: usize) {
        if self.daemons[index].alive {
            return;
        }
        let generation = self.daemons[index].generation + 1;
        let fault_epoch = self.daemons[index].fault_epoch;
        self.daemons[index] = self.new_daemon(index, generation);
        self.daemons[index].fault_epoch = fault_epoch;
        let id = (self.daemons[index].member.clone(), 0);
        self.publish_view(|members| {
            members.live.insert(index, id);
        });
        self.start_daemon(index);
    }

    /// Suspends a daemon for `duration_us`.
    pub(crate) fn freeze(&mut self, index: usize, duration_us: u64) {
        let daemon = &mut self.daemons[index];
        if !daemon.alive || daemon.frozen || daemon.isolated {
            return;
        }
        daemon.frozen = true;
        daemon.fault_epoch += 1;
        let (generation, fault_epoch) = (daemon.generation, daemon.fault_epoch);
        let remaining_us = self
            .rng
            .random_range(HEARTBEAT_US - 1_600_000..=HEARTBEAT_US);
        self.schedule(
            remaining_us,
            Event::HeartbeatExpires {
                daemon: index,
                generation,
                fault_epoch,
            },
        );
        self.schedule(
            duration_us,
            Event::Resume {
                daemon: index,
                fault_epoch,
            },
        );
    }

    pub(super) fn heartbeat_expires(&mut self, index: usize, generation: u32, fault_epoch: u32) {
        let daemon = &self.daemons[index];
        let is_silent = !daemon.alive || daemon.frozen || daemon.isolated;
        if is_silent && daemon.generation == generation && daemon.fault_epoch == fault_epoch {
            self.publish_view(|members| {
                members.live.remove(&index);
            });
        }
    }

    /// Cuts a daemon off from the platform. Peers and upstreams stay reachable.
    pub(crate) fn isolate(&mut self, index: usize, duration_us: u64) {
        let daemon = &mut self.daemons[index];
        if !daemon.alive || daemon.frozen || daemon.isolated {
            return;
        }
        daemon.isolated = true;
        daemon.fault_epoch += 1;
        let (generation, fault_epoch) = (daemon.generation, daemon.fault_epoch);
        let remaining_us = self
            .rng
            .random_range(HEARTBEAT_US - 1_600_000..=HEARTBEAT_US);
        let daemon = index;
        self.schedule(
            remaining_us,
            Event::HeartbeatExpires {
                daemon,
                generation,
                fault_epoch,
            },
        );
        self.schedule(
            duration_us,
            Event::Rejoin {
                daemon,
                fault_epoch,
            },
        );
    }

    pub(super) fn rejoin(&mut self, index: usize, fault_epoch: u32) {
        if !self.daemons[index].alive || self.daemons[index].fault_epoch != fault_epoch {
            return;
        }
        self.daemons[index].isolated = false;
        let number = self.views.len() - 1;
        self.schedule(
            0,
            Event::View {
                daemon: index,
                number,
            },
        );
        self.register_if_missing(index);
    }

    pub(super) fn resume(&mut self, index: usize, fault_epoch: u32) {
        if !self.daemons[index].alive || self.daemons[index].fault_epoch != fault_epoch {
            return;
        }
        self.daemons[index].frozen = false;
        for event in std::mem::take(&mut self.daemons[index].backlog) {
            self.handle_at_daemon(index, event);
            self.check_limits();
        }
        self.register_if_missing(index);
    }

    /// Registers a daemon again if its heartbeat has expired.
    fn register_if_missing(&mut self, index: usize) {
        if !self.views[self.views.len() - 1].live.contains_key(&index) {
            self.daemons[index].registrations += 1;
            let id = (
                self.daemons[index].member.clone(),
                self.daemons[index].registrations,
            );
            self.publish_view(|members| {
                members.live.insert(index, id);
            });
        }
    }
}
