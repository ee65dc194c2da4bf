//! Members of the cluster: views, kills, restarts and freezes.

use rosemaryscale_domain::slots::{View, home_of, view_id};

use super::*;

impl Cluster {
    pub(super) fn set_view(&mut self, index: usize, number: usize) {
        let now = self.now();
        let node = &self.nodes[index];
        if number <= node.view {
            return;
        }
        let old = &self.views[node.view];
        let new = &self.views[number];
        let vanished = old
            .live
            .iter()
            .any(|(position, id)| new.live.get(position) != Some(id));
        let own = new.live.get(&index);
        let stayed = own.is_some() && old.live.get(&index) == own;
        let names: Vec<Arc<str>> = new
            .live
            .values()
            .map(|(id, _)| Arc::clone(&id.name))
            .collect();
        let tags: Vec<String> = new
            .live
            .values()
            .map(|(id, registered)| format!("{}/{registered}", id.incarnation))
            .collect();
        let id = view_id(
            names
                .iter()
                .map(|name| &**name)
                .zip(tags.iter().map(String::as_str)),
        );
        let live: Vec<DaemonKey> = new
            .live
            .values()
            .map(|(id, _)| self.directory.member(id))
            .collect();
        let mut homes = SecondaryMap::new();
        for slot in &self.slots {
            let Some(id) = self.directory.slot_id(*slot) else {
                continue;
            };
            let instance = Arc::clone(&id.instance);
            if let Some(position) =
                home_of(&instance, &names).and_then(|home| names.iter().position(|n| n == home))
            {
                homes.insert(*slot, live[position]);
            }
        }
        let view = View {
            id,
            live,
            homes: &homes,
            stayed,
            vanished,
        };
        let node = &mut self.nodes[index];
        node.view = number;
        node.slots.set_view(view, now);
        self.advance_slots(index);
    }

    fn publish(&mut self, change: impl FnOnce(&mut Members)) {
        let mut members = self.views[self.views.len() - 1].clone();
        change(&mut members);
        self.views.push(members);
        let number = self.views.len() - 1;
        for node in 0..self.nodes.len() {
            if self.nodes[node].isolated {
                continue;
            }
            let delay = self.rng.random_range(500..=self.options.view_delay_us);
            self.schedule(delay, Event::View { node, number });
        }
    }

    /// Kills a daemon; its executions go on.
    pub(crate) fn kill(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        if !node.alive {
            return;
        }
        node.alive = false;
        node.frozen = false;
        node.isolated = false;
        node.freeze += 1;
        node.backlog.clear();
        let (generation, freeze) = (self.nodes[index].generation, self.nodes[index].freeze);
        let event = Event::HeartbeatEnds {
            node: index,
            generation,
            freeze,
        };
        self.schedule(HEARTBEAT_US, event);
    }

    /// Starts a killed daemon again under the same name.
    pub(crate) fn restart(&mut self, index: usize) {
        if self.nodes[index].alive {
            return;
        }
        let generation = self.nodes[index].generation + 1;
        let freeze = self.nodes[index].freeze;
        self.nodes[index] = self.make_node(index, generation);
        self.nodes[index].freeze = freeze;
        let id = (self.nodes[index].member.clone(), 0);
        self.publish(|members| {
            members.live.insert(index, id);
        });
        self.start_node(index);
    }

    /// Freezes a daemon.
    pub(crate) fn freeze(&mut self, index: usize, for_us: u64) {
        let node = &mut self.nodes[index];
        if !node.alive || node.frozen || node.isolated {
            return;
        }
        node.frozen = true;
        node.freeze += 1;
        let (generation, freeze) = (node.generation, node.freeze);
        let left = self
            .rng
            .random_range(HEARTBEAT_US - 1_600_000..=HEARTBEAT_US);
        self.schedule(
            left,
            Event::HeartbeatEnds {
                node: index,
                generation,
                freeze,
            },
        );
        self.schedule(
            for_us,
            Event::Resume {
                node: index,
                freeze,
            },
        );
    }

    pub(super) fn heartbeat_ends(&mut self, index: usize, generation: u32, freeze: u32) {
        let node = &self.nodes[index];
        let gone = !node.alive || node.frozen || node.isolated;
        if gone && node.generation == generation && node.freeze == freeze {
            self.publish(|members| {
                members.live.remove(&index);
            });
        }
    }

    /// Cuts a daemon off from the platform; peers and upstreams stay reachable.
    pub(crate) fn isolate(&mut self, index: usize, for_us: u64) {
        let node = &mut self.nodes[index];
        if !node.alive || node.frozen || node.isolated {
            return;
        }
        node.isolated = true;
        node.freeze += 1;
        let (generation, freeze) = (node.generation, node.freeze);
        let left = self
            .rng
            .random_range(HEARTBEAT_US - 1_600_000..=HEARTBEAT_US);
        let node = index;
        self.schedule(
            left,
            Event::HeartbeatEnds {
                node,
                generation,
                freeze,
            },
        );
        self.schedule(for_us, Event::Rejoin { node, freeze });
    }

    pub(super) fn rejoin(&mut self, index: usize, freeze: u32) {
        if !self.nodes[index].alive || self.nodes[index].freeze != freeze {
            return;
        }
        self.nodes[index].isolated = false;
        let number = self.views.len() - 1;
        self.schedule(
            0,
            Event::View {
                node: index,
                number,
            },
        );
        self.register(index);
    }

    pub(super) fn resume(&mut self, index: usize, freeze: u32) {
        if !self.nodes[index].alive || self.nodes[index].freeze != freeze {
            return;
        }
        self.nodes[index].frozen = false;
        for event in std::mem::take(&mut self.nodes[index].backlog) {
            self.handle_at_node(index, event);
            self.check();
        }
        self.register(index);
    }

    /// Registers a daemon again whose heartbeat has ended.
    fn register(&mut self, index: usize) {
        if !self.views[self.views.len() - 1].live.contains_key(&index) {
            self.nodes[index].registered += 1;
            let id = (
                self.nodes[index].member.clone(),
                self.nodes[index].registered,
            );
            self.publish(|members| {
                members.live.insert(index, id);
            });
        }
    }
}
