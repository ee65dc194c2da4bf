//! The frontend's view: job states, leader and pressure, as the watch of the store reports them.

use rosemaryscale_domain::schedule::pressure::Pressure;
use rosemaryscale_ports::kv::{KvEntry, Update, WatchEvent};
use slog::warn;

use super::{JobFrontend, LeaderStatus};
use crate::jobs::records::{self, LEADER_KEY, LeaderRecord, PRESSURE_KEY, PeerRecord, StateRecord};

impl JobFrontend {
    pub(super) fn apply(&mut self, event: WatchEvent) {
        match event {
            WatchEvent::Snapshot { revision, entries } => self.apply_snapshot(revision, entries),
            WatchEvent::Changed { revision, updates } => self.apply_changes(revision, updates),
            WatchEvent::Receiving => {}
            WatchEvent::Disconnected { reason } => self.mark_store_unreachable(&reason),
        }
    }

    fn apply_snapshot(&mut self, revision: u64, entries: Vec<KvEntry>) {
        self.view_revision = revision;
        self.states.clear();
        self.peers.clear();
        let mut leader = LeaderStatus::None;
        // A pressure in a listing may have been left by a former leader.
        let current = entries
            .into_iter()
            .filter(|entry| &*entry.key != PRESSURE_KEY);
        for entry in current {
            self.apply_entry(entry, &mut leader);
        }
        self.options.leader.send_replace(leader);
        self.mark_store_reachable();
    }

    fn apply_changes(&mut self, revision: u64, updates: Vec<Update>) {
        self.view_revision = revision;
        let before = *self.options.leader.borrow();
        let mut leader = if before == LeaderStatus::Unknown {
            LeaderStatus::None
        } else {
            before
        };
        for update in updates {
            match update {
                Update::Put(entry) => self.apply_entry(entry, &mut leader),
                Update::Deleted(key) if &*key == LEADER_KEY => leader = LeaderStatus::None,
                Update::Deleted(key) => self.remove_entry(&key),
            }
        }
        if leader != before {
            self.options.leader.send_replace(leader);
        }
        self.mark_store_reachable();
    }

    fn mark_store_unreachable(&mut self, reason: &str) {
        self.store_reachable.send_replace(false);
        let now = self.options.clock.now();
        self.unreachable_since = self.unreachable_since.or(Some(now));
        if *self.options.leader.borrow() != LeaderStatus::Unknown {
            warn!(self.options.log, "the store is not heard"; "reason" => reason);
        }
        self.options.leader.send_replace(LeaderStatus::Unknown);
    }

    fn mark_store_reachable(&mut self) {
        self.last_answer_at = Some(self.options.clock.now());
        self.publish_peers();
        self.store_reachable.send_replace(true);
        self.unreachable_since = None;
        self.update_readiness();
    }

    fn apply_entry(&mut self, entry: KvEntry, leader: &mut LeaderStatus) {
        if &*entry.key == LEADER_KEY {
            *leader = self.leader_status(&entry);
            return;
        }
        if &*entry.key == PRESSURE_KEY {
            self.apply_pressure(&entry);
            return;
        }
        if let Some(name) = records::peer_name(&entry.key) {
            self.apply_peer(name, &entry);
            return;
        }
        let Some(id) = records::state_id(&entry.key) else {
            return;
        };
        match records::decode::<StateRecord>(&entry.value) {
            Ok(record) => {
                self.states.insert(id.into(), record);
            }
            Err(error) => {
                warn!(self.options.log, "state skipped"; "job" => id, "reason" => %error);
            }
        }
    }

    fn remove_entry(&mut self, key: &str) {
        if let Some(id) = records::state_id(key) {
            self.states.remove(id);
        } else if let Some(name) = records::peer_name(key) {
            self.peers.remove(name);
        }
    }

    fn apply_peer(&mut self, name: &str, entry: &KvEntry) {
        match records::decode::<PeerRecord>(&entry.value) {
            Ok(record) => {
                self.peers.insert(name.into(), record.address);
            }
            Err(error) => {
                warn!(self.options.log, "peer skipped"; "peer" => name, "reason" => %error);
            }
        }
    }

    /// Tells the task of the configuration whom it can ask.
    fn publish_peers(&self) {
        self.options.peers.send_if_modified(|published| {
            let is_changed = *published != self.peers;
            if is_changed {
                published.clone_from(&self.peers);
            }
            is_changed
        });
    }

    fn apply_pressure(&mut self, entry: &KvEntry) {
        match records::decode::<Pressure>(&entry.value) {
            Ok(pressure) => self.pressure = Some((pressure, self.options.clock.now())),
            Err(error) => {
                warn!(self.options.log, "pressure skipped"; "reason" => %error);
            }
        }
    }

    fn leader_status(&self, entry: &KvEntry) -> LeaderStatus {
        let identity = &self.options.identity;
        match records::decode::<LeaderRecord>(&entry.value) {
            Ok(record)
                if record.daemon == identity.daemon
                    && record.incarnation != identity.incarnation =>
            {
                LeaderStatus::FormerProcess(entry.lease)
            }
            _ => LeaderStatus::Held(entry.mod_revision),
        }
    }
}
