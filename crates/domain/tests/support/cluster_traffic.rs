//! Simulated traffic: the network between daemons, their dispatchers, and the upstreams.

use super::*;

impl Cluster {
    pub(super) fn send(&mut self, index: usize, to: DaemonKey, payload: Payload) {
        let from = self.daemons[index].key;
        self.messages[index] += 1;
        self.message_bytes[index] += (self.size_of)(&self.directory, from, to, &payload);
        let Some(daemon) = self.daemons.iter().position(|daemon| daemon.key == to) else {
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
                    daemon,
                    from,
                    to,
                    payload,
                },
            );
        }
    }

    fn delay(&mut self) -> u64 {
        let (min, max) = self.options.delay_us;
        self.rng.random_range(min..=max)
    }

    pub(super) fn dispatch(&mut self, index: usize) {
        let now = self.now();
        loop {
            let daemon = &mut self.daemons[index];
            let has_free_slot = |limit: &&SlotLimit| {
                let in_flight = daemon
                    .in_flight
                    .get(&limit.slot)
                    .copied()
                    .unwrap_or_default();
                now < limit.until && in_flight < limit.slots
            };
            let in_flight = |limit: &&SlotLimit| daemon.in_flight.get(&limit.slot).copied();
            let least_loaded = daemon
                .limits
                .values()
                .filter(has_free_slot)
                .min_by_key(in_flight);
            let Some(slot) = least_loaded.map(|limit| limit.slot) else {
                break;
            };
            let Some(job) = daemon.queue.pop_front() else {
                break;
            };
            *daemon.in_flight.entry(slot).or_default() += 1;
            let generation = daemon.generation;
            *self.executing.entry((index, generation, slot)).or_default() += 1;
            let delay = self.delay();
            self.schedule(
                delay,
                Event::AtUpstream {
                    daemon: index,
                    slot,
                    generation,
                    job,
                },
            );
        }
    }

    /// Sends changed usage to the slot task if requests have started to wait or `force` is set.
    pub(super) fn send_usage(&mut self, index: usize, force: bool) {
        let daemon = &mut self.daemons[index];
        let usage = ServiceUsage {
            blocked: Vec::new(),
            applied_version: daemon.applied_version,
            queued: u32::try_from(daemon.queue.len()).unwrap_or(u32::MAX),
            in_flight: daemon
                .in_flight
                .iter()
                .map(|(slot, count)| (*slot, *count))
                .collect(),
        };
        let was_waiting = daemon
            .last_usage
            .as_ref()
            .is_some_and(|last_usage| last_usage.queued > 0);
        let starts_waiting = usage.queued > 0 && !was_waiting;
        if (force || starts_waiting) && daemon.last_usage.as_ref() != Some(&usage) {
            daemon.last_usage = Some(usage.clone());
            let generation = daemon.generation;
            let event = Event::Usage {
                daemon: index,
                usage,
                generation,
            };
            self.schedule(LOCAL_DELAY_US, event);
        }
    }

    pub(super) fn at_upstream(&mut self, event: Event) {
        match event {
            Event::AtUpstream {
                daemon,
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
                    self.end_execution(daemon, generation, slot);
                    let delay = self.delay();
                    let refused = Some(job);
                    self.schedule(
                        delay,
                        Event::Ended {
                            daemon,
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
                        daemon,
                        slot,
                        generation,
                    },
                );
            }
            Event::Executed {
                daemon,
                slot,
                generation,
            } => {
                if let Some(instance) = self.instances.get_mut(&slot) {
                    instance.busy -= 1;
                }
                self.end_execution(daemon, generation, slot);
                let delay = self.delay();
                let refused = None;
                self.schedule(
                    delay,
                    Event::Ended {
                        daemon,
                        slot,
                        generation,
                        refused,
                    },
                );
            }
            _ => {}
        }
    }

    fn end_execution(&mut self, daemon: usize, generation: u32, slot: SlotKey) {
        if let Some(count) = self.executing.get_mut(&(daemon, generation, slot)) {
            *count -= 1;
        }
    }
}
