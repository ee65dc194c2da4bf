//! Mapping between names and keys of members and slots, and the messages that carry names.

use serde::{Deserialize, Serialize};

use super::{Allowance, GrantList, Need, Report, ViewId};
use crate::member::MemberId;
use crate::prelude::*;

/// Slot counts of one instance in a message.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct NamedCounts(
    /// Name of the instance.
    pub Arc<str>,
    /// Committed slots in a report, allowed slots in a list.
    pub u32,
    /// Wanted slots in a report, 0 in a list.
    #[serde(default)]
    pub u32,
);

/// Slot counts of the instances of one service.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct NamedService {
    /// Name of the service.
    pub service: Arc<str>,
    /// Slot counts of its instances.
    pub instances: Vec<NamedCounts>,
}

/// A [`Report`] in its encoded form, with names instead of keys.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct NamedReport {
    /// Incarnation of the holder.
    pub incarnation: Arc<str>,
    /// See [`Report::view`].
    pub view: ViewId,
    /// See [`Report::seq`].
    pub seq: u64,
    /// See [`Report::heard`].
    pub heard: u64,
    /// See [`Report::needs`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub needs: Option<Vec<NamedService>>,
    /// See [`Report::vanished_ms_ago`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub vanished_ms_ago: Option<u64>,
}

/// A [`GrantList`] in its encoded form, with names instead of keys.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct NamedGrantList {
    /// Incarnation of the owner.
    pub home: Arc<str>,
    /// Incarnation of the holder.
    pub holder: Arc<str>,
    /// See [`GrantList::basis`].
    pub basis: u64,
    /// See [`GrantList::number`].
    pub number: u64,
    /// See [`GrantList::resend`].
    #[serde(default)]
    pub resend: bool,
    /// See [`GrantList::allowances`].
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub allowances: Vec<NamedService>,
}

/// Identifies the slots of one service on one instance.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct SlotId {
    /// Name of the service.
    pub service: Arc<str>,
    /// Name of the instance.
    pub instance: Arc<str>,
}

/// Arenas of the members and slots that a daemon knows.
#[derive(Debug, Default)]
pub struct SlotDirectory {
    members: SlotMap<DaemonKey, MemberId>,
    member_keys: FastMap<MemberId, DaemonKey>,
    slots: SlotMap<SlotKey, SlotId>,
    slot_keys: FastMap<SlotId, SlotKey>,
}

impl SlotDirectory {
    /// Returns the key of a member, which is created on first use.
    pub fn intern_member(&mut self, id: &MemberId) -> DaemonKey {
        if let Some(key) = self.member_keys.get(id) {
            return *key;
        }
        let key = self.members.insert(id.clone());
        self.member_keys.insert(id.clone(), key);
        key
    }

    /// Returns the key of the slots of a service on an instance, which is created on first use.
    pub fn intern_slot(&mut self, service: &Arc<str>, instance: &Arc<str>) -> SlotKey {
        let id = SlotId {
            service: Arc::clone(service),
            instance: Arc::clone(instance),
        };
        if let Some(key) = self.slot_keys.get(&id) {
            return *key;
        }
        let key = self.slots.insert(id.clone());
        self.slot_keys.insert(id, key);
        key
    }

    /// Returns the name and incarnation of a member.
    #[must_use]
    pub fn member_id(&self, key: DaemonKey) -> Option<&MemberId> {
        self.members.get(key)
    }

    /// Returns the service and instance of a slot key.
    #[must_use]
    pub fn slot_id(&self, key: SlotKey) -> Option<&SlotId> {
        self.slots.get(key)
    }

    /// Iterates over all slot keys with their names.
    pub fn slots(&self) -> impl Iterator<Item = (SlotKey, &SlotId)> {
        self.slots.iter()
    }

    /// Converts a report to its encoded form.
    #[must_use]
    pub fn to_named_report(&self, own: DaemonKey, report: &Report) -> NamedReport {
        let counts = |need: &Need| (need.slot, need.committed, need.wanted);
        let named = |needs: &Vec<Need>| self.group_by_service(needs.iter().map(counts));
        NamedReport {
            incarnation: self.incarnation(own),
            view: report.view,
            seq: report.seq,
            heard: report.heard,
            needs: report.needs.as_ref().map(named),
            vanished_ms_ago: report.vanished_ms_ago,
        }
    }

    /// Converts a report from its encoded form, creating keys for unknown names.
    pub fn from_named_report(&mut self, message: &NamedReport) -> Report {
        let needs = message.needs.as_ref().map(|services| {
            let counts = self.resolve_slots(services);
            let need = |(slot, committed, wanted)| Need {
                slot,
                committed,
                wanted,
            };
            counts.into_iter().map(need).collect()
        });
        Report {
            view: message.view,
            seq: message.seq,
            heard: message.heard,
            needs,
            vanished_ms_ago: message.vanished_ms_ago,
        }
    }

    /// Converts a list to its encoded form.
    #[must_use]
    pub fn to_named_grant_list(
        &self,
        own: DaemonKey,
        holder: DaemonKey,
        list: &GrantList,
    ) -> NamedGrantList {
        let counts = |allowance: &Allowance| (allowance.slot, allowance.slots, 0);
        NamedGrantList {
            home: self.incarnation(own),
            holder: self.incarnation(holder),
            basis: list.basis,
            number: list.number,
            resend: list.resend,
            allowances: self.group_by_service(list.allowances.iter().map(counts)),
        }
    }

    /// Converts a list from its encoded form, creating keys for unknown names.
    pub fn from_named_grant_list(&mut self, message: &NamedGrantList) -> GrantList {
        let counts = self.resolve_slots(&message.allowances);
        let allowance = |(slot, slots, _)| Allowance { slot, slots };
        GrantList {
            basis: message.basis,
            number: message.number,
            resend: message.resend,
            allowances: counts.into_iter().map(allowance).collect(),
        }
    }

    fn incarnation(&self, key: DaemonKey) -> Arc<str> {
        let id = self.members.get(key);
        id.map(|id| Arc::clone(&id.incarnation)).unwrap_or_default()
    }

    fn group_by_service(
        &self,
        counts: impl Iterator<Item = (SlotKey, u32, u32)>,
    ) -> Vec<NamedService> {
        let mut services: Vec<NamedService> = Vec::new();
        for (slot, first, second) in counts {
            let Some(id) = self.slots.get(slot) else {
                continue;
            };
            let named = NamedCounts(Arc::clone(&id.instance), first, second);
            match services
                .iter_mut()
                .find(|group| group.service == id.service)
            {
                Some(group) => group.instances.push(named),
                None => services.push(NamedService {
                    service: Arc::clone(&id.service),
                    instances: vec![named],
                }),
            }
        }
        services
    }

    fn resolve_slots(&mut self, services: &[NamedService]) -> Vec<(SlotKey, u32, u32)> {
        let mut counts = Vec::new();
        for NamedService { service, instances } in services {
            for NamedCounts(instance, first, second) in instances {
                counts.push((self.intern_slot(service, instance), *first, *second));
            }
        }
        counts
    }
}
