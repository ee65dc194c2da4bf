//! Traffic of the cluster: the network between daemons, their dispatchers, and the upstreams.

use super::*;

impl Cluster {
    pub(super) fn send(&mut self, index: usize, to: DaemonKey, payload: Payload) {
        let from = self.nodes[index].key;
        self.messages[index] += 1;
        self.message_bytes[index] += (self.size_of)(&self.directory, from, to, &payload);
        let Some(node) = self.nodes.iter().position(|node| node.key == to) else {
            return;
        };
        let copies = if self.rng.random_range(0..1_000_000) < self.options.loss_ppm {
            0
        } else if self.rng.random_range(0..1_000_000) < self.options.duplicate_ppm {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let delay = self.delay();
            let payload = payload.clone();
            self.schedule(
                delay,
                Event::Message {
                    node,
                    from,
                    to,
                    payload,
                },
            );
        }
    }

    fn delay(&mut self) -> u64 {
        let (least, most) = self.options.delay_us;
        self.rng.random_range(least..=most)
    }

    pub(super) fn dispatch(&mut self, index: usize) {
        let now = self.now();
        loop {
            let node = &mut self.nodes[index];
            let fits = |limit: &&Limit| {
                let in_flight = node.in_flight.get(&limit.slot).copied().unwrap_or_default();
                now < limit.until && in_flight < limit.slots
            };
            let in_flight = |limit: &&Limit| node.in_flight.get(&limit.slot).copied();
            let least = node.limits.values().filter(fits).min_by_key(in_flight);
            let Some(slot) = least.map(|limit| limit.slot) else {
                break;
            };
            let Some(job) = node.queue.pop_front() else {
                break;
            };
            *node.in_flight.entry(slot).or_default() += 1;
            let generation = node.generation;
            *self.executing.entry((index, generation, slot)).or_default() += 1;
            let delay = self.delay();
            self.schedule(
                delay,
                Event::AtUpstream {
                    node: index,
                    slot,
                    generation,
                    job,
                },
            );
        }
    }

    /// Tells the slot task what changed: at once when requests begin to wait or `always`.
    pub(super) fn say(&mut self, index: usize, always: bool) {
        let node = &mut self.nodes[index];
        let service_use = ServiceUse {
            blocked: Vec::new(),
            applied: node.applied,
            queued: u32::try_from(node.queue.len()).unwrap_or(u32::MAX),
            in_flight: node
                .in_flight
                .iter()
                .map(|(slot, count)| (*slot, *count))
                .collect(),
        };
        let waited = node.said.as_ref().is_some_and(|said| said.queued > 0);
        let begins = service_use.queued > 0 && !waited;
        if (always || begins) && node.said.as_ref() != Some(&service_use) {
            node.said = Some(service_use.clone());
            let generation = node.generation;
            let event = Event::Use {
                node: index,
                service_use,
                generation,
            };
            self.schedule(LOCAL_DELAY_US, event);
        }
    }

    pub(super) fn at_upstream(&mut self, event: Event) {
        match event {
            Event::AtUpstream {
                node,
                slot,
                generation,
                job,
            } => {
                let limit = self.options.capacity.slots;
                let Some(instance) = self.instances.get_mut(&slot) else {
                    return;
                };
                if instance.busy >= limit {
                    instance.refused += 1;
                    self.ended(node, generation, slot);
                    let delay = self.delay();
                    let refused = Some(job);
                    self.schedule(
                        delay,
                        Event::Ended {
                            node,
                            slot,
                            generation,
                            refused,
                        },
                    );
                    return;
                }
                instance.busy += 1;
                instance.busy_max = instance.busy_max.max(instance.busy);
                self.executions.push(Execution {
                    arrived_us: job.arrived_us,
                    started_us: self.now_us,
                    service_us: job.service_us,
                });
                self.schedule(
                    job.service_us,
                    Event::Executed {
                        node,
                        slot,
                        generation,
                    },
                );
            }
            Event::Executed {
                node,
                slot,
                generation,
            } => {
                if let Some(instance) = self.instances.get_mut(&slot) {
                    instance.busy -= 1;
                }
                self.ended(node, generation, slot);
                let delay = self.delay();
                let refused = None;
                self.schedule(
                    delay,
                    Event::Ended {
                        node,
                        slot,
                        generation,
                        refused,
                    },
                );
            }
            _ => {}
        }
    }

    fn ended(&mut self, node: usize, generation: u32, slot: SlotKey) {
        if let Some(count) = self.executing.get_mut(&(node, generation, slot)) {
            *count -= 1;
        }
    }
}
