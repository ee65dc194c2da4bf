//! Applies the events of the watch on the environment's keys.

use rosemaryscale_domain::member::MemberId;
use std::sync::Arc;

use rosemaryscale_domain::assignment::ZoneAssignments;
use rosemaryscale_domain::fleet::StoredZone;
use rosemaryscale_ports::kv::{KvEntry, Update, WatchEvent};
use rosemaryscale_ports::member::MemberRecord;
use rosemaryscale_ports::prelude::*;

use super::Controller;

impl Controller {
    pub(super) fn handle_event(&mut self, event: &WatchEvent) {
        match event {
            WatchEvent::Snapshot { revision, entries } => {
                self.view.zones.clear();
                self.members.clear();
                self.lease.clear_holder();
                entries.iter().for_each(|entry| self.put(entry));
                self.view.revision = *revision;
            }
            WatchEvent::Changed { revision, updates } => {
                for update in updates {
                    match update {
                        Update::Put(entry) => self.put(entry),
                        Update::Deleted(key) => self.delete(key),
                    }
                }
                self.view.revision = *revision;
            }
            WatchEvent::Receiving | WatchEvent::Disconnected { .. } => return,
        }
        self.publish();
    }

    pub(super) fn put(&mut self, entry: &KvEntry) {
        if self.lease.apply_put(entry) {
            return;
        }
        if let Some(name) = entry.key.strip_prefix(&*self.members_prefix) {
            if let Ok(MemberRecord {
                name: own,
                incarnation,
                ..
            }) = serde_json::from_slice(&entry.value)
            {
                self.members.insert(
                    name.into(),
                    MemberId {
                        name: own,
                        incarnation,
                    },
                );
            }
        } else if let Some(zone) = entry.key.strip_prefix(&*self.assignments_prefix) {
            let Ok(assignments) = serde_json::from_slice::<ZoneAssignments>(&entry.value) else {
                let detail = "the stored assignments are malformed and were ignored";
                self.options.events.record(EventKind::Move, zone, detail);
                return;
            };
            let stored = StoredZone {
                mod_revision: entry.mod_revision,
                assignments,
            };
            self.record_changes(zone, &stored);
            self.view.zones.insert(zone.into(), stored);
        }
    }

    pub(super) fn delete(&mut self, key: &str) {
        if self.lease.apply_delete(key) {
            return;
        }
        if let Some(name) = key.strip_prefix(&*self.members_prefix) {
            self.members.remove(name);
        } else if let Some(zone) = key.strip_prefix(&*self.assignments_prefix) {
            self.view.zones.remove(zone);
        }
    }

    pub(super) fn record_changes(&self, zone: &str, new: &StoredZone) {
        let old = self.view.zones.get(zone);
        for (instance, record) in &new.assignments.instances {
            let before = old.and_then(|old| old.assignments.instances.get(instance));
            if before.is_none_or(|before| before.epoch != record.epoch) {
                let detail = format!(
                    "{} in {} at epoch {}",
                    record.phase.as_str(),
                    record.pool,
                    record.epoch
                );
                self.options
                    .events
                    .record(EventKind::Move, Arc::clone(instance), detail);
            }
        }
    }

    pub(super) fn publish(&mut self) {
        let own = self.members.get(&self.options.name);
        self.view.registered = own.is_some_and(|own| own.incarnation == self.options.incarnation);
        self.view_sender.send_replace(Arc::new(self.view.clone()));
    }
}
